/*
 * What a fleet's log and processes say, and changes of what is in service.
 */
package io.jaybeam.scenarios

import io.jaybeam.core.config.ConfigChange
import io.jaybeam.core.config.ConfigItem
import io.jaybeam.core.config.ConfigItemKind
import io.jaybeam.core.config.ConfigState
import io.jaybeam.runtime.config.CONFIG_STREAM
import io.jaybeam.runtime.config.decodeConfigRecordOrNull
import io.jaybeam.runtime.log.LogClient

/** Returns the version of [item] according to the log. */
public fun Fleet.itemVersion(item: ConfigItem): Long {
    val page = checkNotNull(LogClient(logUrl).read(CONFIG_STREAM, 0, 0).getOrNull()) { "the log does not answer" }
    val records = page.records.map(::decodeConfigRecordOrNull)
    return checkNotNull(ConfigState.bootstrap(page.startOffset, records, verifier)) { "the log holds no whole state" }.versionOf(item)
}

/** Takes [instance] in or out of service by a signed change in the log. */
public fun Fleet.setInstance(instance: String, inService: Boolean) {
    val base = itemVersion(ConfigItem(ConfigItemKind.INSTANCE, instance))
    append(ConfigChange.SetInstance("set-$instance-$base", base, "desk", instance, inService))
}

/** Takes data centre [name] in or out of service by a signed change in the log. */
public fun Fleet.setDataCentre(name: String, inService: Boolean) {
    val base = itemVersion(ConfigItem(ConfigItemKind.DATA_CENTRE, name))
    append(ConfigChange.SetDataCentre("set-$name-$base", base, "desk", name, inService))
}

/** Returns the offset of the last record of the configuration stream. */
public fun Fleet.logEnd(): Long = checkNotNull(LogClient(logUrl).read(CONFIG_STREAM, 0, 0).getOrNull()).nextOffset - 1

/** Returns how many targets [entry] has a link to. */
public fun Fleet.linkedTargets(entry: EntryInstance): Int =
    get("${entry.adminUrl}/dump")?.split("\"linked\":true")?.let { it.size - 1 } ?: 0

/** Returns how many targets [entry] may send new work to. */
public fun Fleet.targetsTakingWork(entry: EntryInstance): Int =
    get("${entry.adminUrl}/dump")?.split("\"takesWork\":true")?.let { it.size - 1 } ?: 0

/** Returns the requests in flight at the model targets of [dataCentre]. */
public fun Fleet.inFlightIn(dataCentre: String): Int =
    targets.filter { it.dataCentre == dataCentre && it.service == MODEL_SERVICE }.sumOf { target ->
        val report = get("${target.targetUrl}/control/report").orEmpty()
        Regex("\"inFlight\":(\\d+)")
            .find(report)
            ?.groupValues
            ?.get(1)
            ?.toInt() ?: 0
    }

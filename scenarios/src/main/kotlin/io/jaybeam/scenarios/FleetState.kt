/*
 * Reads state from a fleet's log and processes, and takes instances and data centres in and out of service.
 */
package io.jaybeam.scenarios

import io.jaybeam.core.config.ConfigChange
import io.jaybeam.core.config.ConfigItem
import io.jaybeam.core.config.ConfigItemKind
import io.jaybeam.core.config.ConfigState
import io.jaybeam.runtime.config.CONFIG_STREAM
import io.jaybeam.runtime.config.decodeConfigRecordOrNull
import io.jaybeam.runtime.log.LogClient

/** Returns the version of [item] that results from replaying the log. */
public fun Fleet.itemVersion(item: ConfigItem): Long {
    val page =
        checkNotNull(LogClient(logUrl).read(CONFIG_STREAM, 0, 0).getOrNull()) {
            "the log stand-in at $logUrl does not answer; check that its process is running"
        }
    val records = page.records.map(::decodeConfigRecordOrNull)
    return checkNotNull(ConfigState.bootstrap(page.startOffset, records, verifier)) {
        "stream $CONFIG_STREAM has no complete state: its first records expired and no snapshot follows"
    }.versionOf(item)
}

/** Takes [instance] in or out of service by a signed change in the log. */
public fun Fleet.setInstance(instance: String, inService: Boolean) {
    val base = itemVersion(ConfigItem(ConfigItemKind.INSTANCE, instance))
    appendChange(ConfigChange.SetInstance("set-$instance-$base", base, "desk", instance, inService))
}

/** Takes data centre [name] in or out of service by a signed change in the log. */
public fun Fleet.setDataCentre(name: String, inService: Boolean) {
    val base = itemVersion(ConfigItem(ConfigItemKind.DATA_CENTRE, name))
    appendChange(ConfigChange.SetDataCentre("set-$name-$base", base, "desk", name, inService))
}

/** Returns the offset of the last record of the configuration stream. */
public fun Fleet.lastLogOffset(): Long = checkNotNull(LogClient(logUrl).read(CONFIG_STREAM, 0, 0).getOrNull()).nextOffset - 1

/** Returns the number of targets that [entry] is linked to. */
public fun Fleet.linkedTargetCount(entry: EntryInstance): Int =
    get("${entry.adminUrl}/dump")?.split("\"linked\":true")?.let { it.size - 1 } ?: 0

/** Returns the number of targets to which [entry] may send new work. */
public fun Fleet.acceptingTargetCount(entry: EntryInstance): Int =
    get("${entry.adminUrl}/dump")?.split("\"takesWork\":true")?.let { it.size - 1 } ?: 0

/** Returns the number of requests in flight at the model targets in [dataCentre]. */
public fun Fleet.inFlightRequests(dataCentre: String): Int =
    targets.filter { it.dataCentre == dataCentre && it.service == MODEL_SERVICE }.sumOf { target ->
        val report = get("${target.targetUrl}/control/report").orEmpty()
        Regex("\"inFlight\":(\\d+)")
            .find(report)
            ?.groupValues
            ?.get(1)
            ?.toInt() ?: 0
    }

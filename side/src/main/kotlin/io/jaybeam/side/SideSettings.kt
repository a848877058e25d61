/*
 * Settings of a side process; see docs/SETTINGS.md.
 */
package io.jaybeam.side

import io.jaybeam.core.config.ServiceKind
import io.jaybeam.core.json.JsonObjectReader
import io.jaybeam.runtime.settings.CommonSettings
import io.jaybeam.runtime.settings.MAX_PORT
import io.jaybeam.runtime.settings.commonSettings
import io.jaybeam.runtime.settings.url

/** Settings of the target that a side process serves. */
internal data class TargetSettings(
    val url: String,
    val service: String,
    val kind: ServiceKind,
)

/**
 * Settings of a side process.
 *
 * @property linkPort port on which links from entries are accepted.
 * @property ticketWindowMillis age at which a ticket expires.
 * @property ledgerCapacity maximum number of tickets with a recorded decision.
 * @property queueCapacity maximum number of queued requests.
 * @property retainedAnswerBytes maximum size of the answers retained for resends, in bytes.
 */
internal data class SideSettings(
    val common: CommonSettings,
    val linkPort: Int,
    val target: TargetSettings,
    val ticketWindowMillis: Long,
    val ledgerCapacity: Int,
    val queueCapacity: Int,
    val retainedAnswerBytes: Long,
)

private const val MIN_TICKET_WINDOW_MILLIS = 1_000L
private const val MAX_TICKET_WINDOW_MILLIS = 86_400_000L
private const val MAX_LEDGER_CAPACITY = 10_000_000
private const val MAX_QUEUE_CAPACITY = 100_000
private const val MAX_RETAINED_BYTES = 1_073_741_824L
private const val DEFAULT_TICKET_WINDOW_MILLIS = 600_000L
private const val DEFAULT_LEDGER_CAPACITY = 50_000
private const val DEFAULT_QUEUE_CAPACITY = 256
private const val DEFAULT_RETAINED_BYTES = 33_554_432L

internal fun JsonObjectReader.sideSettings(): SideSettings =
    SideSettings(
        common = commonSettings(),
        linkPort = int("linkPort", 0..MAX_PORT),
        target = objectOrNull("target") { targetSettings() } ?: TargetSettings("", "", ServiceKind.PLAIN),
        ticketWindowMillis = long("ticketWindowMillis", MIN_TICKET_WINDOW_MILLIS..MAX_TICKET_WINDOW_MILLIS, DEFAULT_TICKET_WINDOW_MILLIS),
        ledgerCapacity = int("ledgerCapacity", 1..MAX_LEDGER_CAPACITY, DEFAULT_LEDGER_CAPACITY),
        queueCapacity = int("queueCapacity", 1..MAX_QUEUE_CAPACITY, DEFAULT_QUEUE_CAPACITY),
        retainedAnswerBytes = long("retainedAnswerBytes", 0L..MAX_RETAINED_BYTES, DEFAULT_RETAINED_BYTES),
    )

private fun JsonObjectReader.targetSettings(): TargetSettings {
    val kind = string("kind")
    val serviceKind = ServiceKind.entries.firstOrNull { it.name == kind }
    if (serviceKind == null && kind.isNotEmpty()) fault("kind", "\"$kind\" is not a service kind", "write MODEL or PLAIN")
    return TargetSettings(
        url = url("url"),
        service = string("service"),
        kind = serviceKind ?: ServiceKind.PLAIN,
    )
}

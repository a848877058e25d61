/*
 * What an entry knows of the fleet, as one immutable value with the ages of its parts.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.TargetTable

/** Position of a log that has not been read. */
internal const val UNREAD = -1L

/**
 * Knowledge of an entry at one moment.
 *
 * @property routes null until a configuration is known.
 * @property dataCentresOut data centres that get no new work.
 * @property operatorPosition position in the operator's log up to which it is known.
 * @property coldUntilNanos until when a target is cold, by id, on the monotonic clock; only those that were cold when read.
 * @property targetsPosition position in the targets' log up to which it is known.
 * @property targetsReadAtNanos when somebody last read the targets up to that position, on the monotonic clock.
 */
internal data class FleetView(
    val routes: RouteTable? = null,
    val dataCentresOut: Set<String> = emptySet(),
    val operatorPosition: Long = UNREAD,
    val routesReadAtNanos: Long = 0,
    val targets: TargetTable = TargetTable(),
    val coldUntilNanos: Map<String, Long> = emptyMap(),
    val targetsPosition: Long = UNREAD,
    val targetsReadAtNanos: Long = 0,
) {
    /** Version of the configuration in force; [UNREAD] where there is none. */
    val configVersion: Long get() = routes?.config?.version ?: UNREAD

    /** Whether the target called [id] is cold at [nowNanos]. */
    fun isCold(id: String, nowNanos: Long): Boolean = coldUntilNanos[id]?.let { it > nowNanos } == true

    /** Whether callers can be served. */
    val isComplete: Boolean get() = routes != null && targets.byId.isNotEmpty()
}

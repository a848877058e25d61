/*
 * What an entry knows of the fleet, as one immutable value with the ages of its parts.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.TargetTable

/**
 * Knowledge of an entry at one moment.
 *
 * @property routes null until a configuration is known.
 * @property targets null until the targets have been read once.
 * @property dataCentresOut data centres that get no new work.
 * @property targetsReadAtNanos when the targets were last read, on the monotonic clock.
 */
internal data class FleetView(
    val routes: RouteTable? = null,
    val targets: TargetTable? = null,
    val dataCentresOut: Set<String> = emptySet(),
    val routesReadAtNanos: Long = 0,
    val targetsReadAtNanos: Long = 0,
) {
    /** Whether callers can be served. */
    val isComplete: Boolean get() = routes != null && !targets?.byId.isNullOrEmpty()
}

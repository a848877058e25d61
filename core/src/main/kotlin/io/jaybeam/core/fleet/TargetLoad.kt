/*
 * Load of a target.
 */
package io.jaybeam.core.fleet

import io.jaybeam.core.cost.Backlog

/**
 * Load of a target as seen by one instance.
 *
 * @property requestsInFlight requests of this instance at the target and, if a recent report is available, those of all others.
 * @property recentFailures failures during the last seconds that count against the target.
 * @property isSilent whether the target has not answered its requests for longer than they accept.
 * @property backlog work that the target is expected to have left.
 */
public data class TargetLoad(
    val target: FleetTarget,
    val requestsInFlight: Int,
    val recentFailures: Int,
    val backlog: Backlog = Backlog(requestsInFlight),
    val isSilent: Boolean = false,
)

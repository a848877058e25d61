/*
 * How loaded a target is.
 */
package io.jaybeam.core.fleet

/**
 * Load of a target as one instance sees it.
 *
 * @property requests under way at the target: those of this instance and, where a report is fresh, of all others.
 * @property recentFailures failures of the last seconds that count against the target.
 */
public data class TargetLoad(
    val target: FleetTarget,
    val requests: Int,
    val recentFailures: Int,
)

/*
 * Chooses the target of a request. All ranks of a group run each forward pass in lock-step, so the most loaded rank delays the
 * others. The target with the lowest load per batch slot is preferred, and among equals one in the local data centre.
 */
package io.jaybeam.core.fleet

import kotlin.random.Random

/** Returns the target for the next request, or null if [candidates] is empty. */
public fun chooseTarget(candidates: List<TargetLoad>, localDataCentre: String, random: Random): FleetTarget? {
    if (candidates.isEmpty()) return null
    val costs =
        candidates.associateWith {
            it.requestsInFlight.toDouble() / maxOf(it.target.batchSlots, 1) + it.recentFailures * FAILURE_COST_BATCHES
        }
    val minCost = costs.values.min()
    val best = candidates.filter { costs.getValue(it) <= minCost + COST_TOLERANCE }
    return best
        .filter { it.target.dataCentre == localDataCentre }
        .ifEmpty { best }
        .random(random)
        .target
}

/** Cost of a recent failure, in batches: a target that has just failed is used once all others have a full batch more. */
private const val FAILURE_COST_BATCHES = 1.0
private const val COST_TOLERANCE = 1e-9

/*
 * Chooses the target of a request. All ranks of a group advance in lock-step, so the most loaded rank slows them all:
 * the least loaded target per place goes first, and one in the caller's own data centre among equals.
 */
package io.jaybeam.core.fleet

import kotlin.random.Random

/** Returns the target for the next request, or null where there is none. */
public fun chooseTarget(candidates: List<TargetLoad>, homeDataCentre: String, random: Random): FleetTarget? {
    if (candidates.isEmpty()) return null
    val cost = candidates.associateWith { it.requests.toDouble() / maxOf(it.target.batchSlots, 1) + it.recentFailures * FAILURE_COST }
    val least = cost.values.min()
    val best = candidates.filter { cost.getValue(it) <= least + EQUAL_COST }
    return best
        .filter { it.target.dataCentre == homeDataCentre }
        .ifEmpty { best }
        .random(random)
        .target
}

/** Cost of a recent failure, in batches: a target that has just failed is used when all others have a full batch more. */
private const val FAILURE_COST = 1.0
private const val EQUAL_COST = 1e-9

/*
 * Chooses the target of a request by the work that each target has left and by what the request is expected to cost.
 *
 * Where costs are not known, the target with the lowest load per batch slot is preferred, and among equals one in the local
 * data centre. A target that has stopped answering is passed by.
 */
package io.jaybeam.core.fleet

import io.jaybeam.core.cost.RequestCost
import kotlin.random.Random

/** Returns the target for the next request, or null if [candidates] is empty. */
public fun chooseTarget(
    candidates: List<TargetLoad>,
    localDataCentre: String,
    random: Random,
    request: PlacementRequest = PlacementRequest(),
): FleetTarget? {
    if (candidates.isEmpty()) return null
    val used = withoutSilent(candidates)
    val engine = request.engine
    if (engine != null && engine.hasRequestCost && request.cost.isKnown) {
        return GenerationPlacement(engine, request, localDataCentre, random).choose(used)
    }
    val best = withLeastLoadPerSlot(used, request.cost)
    return best
        .filter { it.target.dataCentre == localDataCentre }
        .ifEmpty { best }
        .random(random)
        .target
}

/** Returns those of [candidates] that have the least load per batch slot for a request with [cost]. */
internal fun withLeastLoadPerSlot(candidates: List<TargetLoad>, cost: RequestCost): List<TargetLoad> {
    val loads = candidates.associateWith { loadPerSlot(it, cost) }
    val maxLoad = loads.values.min() + LOAD_TOLERANCE
    return candidates.filter { loads.getValue(it) <= maxLoad }
}

/** Returns the load of a target per batch slot, of which a slow target has fewer. */
private fun loadPerSlot(load: TargetLoad, cost: RequestCost): Double {
    val backlog = load.backlog
    // The request itself counts only where targets differ in speed, so that equally fast ones compare by what they have.
    val ownWork = if (backlog.slowness > 1.0) cost.relativeWork else 0.0
    return (backlog.relativeWork + ownWork) * backlog.slowness / maxOf(load.target.batchSlots, 1) +
        load.recentFailures * FAILURE_COST_BATCHES
}

/** Cost of a recent failure, in batches: a target that has just failed is used once all others have a full batch more. */
internal const val FAILURE_COST_BATCHES = 1.0
private const val LOAD_TOLERANCE = 1e-9

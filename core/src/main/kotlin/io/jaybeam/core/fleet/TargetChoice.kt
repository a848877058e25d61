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
    placementOrNull(localDataCentre, random, request)?.let { return it.choose(used) }
    return leastLoaded(used, localDataCentre, request).random(random).target
}

/**
 * Returns each of [candidates] with the chance that [chooseTarget] returns it for [request] now.
 *
 * @see TargetChance
 */
public fun targetChances(
    candidates: List<TargetLoad>,
    localDataCentre: String,
    request: PlacementRequest = PlacementRequest(),
): List<TargetChance> {
    if (candidates.isEmpty()) return emptyList()
    val used = withoutSilent(candidates)
    val placement = placementOrNull(localDataCentre, Random.Default, request)
    val best = if (placement == null) leastLoaded(used, localDataCentre, request) else emptyList()
    val weights = placement?.weightsOf(used) ?: used.map { if (it in best) 1.0 else 0.0 }
    val chances = used.zip(weights.map { it / weights.sum() }).toMap()
    return candidates.map { TargetChance(it, placement?.expectedMillis(it), chances[it] ?: 0.0) }
}

/**
 * A target that a request may go to.
 *
 * @property expectedMillis time until its first event there and time by which what the target then has left lengthens passes; null if
 *   costs are not known, so that requests are counted.
 * @property chance probability with which it is chosen, 0 to 1.
 */
public data class TargetChance(
    val load: TargetLoad,
    val expectedMillis: Double?,
    val chance: Double,
)

private fun placementOrNull(localDataCentre: String, random: Random, request: PlacementRequest): GenerationPlacement? {
    val engine = request.engine?.takeIf { it.hasRequestCost && request.cost.isKnown } ?: return null
    return GenerationPlacement(engine, request, localDataCentre, random)
}

private fun leastLoaded(candidates: List<TargetLoad>, localDataCentre: String, request: PlacementRequest): List<TargetLoad> {
    val best = withLeastLoadPerSlot(candidates, request.cost)
    return best.filter { it.target.dataCentre == localDataCentre }.ifEmpty { best }
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

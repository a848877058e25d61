/*
 * Plans expert placement, either from scratch or by a limited number of moves from the current map.
 */
package io.jaybeam.core.placement

/**
 * Limits on the cost and conditions on the gain of a plan.
 *
 * @property maxMoves maximum number of slots that a plan may load with other weights.
 * @property minGainPercent reduction of the pass duration, in percent, that a plan must reach.
 * @property targetSkew skew, see [PassDurations.skew], at which planning stops.
 */
public data class PlacementPolicy(
    val maxMoves: Int,
    val minGainPercent: Double,
    val targetSkew: Double = 1.02,
)

/**
 * A planned map.
 *
 * @property moves number of slots that have to load other weights.
 * @property before pass durations under the current map.
 * @property after pass durations under the planned map.
 */
public data class PlacementPlan(
    val map: ExpertMap,
    val moves: Int,
    val before: PassDurations,
    val after: PassDurations,
) {
    /** Reduction of the pass duration, in percent. */
    val gainPercent: Double get() = (before.slowest - after.slowest) / before.slowest * PERCENT
}

/** Returns a map for [load] that is computed from scratch, regardless of any current map. */
public fun solvePlacement(load: LayerLoad, slotsPerRank: Int): ExpertMap {
    val copies = copyCounts(load, load.rankCount * slotsPerRank)
    val ranks = List(load.rankCount) { RankAssignment(load.speedByRank[it]) }
    val expertCopies = copies.flatMapIndexed { expert, count -> List(count) { ExpertCopy(expert, load.loadByExpert[expert] / count) } }
    expertCopies.sortedByDescending { it.load }.forEach { copy ->
        val ranksWithFreeSlot = ranks.filter { it.experts.size < slotsPerRank }
        val candidates = ranksWithFreeSlot.filter { copy.expert !in it.experts }.ifEmpty { ranksWithFreeSlot }
        candidates.minBy { (it.load + copy.load) / it.speed }.add(copy)
    }
    val solved = ExpertMap(slotsPerRank, ranks.flatMap { it.experts })
    return PlacementSearch(solved, load).improve(Int.MAX_VALUE, BALANCED_SKEW)
}

/**
 * Returns a better map within the moves that [policy] allows, or null if none reduces the pass duration enough.
 */
public fun planPlacement(current: ExpertMap, load: LayerLoad, policy: PlacementPolicy): PlacementPlan? {
    val before = passDurations(current, load)
    if (before.skew <= policy.targetSkew) return null
    val map = PlacementSearch(current, load).improve(policy.maxMoves, policy.targetSkew)
    val plan = PlacementPlan(map, map.movesFrom(current), before, passDurations(map, load))
    return plan.takeIf { it.moves > 0 && it.gainPercent >= policy.minGainPercent }
}

internal const val PERCENT = 100.0
private const val BALANCED_SKEW = 1.0

private class ExpertCopy(
    val expert: Int,
    val load: Double,
)

private class RankAssignment(
    val speed: Double,
) {
    val experts = mutableListOf<Int>()
    var load = 0.0

    fun add(copy: ExpertCopy) {
        experts += copy.expert
        load += copy.load
    }
}

/** Assigns one slot to each expert, then each spare slot to the expert with the highest load per copy. */
private fun copyCounts(load: LayerLoad, slots: Int): IntArray {
    val copies = IntArray(load.expertCount) { 1 }
    repeat(slots - load.expertCount) {
        val mostLoaded = copies.indices.filter { copies[it] < load.rankCount }.maxBy { load.loadByExpert[it] / copies[it] }
        copies[mostLoaded] += 1
    }
    return copies
}

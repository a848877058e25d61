/*
 * Plans expert placement: from nothing, or by few moves from the map in force.
 */
package io.jaybeam.core.placement

/**
 * What a plan may cost and has to gain.
 *
 * @property maxMoves slots that one plan may load with other weights.
 * @property minGainPercent step time that a plan has to save, in percent, to be put in force.
 * @property targetSkew slowest over mean rank step time at which planning stops.
 */
public data class PlacementPolicy(
    val maxMoves: Int,
    val minGainPercent: Double,
    val targetSkew: Double = 1.02,
)

/** A planned map and what it changes. */
public data class PlacementPlan(
    val map: ExpertMap,
    val moves: Int,
    val before: StepTimes,
    val after: StepTimes,
) {
    /** Step time saved, in percent. */
    val gainPercent: Double get() = (before.slowest - after.slowest) / before.slowest * PERCENT
}

/** Returns a map for [load] made without regard to any map in force. */
public fun solvePlacement(load: LayerLoad, slotsPerRank: Int): ExpertMap {
    val copies = copyCounts(load, load.rankCount * slotsPerRank)
    val ranks = List(load.rankCount) { RankFill(load.speedByRank[it]) }
    val shares = copies.flatMapIndexed { expert, count -> List(count) { Share(expert, load.loadByExpert[expert] / count) } }
    shares.sortedByDescending { it.amount }.forEach { share ->
        val open = ranks.filter { it.experts.size < slotsPerRank }
        val distinct = open.filter { share.expert !in it.experts }.ifEmpty { open }
        distinct.minBy { (it.amount + share.amount) / it.speed }.add(share)
    }
    val solved = ExpertMap(slotsPerRank, ranks.flatMap { it.experts })
    return PlacementSearch(solved, load).improve(Int.MAX_VALUE, SOLVED_SKEW)
}

/**
 * Returns a better map within [policy]'s moves, or null where none saves enough step time to be worth its moves.
 */
public fun planPlacement(current: ExpertMap, load: LayerLoad, policy: PlacementPolicy): PlacementPlan? {
    val before = stepTimes(current, load)
    if (before.skew <= policy.targetSkew) return null
    val map = PlacementSearch(current, load).improve(policy.maxMoves, policy.targetSkew)
    val plan = PlacementPlan(map, map.movesFrom(current), before, stepTimes(map, load))
    return plan.takeIf { it.moves > 0 && it.gainPercent >= policy.minGainPercent }
}

internal const val PERCENT = 100.0
private const val SOLVED_SKEW = 1.0

private class Share(
    val expert: Int,
    val amount: Double,
)

private class RankFill(
    val speed: Double,
) {
    val experts = mutableListOf<Int>()
    var amount = 0.0

    fun add(share: Share) {
        experts += share.expert
        amount += share.amount
    }
}

/** Gives each expert a slot and each spare slot to the expert whose copies are the most loaded. */
private fun copyCounts(load: LayerLoad, slots: Int): IntArray {
    val copies = IntArray(load.expertCount) { 1 }
    repeat(slots - load.expertCount) {
        val hottest = copies.indices.filter { copies[it] < load.rankCount }.maxBy { load.loadByExpert[it] / copies[it] }
        copies[hottest] += 1
    }
    return copies
}

/*
 * Expert maps of a whole rank group: one placement for each set of layers. A pass takes the slowest rank's own part and,
 * set by set, the part of the most loaded rank.
 */
package io.jaybeam.core.placement

import kotlinx.serialization.Serializable

/** Placements of all sets, by set. */
@Serializable
public data class GroupMap(
    val sets: List<ExpertMap>,
) {
    /** Returns the experts that [rank] holds in [set]. */
    public fun expertsOf(set: Int, rank: Int): List<Int> = expertsOn(sets[set], rank)
}

/** Tokens that went to each expert, by set. */
public data class GroupDemand(
    val sets: List<List<Double>>,
) {
    /** Tokens in all. */
    val total: Double get() = sets.sumOf { it.sum() }
}

/**
 * What a change of map may cost and has to gain.
 *
 * @property newPerRankAndSet experts of a set that one change may load onto a rank.
 * @property newPerRank experts of all sets that one change may load onto a rank; ranks load one after the other, so this
 *   bounds the time until the change is in force.
 * @property minSkew most loaded over mean rank, over all sets, below which a map is left as it is.
 * @property targetSkew most loaded over mean rank of a set at which its planning stops.
 */
public data class GroupPlacementPolicy(
    val newPerRankAndSet: Int,
    val newPerRank: Int,
    val minSkew: Double,
    val targetSkew: Double,
)

/**
 * A planned change.
 *
 * @property skewBefore most loaded rank over mean, summed over the sets by their load.
 * @property expertsLoaded experts that ranks have to load for it.
 */
public data class GroupPlan(
    val map: GroupMap,
    val skewBefore: Double,
    val skewAfter: Double,
    val expertsLoaded: Int,
)

/** Returns the map in which experts are dealt to the slots in turn, as a group has it when it forms. */
public fun dealtMap(
    sets: Int,
    experts: Int,
    ranks: Int,
    slotsPerRank: Int,
): GroupMap {
    val expertsByRank = List(ranks) { mutableListOf<Int>() }
    repeat(ranks * slotsPerRank) { expertsByRank[it % ranks] += it % experts }
    val map = ExpertMap(slotsPerRank, expertsByRank.flatten())
    return GroupMap(List(sets) { map })
}

/**
 * Returns the map in which each rank holds the experts of [expertsByRank], by set.
 *
 * A rank with free slots counts one of its experts more than once there, which changes nothing as long as no other rank
 * holds that expert.
 */
public fun mapOfRanks(expertsByRank: List<List<List<Int>>>, slotsPerRank: Int): GroupMap {
    val sets = expertsByRank.first().indices
    return GroupMap(
        sets.map { set ->
            ExpertMap(
                slotsPerRank,
                expertsByRank.flatMap { rank ->
                    List(slotsPerRank) { rank[set].getOrElse(it) { _ -> rank[set].first() } }
                },
            )
        },
    )
}

/** Returns the most loaded rank's part over the mean rank's, over all sets, of [map] under [demand]. */
public fun groupSkew(map: GroupMap, demand: GroupDemand): Double {
    val ranks = map.rankCount
    val slowest = map.sets.indices.sumOf { stepTimes(map.sets[it], layerLoad(demand, it, ranks)).slowest }
    return slowest * ranks / demand.total
}

/** Returns a better map for [demand] within [policy], or null where the one in force will do. */
public fun planGroupPlacement(current: GroupMap, demand: GroupDemand, policy: GroupPlacementPolicy): GroupPlan? {
    if (demand.total <= 0.0) return null
    val before = groupSkew(current, demand)
    if (before < policy.minSkew) return null
    val ranks = current.rankCount
    val loads = current.sets.indices.map { layerLoad(demand, it, ranks) }
    val maps = current.sets.toMutableList()
    val newLeft = IntArray(ranks) { policy.newPerRank }
    // The set that holds the group up most has the first choice of what ranks may load.
    current.sets.indices.sortedByDescending { excess(current.sets[it], loads[it]) }.forEach { set ->
        val limits = newLeft.map { minOf(it, policy.newPerRankAndSet) }
        maps[set] = PlacementSearch(current.sets[set], loads[set], limits).improve(Int.MAX_VALUE, policy.targetSkew)
        repeat(ranks) { rank -> newLeft[rank] -= newExperts(current.sets[set], maps[set], rank) }
    }
    val map = GroupMap(maps)
    val loaded = maps.indices.sumOf { set -> (0 until ranks).sumOf { newExperts(current.sets[set], maps[set], it) } }
    return GroupPlan(map, before, groupSkew(map, demand), loaded).takeIf { loaded > 0 }
}

/**
 * Returns the plan that loads least and brings the skew to [goodSkew] or below, or the best one where none does.
 *
 * Ranks load experts one after the other, so a change that loads fewer is in force sooner, and a second one can follow.
 */
public fun planQuickestPlacement(
    current: GroupMap,
    demand: GroupDemand,
    policy: GroupPlacementPolicy,
    goodSkew: Double,
): GroupPlan? {
    val plans =
        (1..MAX_LOAD_ROUNDS).asSequence().mapNotNull { rounds ->
            planGroupPlacement(current, demand, policy.copy(newPerRank = policy.newPerRank * rounds))
        }
    var best: GroupPlan? = null
    for (plan in plans) {
        if (best == null || plan.skewAfter < best.skewAfter) best = plan
        if (plan.skewAfter <= goodSkew) break
    }
    return best
}

private const val MAX_LOAD_ROUNDS = 3

private val GroupMap.rankCount: Int get() = sets.first().let { it.expertBySlot.size / it.slotsPerRank }

/** Time that the most loaded rank takes beyond the mean one. */
private fun excess(map: ExpertMap, load: LayerLoad): Double = stepTimes(map, load).let { it.slowest - it.millisByRank.average() }

private fun newExperts(before: ExpertMap, after: ExpertMap, rank: Int): Int =
    (expertsOn(after, rank).toSet() - expertsOn(before, rank).toSet()).size

private fun expertsOn(map: ExpertMap, rank: Int) = map.expertBySlot.subList(rank * map.slotsPerRank, (rank + 1) * map.slotsPerRank)

private fun layerLoad(demand: GroupDemand, set: Int, ranks: Int) = LayerLoad(demand.sets[set], List(ranks) { 1.0 })

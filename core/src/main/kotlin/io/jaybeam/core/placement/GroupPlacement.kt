/*
 * Expert maps of a rank group, which have one placement for each expert set, that is, for each set of layers. The
 * duration of a pass is the slowest rank's own work plus, for each set, the work of the most loaded rank.
 */
package io.jaybeam.core.placement

import kotlinx.serialization.Serializable

/** Placements of all expert sets, by set. */
@Serializable
public data class GroupMap(
    val sets: List<ExpertMap>,
) {
    /** Returns the experts that [rank] holds in [set]. */
    public fun expertsOf(set: Int, rank: Int): List<Int> = expertsOn(sets[set], rank)
}

/** Number of tokens routed to each expert, by set. */
public data class GroupDemand(
    val sets: List<List<Double>>,
) {
    /** Number of tokens in all sets. */
    val total: Double get() = sets.sumOf { it.sum() }
}

/**
 * Limits on the cost and conditions on the gain of a map change.
 *
 * @property maxNewExpertsPerRankAndSet maximum number of experts of one set that a change may load onto a rank.
 * @property maxNewExpertsPerRank maximum number of experts of all sets that a change may load onto a rank. Ranks load
 *   experts one after the other, so this limits the time until the change is in force.
 * @property minSkew skew over all sets below which the current map is kept. Skew is the load of the most loaded rank
 *   divided by the mean load.
 * @property targetSkew skew of one set at which its planning stops.
 */
public data class GroupPlacementPolicy(
    val maxNewExpertsPerRankAndSet: Int,
    val maxNewExpertsPerRank: Int,
    val minSkew: Double,
    val targetSkew: Double,
)

/**
 * A planned map change.
 *
 * @property skewBefore skew of the current map over all sets, see [groupSkew].
 * @property skewAfter skew of the planned map over all sets.
 * @property expertsLoaded number of experts that ranks have to load for the change.
 */
public data class GroupPlan(
    val map: GroupMap,
    val skewBefore: Double,
    val skewAfter: Double,
    val expertsLoaded: Int,
)

/** Returns the map that assigns experts to ranks in round-robin order, which a group uses when it forms. */
public fun roundRobinMap(
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
 * The free slots of a rank are filled with further entries of its first expert. This does not change the rank's load as
 * long as no other rank holds that expert.
 */
public fun groupMapOf(expertsByRank: List<List<List<Int>>>, slotsPerRank: Int): GroupMap {
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

/** Returns the load of the most loaded rank divided by the mean load, both summed over all sets, of [map] under [demand]. */
public fun groupSkew(map: GroupMap, demand: GroupDemand): Double {
    val ranks = map.rankCount
    val slowest = map.sets.indices.sumOf { passDurations(map.sets[it], layerLoad(demand, it, ranks)).slowest }
    return slowest * ranks / demand.total
}

/** Returns a better map for [demand] within the limits of [policy], or null if [current] is to be kept. */
public fun planGroupPlacement(current: GroupMap, demand: GroupDemand, policy: GroupPlacementPolicy): GroupPlan? {
    if (demand.total <= 0.0) return null
    val before = groupSkew(current, demand)
    if (before < policy.minSkew) return null
    val ranks = current.rankCount
    val loads = current.sets.indices.map { layerLoad(demand, it, ranks) }
    val maps = current.sets.toMutableList()
    val newExpertsLeft = IntArray(ranks) { policy.maxNewExpertsPerRank }
    // The set that delays the group most is planned first, since all sets share the limit of new experts per rank.
    current.sets.indices.sortedByDescending { excessOverMean(current.sets[it], loads[it]) }.forEach { set ->
        val limits = newExpertsLeft.map { minOf(it, policy.maxNewExpertsPerRankAndSet) }
        maps[set] = PlacementSearch(current.sets[set], loads[set], limits).improve(Int.MAX_VALUE, policy.targetSkew)
        repeat(ranks) { rank -> newExpertsLeft[rank] -= countNewExperts(current.sets[set], maps[set], rank) }
    }
    val map = GroupMap(maps)
    val loaded = maps.indices.sumOf { set -> (0 until ranks).sumOf { countNewExperts(current.sets[set], maps[set], it) } }
    return GroupPlan(map, before, groupSkew(map, demand), loaded).takeIf { loaded > 0 }
}

/**
 * Returns a plan that loads few experts and reaches a skew of at most [acceptableSkew].
 *
 * Plans are tried with one, two and three times [GroupPlacementPolicy.maxNewExpertsPerRank]. If none reaches
 * [acceptableSkew], the one with the lowest skew is returned, or null if no change is worthwhile.
 *
 * Ranks load experts one after the other, so a change that loads fewer experts is in force sooner, and another can follow.
 */
public fun planQuickestPlacement(
    current: GroupMap,
    demand: GroupDemand,
    policy: GroupPlacementPolicy,
    acceptableSkew: Double,
): GroupPlan? {
    val plans =
        (1..MAX_LOAD_FACTOR).asSequence().mapNotNull { factor ->
            planGroupPlacement(current, demand, policy.copy(maxNewExpertsPerRank = policy.maxNewExpertsPerRank * factor))
        }
    var best: GroupPlan? = null
    for (plan in plans) {
        if (best == null || plan.skewAfter < best.skewAfter) best = plan
        if (plan.skewAfter <= acceptableSkew) break
    }
    return best
}

private const val MAX_LOAD_FACTOR = 3

private val GroupMap.rankCount: Int get() = sets.first().let { it.expertBySlot.size / it.slotsPerRank }

/** Returns the time of the slowest rank in excess of the mean. */
private fun excessOverMean(map: ExpertMap, load: LayerLoad): Double =
    passDurations(map, load).let { it.slowest - it.durationByRank.average() }

private fun countNewExperts(before: ExpertMap, after: ExpertMap, rank: Int): Int =
    (expertsOn(after, rank).toSet() - expertsOn(before, rank).toSet()).size

private fun expertsOn(map: ExpertMap, rank: Int) = map.expertBySlot.subList(rank * map.slotsPerRank, (rank + 1) * map.slotsPerRank)

private fun layerLoad(demand: GroupDemand, set: Int, ranks: Int) = LayerLoad(demand.sets[set], List(ranks) { 1.0 })

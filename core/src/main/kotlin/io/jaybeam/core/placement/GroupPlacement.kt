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
    public fun expertsOf(set: Int, rank: Int): List<Int> {
        val map = sets[set]
        return map.expertBySlot.subList(rank * map.slotsPerRank, (rank + 1) * map.slotsPerRank)
    }
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
 * @property newPerRank experts of a set that one change may load onto a rank.
 * @property minGainPercent share of the experts' time in a pass that a change has to save.
 * @property targetSkew most loaded over mean rank of a set at which its planning stops.
 */
public data class GroupPlacementPolicy(
    val newPerRank: Int,
    val minGainPercent: Double,
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
    val ranks = map.sets.first().let { it.expertBySlot.size / it.slotsPerRank }
    val slowest = map.sets.indices.sumOf { stepTimes(map.sets[it], layerLoad(demand, it, ranks)).slowest }
    return slowest * ranks / demand.total
}

/** Returns a better map for [demand] within [policy], or null where none saves enough. */
public fun planGroupPlacement(current: GroupMap, demand: GroupDemand, policy: GroupPlacementPolicy): GroupPlan? {
    if (demand.total <= 0.0) return null
    val ranks = current.sets.first().let { it.expertBySlot.size / it.slotsPerRank }
    val maps =
        current.sets.mapIndexed { set, map ->
            val load = layerLoad(demand, set, ranks)
            if (demand.sets[set].sum() <=
                0.0
            ) {
                map
            } else {
                PlacementSearch(map, load, policy.newPerRank).improve(Int.MAX_VALUE, policy.targetSkew)
            }
        }
    val map = GroupMap(maps)
    val before = groupSkew(current, demand)
    val after = groupSkew(map, demand)
    val loaded = maps.indices.sumOf { maps[it].movesFrom(current.sets[it]) }
    return GroupPlan(map, before, after, loaded).takeIf { loaded > 0 && (before - after) / before * PERCENT >= policy.minGainPercent }
}

private fun layerLoad(demand: GroupDemand, set: Int, ranks: Int) = LayerLoad(demand.sets[set], List(ranks) { 1.0 })

/*
 * Which experts of one layer stand in which slots of which ranks, and how long a step takes with it.
 */
package io.jaybeam.core.placement

import kotlinx.serialization.Serializable

/**
 * What the experts of one layer cost and how fast the ranks are.
 *
 * @property loadByExpert tokens routed to each expert in a step.
 * @property speedByRank work that each rank does in a unit of time; a straggler's is lower.
 */
public data class LayerLoad(
    val loadByExpert: List<Double>,
    val speedByRank: List<Double>,
) {
    /** Number of ranks. */
    val rankCount: Int get() = speedByRank.size

    /** Number of experts. */
    val expertCount: Int get() = loadByExpert.size
}

/**
 * A placement of experts.
 *
 * @property expertBySlot expert in each slot, the slots of rank 0 first; every expert stands in at least one.
 */
@Serializable
public data class ExpertMap(
    val slotsPerRank: Int,
    val expertBySlot: List<Int>,
) {
    /** Returns how many slots have to be loaded with other weights to get from [before] to this map. */
    public fun movesFrom(before: ExpertMap): Int {
        val ranks = expertBySlot.chunked(slotsPerRank).zip(before.expertBySlot.chunked(slotsPerRank))
        return ranks.sumOf { (after, old) -> missingFrom(old, after) }
    }

    private fun missingFrom(old: List<Int>, after: List<Int>): Int {
        val left = old.toMutableList()
        return after.count { !left.remove(it) }
    }
}

/** Step times of all ranks under one map. */
public data class StepTimes(
    val millisByRank: List<Double>,
) {
    /** Time of the whole step, since ranks advance in lock-step. */
    val slowest: Double get() = millisByRank.max()

    /** Slowest over mean rank step time. */
    val skew: Double get() = slowest / millisByRank.average()
}

/** Returns the step times of [map] under [load]; an expert's tokens are split evenly over its slots. */
public fun stepTimes(map: ExpertMap, load: LayerLoad): StepTimes {
    val copies = IntArray(load.expertCount)
    map.expertBySlot.forEach { copies[it] += 1 }
    val work = DoubleArray(load.rankCount)
    map.expertBySlot.forEachIndexed { slot, expert -> work[slot / map.slotsPerRank] += load.loadByExpert[expert] / copies[expert] }
    return StepTimes(work.mapIndexed { rank, amount -> amount / load.speedByRank[rank] })
}

/**
 * Returns a time that no map with as many slots can beat: all work spread over all ranks by speed, or the most
 * loaded expert spread over as many of the fastest ranks as there are spare slots.
 */
public fun stepTimeLowerBound(load: LayerLoad, slotsPerRank: Int): Double {
    val spread = load.loadByExpert.sum() / load.speedByRank.sum()
    val spareSlots = load.rankCount * slotsPerRank - load.expertCount
    val copies = minOf(spareSlots + 1, load.rankCount)
    val perCopy = load.loadByExpert.max() / copies
    val alone = perCopy / load.speedByRank.max()
    return maxOf(spread, alone)
}

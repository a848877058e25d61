/*
 * Placement of the experts of one layer into the slots of ranks, and the pass duration that results from it.
 */
package io.jaybeam.core.placement

import kotlinx.serialization.Serializable

/**
 * Load of the experts of one layer and speed of the ranks.
 *
 * @property loadByExpert tokens routed to each expert in a pass.
 * @property speedByRank tokens that each rank processes per unit of time; lower for a straggler.
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
 * @property expertBySlot expert in each slot, starting with the slots of rank 0; every expert has at least one slot.
 */
@Serializable
public data class ExpertMap(
    val slotsPerRank: Int,
    val expertBySlot: List<Int>,
) {
    /** Returns how many slots have to load other weights to change from map [previous] to this one. */
    public fun movesFrom(previous: ExpertMap): Int {
        val ranks = expertBySlot.chunked(slotsPerRank).zip(previous.expertBySlot.chunked(slotsPerRank))
        return ranks.sumOf { (slots, previousSlots) -> countMissing(previousSlots, slots) }
    }

    private fun countMissing(previous: List<Int>, next: List<Int>): Int {
        val remaining = previous.toMutableList()
        return next.count { !remaining.remove(it) }
    }
}

/**
 * Duration of a pass under one map, by rank.
 *
 * @property durationByRank time that each rank takes for its part of the pass, in the time unit of [LayerLoad.speedByRank].
 */
public data class PassDurations(
    val durationByRank: List<Double>,
) {
    /** Duration of the pass, since ranks advance in lock-step. */
    val slowest: Double get() = durationByRank.max()

    /** Time of the slowest rank divided by the mean over all ranks; 1 if perfectly balanced. */
    val skew: Double get() = slowest / durationByRank.average()
}

/** Returns the pass durations of [map] under [load]; the tokens of an expert are split evenly over its slots. */
public fun passDurations(map: ExpertMap, load: LayerLoad): PassDurations {
    val copies = IntArray(load.expertCount)
    map.expertBySlot.forEach { copies[it] += 1 }
    val work = DoubleArray(load.rankCount)
    map.expertBySlot.forEachIndexed { slot, expert -> work[slot / map.slotsPerRank] += load.loadByExpert[expert] / copies[expert] }
    return PassDurations(work.mapIndexed { rank, amount -> amount / load.speedByRank[rank] })
}

/**
 * Returns a lower bound of the pass duration of any map with [slotsPerRank] slots per rank.
 *
 * The bound is the higher of two times: that of all work spread over all ranks in proportion to their speed, and that of
 * the most loaded expert spread over its first slot and all spare slots, on ranks of the highest speed.
 */
public fun passDurationLowerBound(load: LayerLoad, slotsPerRank: Int): Double {
    val allWorkDuration = load.loadByExpert.sum() / load.speedByRank.sum()
    val spareSlots = load.rankCount * slotsPerRank - load.expertCount
    val copies = minOf(spareSlots + 1, load.rankCount)
    val loadPerCopy = load.loadByExpert.max() / copies
    val mostLoadedExpertDuration = loadPerCopy / load.speedByRank.max()
    return maxOf(allWorkDuration, mostLoadedExpertDuration)
}

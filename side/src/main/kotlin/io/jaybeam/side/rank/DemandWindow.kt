/*
 * Sums the demand for experts over the last moments. Demand shifts at once, and a map planned on a mixture of old and
 * new demand fits neither, so counts from before a shift are dropped as soon as it shows.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.placement.GroupDemand

// About one report of each rank.
private const val RECENT_MILLIS = 120L

// Shares of demand that two moments have in common; under one demand nine tenths, after a shift two to seven tenths.
private const val SAME_DEMAND = 0.75

/** Demand of the last [lengthMillis]. Not thread-safe. */
internal class DemandWindow(
    private val lengthMillis: Long,
) {
    private class Part(
        val atMillis: Long,
        val counts: List<Int>,
    )

    private val parts = ArrayDeque<Part>()

    /** Adds what one rank counted until [nowMillis]. */
    fun add(counts: List<Int>, nowMillis: Long) {
        if (counts.isEmpty()) return
        if (parts.firstOrNull()?.counts?.size != counts.size) parts.clear()
        parts += Part(nowMillis, counts)
        dropOld(nowMillis)
    }

    /** Forgets everything. */
    fun clear() = parts.clear()

    /** Returns the demand by set, or null where too little was counted. */
    fun demand(sets: Int, nowMillis: Long): GroupDemand? {
        dropOld(nowMillis)
        val size = parts.firstOrNull()?.counts?.size ?: return null
        if (sets <= 0 || size % sets != 0) return null
        dropBeforeShift(sets, size, nowMillis)
        return GroupDemand(sumOf(parts, size).toList().chunked(size / sets))
    }

    private fun dropOld(nowMillis: Long) {
        while (parts.isNotEmpty() && nowMillis - parts.first().atMillis > lengthMillis) parts.removeFirst()
    }

    private fun dropBeforeShift(sets: Int, size: Int, nowMillis: Long) {
        val (recent, earlier) = parts.partition { nowMillis - it.atMillis <= RECENT_MILLIS }
        if (recent.isEmpty() || earlier.isEmpty()) return
        val now = sumOf(recent, size)
        val before = sumOf(earlier, size)
        val perSet = size / sets
        if ((0 until sets).any {
                similarity(before, now, it * perSet until (it + 1) * perSet) < SAME_DEMAND
            }
        ) {
            repeat(earlier.size) { parts.removeFirst() }
        }
    }

    /** Returns the share of demand that is where it was, 0 to 1. */
    private fun similarity(before: DoubleArray, now: DoubleArray, experts: IntRange): Double {
        val totalBefore = experts.sumOf { before[it] }
        val totalNow = experts.sumOf { now[it] }
        if (totalBefore <= 0.0 || totalNow <= 0.0) return 1.0
        return experts.sumOf { minOf(before[it] / totalBefore, now[it] / totalNow) }
    }

    private fun sumOf(summed: Collection<Part>, size: Int): DoubleArray {
        val sums = DoubleArray(size)
        summed.forEach { part -> part.counts.forEachIndexed { index, count -> sums[index] += count.toDouble() } }
        return sums
    }
}

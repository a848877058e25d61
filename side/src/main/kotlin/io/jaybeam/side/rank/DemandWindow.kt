/*
 * Sums the demand for experts over a sliding window. Demand shifts abruptly, and a map that is planned for a mixture of
 * old and new demand fits neither, so counts from before a shift are dropped as soon as the shift is detected.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.placement.GroupDemand

// Covers about one report from each rank.
private const val RECENT_MILLIS = 120L

// Similarity below which demand counts as shifted. It is about 0.9 while demand stays the same and 0.2 to 0.7 after a shift.
private const val MIN_SIMILARITY = 0.75

/** Demand for experts in the last [lengthMillis]. Not thread-safe. */
internal class DemandWindow(
    private val lengthMillis: Long,
) {
    private class Sample(
        val atMillis: Long,
        val counts: List<Int>,
    )

    private val samples = ArrayDeque<Sample>()

    /** Adds the [counts] of one rank, one per expert of all sets in order, as read at [nowMillis]. */
    fun add(counts: List<Int>, nowMillis: Long) {
        if (counts.isEmpty()) return
        if (samples.firstOrNull()?.counts?.size != counts.size) samples.clear()
        samples += Sample(nowMillis, counts)
        dropExpired(nowMillis)
    }

    /** Drops all counts. */
    fun clear() = samples.clear()

    /** Returns the demand by set; null if the window has no counts or they do not divide evenly into [setCount] sets. */
    fun demand(setCount: Int, nowMillis: Long): GroupDemand? {
        dropExpired(nowMillis)
        val expertCount = samples.firstOrNull()?.counts?.size ?: return null
        if (setCount <= 0 || expertCount % setCount != 0) return null
        dropBeforeShift(setCount, expertCount, nowMillis)
        return GroupDemand(sumCounts(samples, expertCount).toList().chunked(expertCount / setCount))
    }

    private fun dropExpired(nowMillis: Long) {
        while (samples.isNotEmpty() && nowMillis - samples.first().atMillis > lengthMillis) samples.removeFirst()
    }

    private fun dropBeforeShift(setCount: Int, expertCount: Int, nowMillis: Long) {
        val (recent, earlier) = samples.partition { nowMillis - it.atMillis <= RECENT_MILLIS }
        if (recent.isEmpty() || earlier.isEmpty()) return
        val recentCounts = sumCounts(recent, expertCount)
        val earlierCounts = sumCounts(earlier, expertCount)
        val expertsPerSet = expertCount / setCount
        if ((0 until setCount).any {
                similarity(earlierCounts, recentCounts, it * expertsPerSet until (it + 1) * expertsPerSet) < MIN_SIMILARITY
            }
        ) {
            repeat(earlier.size) { samples.removeFirst() }
        }
    }

    /** Returns the share of the demand for [experts] that is distributed equally in both sums, 0 to 1. */
    private fun similarity(earlier: DoubleArray, recent: DoubleArray, experts: IntRange): Double {
        val earlierTotal = experts.sumOf { earlier[it] }
        val recentTotal = experts.sumOf { recent[it] }
        if (earlierTotal <= 0.0 || recentTotal <= 0.0) return 1.0
        return experts.sumOf { minOf(earlier[it] / earlierTotal, recent[it] / recentTotal) }
    }

    private fun sumCounts(summedSamples: Collection<Sample>, expertCount: Int): DoubleArray {
        val sums = DoubleArray(expertCount)
        summedSamples.forEach { sample -> sample.counts.forEachIndexed { index, count -> sums[index] += count.toDouble() } }
        return sums
    }
}

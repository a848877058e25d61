/*
 * Measures how often each expert was used on one rank shortly before each report of it.
 *
 * The ranks of a large group report their demand seldom, as the network link of the coordinator is limited. Counts that cover all
 * the time since the last report would then describe demand that has shifted meanwhile, so only the end of that time is measured.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.rankgroup.ExpertCounts
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.wire.CompactCounts
import io.jaybeam.wire.compactCountsOf

// Covers several passes, and with them the requests of a rank.
private const val MAX_SAMPLE_MILLIS = 400L

/** Samples the demand of [rank]. Not thread-safe; times are of the monotonic clock. */
internal class DemandSampler(
    private val rank: RankPort,
    private val nanoTime: () -> Long,
) {
    private var baseline: ExpertCounts? = null
    private var sampleStartNanos = nanoTime()
    private var dueNanos = nanoTime()
    private var isSampling = true

    /** Whether the demand is to be reported. */
    val isDue: Boolean get() = nanoTime() - dueNanos >= 0

    /** Begins the sample of the next report if it is time to. */
    fun onTick() {
        if (isSampling || nanoTime() - sampleStartNanos < 0) return
        baseline = countsOrNull()
        isSampling = true
    }

    /** Returns the demand in the sample of a rank in a group of [groupSize]; null if it is not due or not known. */
    fun takeIfDue(groupSize: Int): CompactCounts? {
        if (!isDue) return null
        val current = countsOrNull()
        val demand = current?.let { demandBetween(baseline, it) }?.let(::compactCountsOf)
        baseline = current
        if (demand == null) {
            // The next sample begins with these counts, if they are known.
            dueNanos = nanoTime() + MAX_SAMPLE_MILLIS * NANOS_PER_MILLI
            return null
        }
        val intervalNanos = demandIntervalMillis(groupSize, demand.levels.size) * NANOS_PER_MILLI
        val sampleNanos = minOf(intervalNanos, MAX_SAMPLE_MILLIS * NANOS_PER_MILLI)
        dueNanos = nanoTime() + intervalNanos
        sampleStartNanos = dueNanos - sampleNanos
        isSampling = sampleNanos == intervalNanos
        return demand
    }

    private fun countsOrNull(): ExpertCounts? = rank.counts().fold({ null }, { it })

    /** Counts accumulate from the start of the rank, so they are lower after it has restarted. */
    private fun demandBetween(previous: ExpertCounts?, current: ExpertCounts): List<Int>? {
        if (previous == null || previous.counts.size != current.counts.size || previous.epoch != current.epoch) return null
        return current.counts.indices.map { (current.counts[it] - previous.counts[it]).coerceIn(0, Int.MAX_VALUE.toLong()).toInt() }
    }
}

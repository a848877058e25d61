/*
 * Estimates the duration of a rank group's forward passes from the events of its streams. A running stream has one event per
 * pass, so the time between two events of a stream is the pass duration, and no message has to report it.
 */
package io.jaybeam.core.admission

// Long enough to include a gap of most streams, short enough to reflect a shift of demand at once.
private const val GAP_WINDOW_MILLIS = 300L
private const val MAX_GAP_COUNT = 32

// A shorter gap means that two events arrived in one packet.
private const val MIN_GAP_MILLIS = 5L

/** Estimates the pass duration of one group. Not thread-safe; times are monotonic milliseconds. */
public class PassDurationEstimator {
    private data class Gap(
        val millis: Long,
        val atMillis: Long,
    )

    private val gaps = ArrayDeque<Gap>()

    /** Records an event of a stream at [nowMillis], [gapMillis] after its previous event. */
    public fun recordGap(gapMillis: Long, nowMillis: Long) {
        if (gapMillis < MIN_GAP_MILLIS) return
        gaps.addLast(Gap(gapMillis, nowMillis))
        if (gaps.size > MAX_GAP_COUNT) gaps.removeFirst()
    }

    /**
     * Returns the duration of recent passes in milliseconds, or null if no gap has been recorded.
     *
     * This is the median of the recent gaps, or the time since the last event once that is longer, so that a long pass counts
     * before it has ended.
     */
    public fun passMillis(nowMillis: Long): Long? {
        while (gaps.size > 1 && nowMillis - gaps.first().atMillis > GAP_WINDOW_MILLIS) gaps.removeFirst()
        val last = gaps.lastOrNull() ?: return null
        val medianMillis = gaps.map { it.millis }.sorted()[gaps.size / 2]
        return maxOf(medianMillis, nowMillis - last.atMillis)
    }

    /** Removes all recorded gaps, for example when no stream runs. */
    public fun clear(): Unit = gaps.clear()
}

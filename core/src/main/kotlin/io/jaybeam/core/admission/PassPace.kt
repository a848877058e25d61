/*
 * Measures how long the passes of a rank group take, as its streams show it: a running stream has one event in each pass,
 * so the time between two events of any stream is the length of a pass. No message is needed to know it.
 */
package io.jaybeam.core.admission

// Long enough for a gap of most streams, short enough that a shift of demand shows at once.
private const val RECENT_MILLIS = 300L
private const val MAX_GAPS = 32

// Below this, two events came in one packet.
private const val MIN_GAP_MILLIS = 5L

/** Length of a group's passes. Not thread-safe; times are monotonic milliseconds. */
public class PassPace {
    private data class Gap(
        val millis: Long,
        val atMillis: Long,
    )

    private val gaps = ArrayDeque<Gap>()

    /** Notes that a stream had an event at [nowMillis], [gapMillis] after its last one. */
    public fun onGap(gapMillis: Long, nowMillis: Long) {
        if (gapMillis < MIN_GAP_MILLIS) return
        gaps.addLast(Gap(gapMillis, nowMillis))
        if (gaps.size > MAX_GAPS) gaps.removeFirst()
    }

    /**
     * Returns the length of the last passes in milliseconds, or null where no stream shows it.
     *
     * Half of the streams had a longer gap. A pass that has not ended counts as soon as it is longer than the last one.
     */
    public fun passMillis(nowMillis: Long): Long? {
        while (gaps.size > 1 && nowMillis - gaps.first().atMillis > RECENT_MILLIS) gaps.removeFirst()
        val last = gaps.lastOrNull() ?: return null
        val median = gaps.map { it.millis }.sorted()[gaps.size / 2]
        return maxOf(median, nowMillis - last.atMillis)
    }

    /** Forgets everything, as when no stream runs. */
    public fun clear(): Unit = gaps.clear()
}

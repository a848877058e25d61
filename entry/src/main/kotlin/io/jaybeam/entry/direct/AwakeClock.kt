/*
 * Time that also passes while the instance is suspended. The monotonic clock may stand still then, and what was known before would
 * look as recent as it was. The time of day goes on; it may also jump, which makes things look older than they are, and no younger.
 */
package io.jaybeam.entry.direct

import kotlin.time.Clock

// A jump that is shorter makes little difference to what is trusted for seconds.
private const val MIN_GAP_MILLIS = 400L

/** Monotonic clock of one process. Thread-safe. */
internal class AwakeClock(
    private val clock: Clock,
    private val monotonicMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) {
    private var lastMonotonicMillis = monotonicMillis()
    private var lastEpochMillis = clock.now().toEpochMilliseconds()
    private var suspendedMillis = 0L

    /** Returns monotonic milliseconds. */
    fun nowMillis(): Long =
        synchronized(this) {
            val monotonic = monotonicMillis()
            val epoch = clock.now().toEpochMilliseconds()
            val gapMillis = (epoch - lastEpochMillis) - (monotonic - lastMonotonicMillis)
            if (gapMillis > MIN_GAP_MILLIS) suspendedMillis += gapMillis
            lastMonotonicMillis = monotonic
            lastEpochMillis = epoch
            monotonic + suspendedMillis
        }
}

/*
 * Decides which requests a stopping instance still takes.
 *
 * Answers a load pattern in which callers use their open connections until the instance is gone: a request that arrives late in the
 * grace period would be cut at its end, after it was sent to a target. It is refused instead while that is still true, unless it is
 * certain to end in time or requests of its kind have lately taken less than the time that is left.
 */
package io.jaybeam.core.admission

/** Decides for one stop; the process ends [stopMillis] after it began. */
public class StopAdmission(
    private val stopMillis: Long,
) {
    /**
     * Whether to take a request that arrives [elapsedMillis] after the stop began.
     *
     * @param limitMillis time limit of the request.
     * @param longestMillis longest time that requests of its kind have lately taken; null if that is not known.
     */
    public fun accepts(elapsedMillis: Long, limitMillis: Long, longestMillis: Long?): Boolean =
        elapsedMillis + minOf(limitMillis, longestMillis ?: limitMillis) <= stopMillis
}

/**
 * Longest of the durations of the last half to whole minute, once there have been enough of them to rely on. Thread-safe; times are
 * monotonic milliseconds.
 */
public class LongestDuration(
    private val nowMillis: () -> Long,
) {
    private var periodStartMillis = nowMillis()
    private var previous = Period()
    private var current = Period()

    /** The longest duration; null if there were too few. */
    @get:Synchronized
    public val millis: Long?
        get() {
            startPeriodIfDue()
            return maxOf(previous.longestMillis, current.longestMillis).takeIf { previous.count + current.count >= MIN_COUNT }
        }

    /** Records a request that took [durationMillis]. */
    @Synchronized
    public fun record(durationMillis: Long) {
        startPeriodIfDue()
        current = Period(current.count + 1, maxOf(current.longestMillis, durationMillis))
    }

    private fun startPeriodIfDue() {
        val elapsedMillis = nowMillis() - periodStartMillis
        if (elapsedMillis < PERIOD_MILLIS) return
        previous = if (elapsedMillis < 2 * PERIOD_MILLIS) current else Period()
        current = Period()
        periodStartMillis = nowMillis()
    }

    private data class Period(
        val count: Int = 0,
        val longestMillis: Long = 0,
    )

    private companion object {
        const val PERIOD_MILLIS = 30_000L
        const val MIN_COUNT = 20
    }
}

/*
 * What targets have stated in their answers about the work that they take: none, because they leave, or none for some time.
 *
 * Answers a load pattern in which targets end or are full before the store says so, or while it cannot be read. Without this,
 * requests follow the load balance to the very targets that turn them away fastest, since those have the fewest in flight.
 */
package io.jaybeam.core.fleet

import kotlin.random.Random

/**
 * Notices of one instance's targets, by incarnation: a target that starts again under its id is not bound by what the previous one
 * stated. Times are on the monotonic clock. Thread-safe.
 */
public class TargetNotices(
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private data class Incarnation(
        val id: String,
        val startedAtEpochMillis: Long,
    )

    private val leaving = boundedMap<Unit>()
    private val pauseEndNanos = boundedMap<Long>()

    /** Records that [target] leaves; returns whether that is new. */
    @Synchronized
    public fun onLeaving(target: FleetTarget): Boolean = leaving.put(incarnationOf(target), Unit) == null

    /** Records that [target] takes no request for [delayMillis]; returns whether it took some before. A longer pause stays in force. */
    @Synchronized
    public fun onPause(target: FleetTarget, delayMillis: Long): Boolean {
        val previousMillis = pauseMillisOf(target)
        if (delayMillis <= previousMillis) return false
        pauseEndNanos[incarnationOf(target)] = nanoTime() + delayMillis * NANOS_PER_MILLI
        return previousMillis == 0L
    }

    /** Whether [target] has stated that it leaves. */
    @Synchronized
    public fun isLeaving(target: FleetTarget): Boolean = incarnationOf(target) in leaving

    /** Returns the time until [target] takes requests, in milliseconds; 0 if it does not pause. */
    @Synchronized
    public fun pauseMillisOf(target: FleetTarget): Long {
        val endNanos = pauseEndNanos[incarnationOf(target)] ?: return 0
        return maxOf(0, (endNanos - nanoTime() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
    }

    /** Whether [target] may be sent a request now. */
    @Synchronized
    public fun acceptsRequests(target: FleetTarget): Boolean = !isLeaving(target) && pauseMillisOf(target) == 0L

    /**
     * Returns the time until the first of [targets] takes requests again, in milliseconds; null if one takes requests now or if none
     * will.
     */
    @Synchronized
    public fun millisUntilAccepted(targets: List<FleetTarget>): Long? =
        targets.filterNot(::isLeaving).minOfOrNull(::pauseMillisOf)?.takeIf { it > 0 }

    private fun incarnationOf(target: FleetTarget) = Incarnation(target.id, target.startedAtEpochMillis)

    /** A map of the latest notices. They are kept when the store drops a target, as it may list the same incarnation again. */
    private fun <T> boundedMap() =
        object : LinkedHashMap<Incarnation, T>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Incarnation, T>) = size > MAX_NOTICES
        }
}

/**
 * Returns the delay after which a caller should return if no target takes requests before [acceptedMillis]: a time after it that
 * differs by caller, since callers that return together find the targets full again.
 */
public fun spreadDelayMillis(acceptedMillis: Long, random: Random): Long =
    acceptedMillis + random.nextLong(MIN_SPREAD_MILLIS + acceptedMillis / SPREAD_DIVISOR)

// Twice the targets of a large fleet, so that each may be replaced once before the oldest notices are dropped.
private const val MAX_NOTICES = 20_000
private const val MIN_SPREAD_MILLIS = 100L
private const val SPREAD_DIVISOR = 4
private const val NANOS_PER_MILLI = 1_000_000L

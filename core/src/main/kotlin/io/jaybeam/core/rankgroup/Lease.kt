/*
 * A permission that ends by itself unless it is renewed.
 *
 * The end is counted from the moment before the renewal was requested, as the one who grants it counts from a later one. Two clocks
 * are read: the monotonic clock may stand still while a machine is suspended, and the time of day may jump. The lease has ended if
 * either says so, since a lease that ends too soon is only renewed once more.
 */
package io.jaybeam.core.rankgroup

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** A lease of [duration], which nobody holds until it is renewed. Thread-safe. */
public class Lease(
    private val duration: Duration,
    private val clock: Clock,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    /** A moment on both clocks, from which a lease may count. */
    public class Start internal constructor(
        internal val mark: TimeMark,
        internal val instant: Instant,
    )

    @Volatile
    private var start: Start? = null

    /** Whether the lease is held now. */
    public val isValid: Boolean
        get() {
            val current = start ?: return false
            val elapsedOnWallClock = clock.now() - current.instant
            return current.mark.elapsedNow() < duration && elapsedOnWallClock >= Duration.ZERO && elapsedOnWallClock < duration
        }

    /** Returns the present moment; to be called before a renewal is requested. */
    public fun now(): Start = Start(timeSource.markNow(), clock.now())

    /** Renews the lease, which now counts [from] the moment before the request. */
    public fun renew(from: Start) {
        start = from
    }

    /** Gives the lease up. */
    public fun end() {
        start = null
    }
}

/*
 * Decides whether a request may wait for room: it may while its caller is expected to get a first event before it gives up, be it
 * late, since returning later would take longer still. Otherwise it is refused at once, with the time at which there is room for
 * its urgency.
 *
 * Answers load above what a service serves for longer than callers wait. Without it, requests wait until their callers leave, who
 * learn nothing meanwhile, and every start is a late one.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.fleet.spreadDelayMillis
import kotlin.random.Random

// Callers abandon a stream after the longest of these times without an event, its first one included.
private const val MIN_GIVE_UP_MILLIS = 2_000L
private const val GIVE_UP_OBJECTIVES = 4
private const val GIVE_UP_GAPS = 8

// Callers honour a `Retry-After` of up to this part of their remaining time.
private const val MAX_RETURN_DIVISOR = 3
private const val MAX_DELAY_SPREAD_DIVISOR = 4

// Callers that return sooner find the same requests waiting, and most return only once.
private const val MIN_RETURN_MILLIS = 250L

/** Returns the time after which the caller of a stream gives up without an event. */
public fun giveUpMillis(objectiveMillis: Long, maxGapMillis: Long): Long =
    maxOf(MIN_GIVE_UP_MILLIS, GIVE_UP_OBJECTIVES * objectiveMillis, GIVE_UP_GAPS * maxGapMillis)

/**
 * Starts that a service is expected to allow one instance.
 *
 * @property delayMillis time until the first of them.
 * @property startIntervalMillis mean time from one to the next; null if unknown.
 * @property firstEventMillis time from the start of a request to its first event.
 * @property freeStarts starts for which there is room already, which precede those at [startIntervalMillis].
 * @property freeIntervalMillis time from one of these to the next.
 */
public data class StartForecast(
    val delayMillis: Long,
    val startIntervalMillis: Double?,
    val firstEventMillis: Long,
    val freeStarts: Int = 0,
    val freeIntervalMillis: Long = 0,
) {
    /** Time in which the free starts among the first [count] starts take place. */
    internal fun freeMillis(count: Int): Long = minOf(count, freeStarts) * freeIntervalMillis
}

/** Time until [request] is expected to start. */
public data class ExpectedWait<T>(
    val request: WaitingRequest<T>,
    val waitMillis: Long,
)

/** Whether the caller of [expected] is expected to leave before its first event, by the [forecast] for it. */
public fun isHopeless(expected: ExpectedWait<*>, forecast: StartForecast, nowMillis: Long): Boolean =
    nowMillis + expected.waitMillis + forecast.firstEventMillis > expected.request.deadlineMillis

/**
 * Returns the delay after which a caller with [remainingMillis] left should return, given that there is room for it in
 * [waitMillis]; different for each caller.
 */
public fun returnDelayMillis(waitMillis: Long, remainingMillis: Long, random: Random): Long {
    val maxDelayMillis = maxOf(remainingMillis, 0) / MAX_RETURN_DIVISOR
    val delayMillis = spreadDelayMillis(maxOf(waitMillis, MIN_RETURN_MILLIS), random)
    if (delayMillis <= maxDelayMillis) return delayMillis
    return maxDelayMillis - random.nextLong(maxDelayMillis / MAX_DELAY_SPREAD_DIVISOR + 1)
}

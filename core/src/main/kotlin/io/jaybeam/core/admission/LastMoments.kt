/*
 * Reserves a start for each waiting request, as late as it can be, so that a request starts before its turn if it would be lost
 * otherwise.
 *
 * Answers a swing, after which there would be time for all that waits, but not in the order of urgency: less urgent work waits until
 * its callers give up, while more urgent work that precedes it could wait a little longer. Requests reserve in the order of their
 * places. Work that can be on time reserves a start with which it is, so it is made late by no request at its last moment, and under
 * lasting overload it takes all starts. What finds none waits only as long as the order of the places promises.
 */
package io.jaybeam.core.admission

import java.util.IdentityHashMap

// Starts are irregular: a request whose last start is the next but one may miss it.
private const val SPARE_STARTS = 1

// Work that can be on time reserves within this part of the time that it has left, so that more urgent arrivals find time too.
private const val ON_TIME_RESERVE_DIVISOR = 2

/** Starts for the requests at [places], which are sorted; the pace is the forecast for each. */
internal class LastMoments<T>(
    places: List<WaitingPlace<T>>,
    private val nowMillis: Long,
    private val forecast: (WaitingRequest<T>) -> StartForecast,
) {
    // If all can wait for as many starts as there are requests, the first start remains free.
    private val starts = ReservedStarts(places.size + 1)
    private val waitMillisByRequest = IdentityHashMap<WaitingRequest<T>, Long>()

    /** The request that is lost unless it starts now; null if there is time for another one. */
    var due: WaitingRequest<T>? = null
        private set

    init {
        places.forEach(::reserve)
    }

    /** Returns the time until the start that is reserved for [request]; null if there is none. */
    fun waitMillis(request: WaitingRequest<T>): Long? = waitMillisByRequest[request]

    private fun reserve(place: WaitingPlace<T>) {
        val request = place.request
        val forecast = forecast(request)
        // While there is room, starts do not wait for the ends that the interval counts, and the order of the places decides.
        if (forecast.freeStarts > 0) return
        val intervalMillis = forecast.startIntervalMillis ?: return
        val readyAtMillis = nowMillis + forecast.delayMillis
        val last = lastStart(request.deadlineMillis - forecast.firstEventMillis - readyAtMillis, intervalMillis)
        val onTimeMillis = request.startOnTimeUntilMillis - readyAtMillis
        val isOnTime = !place.isLate && onTimeMillis >= 0 && starts.reserve(minOf(lastOnTime(onTimeMillis, intervalMillis), last))
        if (!isOnTime && !starts.reserve(last)) return
        waitMillisByRequest[request] = forecast.delayMillis + ((last + 1) * intervalMillis).toLong()
        // Work that would be late, not lost, has no claim to start before its turn.
        if (!isOnTime && starts.lastReserved == 0 && forecast.delayMillis == 0L) due = request
    }

    private fun lastOnTime(remainingMillis: Long, intervalMillis: Double): Int =
        maxOf(lastStart(remainingMillis / ON_TIME_RESERVE_DIVISOR, intervalMillis), 0)

    /** Returns the last start within [remainingMillis], counted from 0; negative if there is none. */
    private fun lastStart(remainingMillis: Long, intervalMillis: Double): Int {
        val starts = (remainingMillis / intervalMillis).toInt()
        return if (remainingMillis < intervalMillis) -1 else maxOf(starts - 1 - SPARE_STARTS, 0)
    }
}

/** The next [count] starts, each reserved for at most one request. */
private class ReservedStarts(
    private val count: Int,
) {
    // The last free start up to each, both counted from 1; 0 if there is none.
    private val freeUpTo = IntArray(count + 1) { it }

    /** The start that was reserved last, counted from 0. */
    var lastReserved = -1
        private set

    /** Reserves the last free start up to [last], counted from 0; returns whether there is one. */
    fun reserve(last: Int): Boolean {
        val free = lastFree(minOf(last + 1, count))
        if (free == 0) return false
        freeUpTo[free] = free - 1
        lastReserved = free - 1
        return true
    }

    private fun lastFree(start: Int): Int {
        var free = start
        while (freeUpTo[free] != free) {
            freeUpTo[free] = freeUpTo[freeUpTo[free]]
            free = freeUpTo[free]
        }
        return free
    }
}

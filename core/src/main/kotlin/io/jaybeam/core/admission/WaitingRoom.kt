/*
 * Decides which of the requests that wait for room at a service starts next, and which gives up its place if too many wait.
 *
 * Answers load above what a service serves in time. Work that can be on time precedes work that is late already, since a late
 * start helps its caller less and costs others their time. Then more urgent work precedes less urgent work; among equals, that of
 * organisations and sessions that were served least. Callers that return as they were told are late, but precede all others for
 * a share of the starts: without it most are refused again, and without a bound they would make all others late, who return in
 * their turn. A late request that is lost unless it starts now precedes work that can wait for another start ([LastMoments]).
 * The order ignores how large a request is, so large ones are not starved by small ones. Work of each urgency that is
 * passed over is started for a floor ([StartShares]), and less urgent work gains a rank for each [MILLIS_PER_RANK] that it has
 * waited, up to the rank behind the most urgent work that waits. What runs is not stopped for anything.
 */
package io.jaybeam.core.admission

// Half of the shortest time after which callers abandon a stream without an event.
private const val MILLIS_PER_RANK = 1_000L

private val UNKNOWN_STARTS = StartForecast(delayMillis = 0, startIntervalMillis = null, firstEventMillis = 0)

/** Result of offering a request to a [WaitingRoom]. */
public sealed class RoomOffer<out T> {
    /** The request waits. */
    public data object Waiting : RoomOffer<Nothing>()

    /** The request waits in place of [evicted]. */
    public data class WaitingInsteadOf<T>(
        val evicted: WaitingRequest<T>,
    ) : RoomOffer<T>()

    /** The room is full of requests that are at least as urgent. */
    public data object Full : RoomOffer<Nothing>()
}

/**
 * Requests that wait at one service, at most [capacity]. They keep the urgency with which they arrived. Not thread-safe; times are
 * monotonic milliseconds.
 */
public class WaitingRoom<T>(
    private val capacity: Int,
) {
    private val waiting = mutableListOf<WaitingRequest<T>>()
    private val shares = StartShares()

    /** Number of requests that wait. */
    public val size: Int get() = waiting.size

    /** Returns the requests that wait, in no particular order. */
    public fun requests(): List<WaitingRequest<T>> = waiting.toList()

    /** Returns the number of waiting requests by urgency. */
    public fun countByUrgency(): Map<Urgency, Int> = waiting.groupingBy { it.urgency }.eachCount()

    /** Adds [request], which arrived. A full room evicts the least urgent request, of these the newest. */
    public fun offer(request: WaitingRequest<T>, nowMillis: Long): RoomOffer<T> {
        shares.onArrival(request, nowMillis)
        if (waiting.size < capacity) {
            waiting += request
            return RoomOffer.Waiting
        }
        val evicted = evictedFor(request) ?: return RoomOffer.Full
        waiting -= evicted
        waiting += request
        return RoomOffer.WaitingInsteadOf(evicted)
    }

    /** Whether [offer] would let [request] wait. */
    public fun hasPlaceFor(request: WaitingRequest<T>): Boolean = waiting.size < capacity || evictedFor(request) != null

    private fun evictedFor(request: WaitingRequest<T>): WaitingRequest<T>? =
        waiting.maxWithOrNull(compareBy({ it.urgency }, { it.arrivedAtMillis }))?.takeIf { it.urgency > request.urgency }

    /**
     * Returns the [eligible] request to start next, which remains in the room until [start]; null if none waits. A request that is
     * lost unless it starts now, by the [forecast] for it, precedes those that can wait ([LastMoments]).
     */
    public fun next(
        nowMillis: Long,
        forecast: (WaitingRequest<T>) -> StartForecast = { UNKNOWN_STARTS },
        eligible: (WaitingRequest<T>) -> Boolean = { true },
    ): WaitingRequest<T>? {
        val places = placesAt(nowMillis).filter { eligible(it.request) }.sorted()
        if (places.size <= 1) return places.firstOrNull()?.request
        if (shares.isOwedToReturning) places.firstOrNull { it.request.isReturning }?.let { return it.request }
        shares.owedUrgency(places.mapTo(HashSet()) { it.request.urgency })?.let { owed ->
            return places.first { it.request.urgency == owed }.request
        }
        return LastMoments(places, nowMillis, forecast).due ?: places.first().request
    }

    /** Removes [request], which starts. */
    public fun start(request: WaitingRequest<T>, nowMillis: Long) {
        check(waiting.remove(request)) { "start() was called for a request that does not wait" }
        shares.onStart(request, waiting, nowMillis)
    }

    /** Removes [request], whose caller has left or is refused; returns whether it waited. */
    public fun remove(request: WaitingRequest<T>): Boolean = waiting.remove(request)

    /** Returns the time after which each waiting request is expected to start, by the [forecast] for it. */
    public fun expectedWaits(nowMillis: Long, forecast: (WaitingRequest<T>) -> StartForecast): List<ExpectedWait<T>> {
        val aheadByUrgency = HashMap<Urgency, Int>()
        var returningAhead = 0
        val places = placesAt(nowMillis).sorted()
        val lastMoments = LastMoments(places, nowMillis, forecast)
        return places.mapIndexed { index, (request) ->
            val equalAhead = aheadByUrgency.merge(request.urgency, 1, Int::plus)!! - 1
            val ahead = Ahead(index, equalAhead, returningAhead)
            if (request.isReturning) returningAhead += 1
            val inTurnMillis = waitMillis(request, ahead, forecast(request), nowMillis)
            val lastMomentMillis = lastMoments.waitMillis(request)
            ExpectedWait(request, minOf(inTurnMillis, lastMomentMillis ?: Long.MAX_VALUE))
        }
    }

    /** Returns the time after which [request], which does not wait, would be expected to start if it did. */
    public fun expectedWaitOf(
        request: WaitingRequest<T>,
        nowMillis: Long,
        forecast: (WaitingRequest<T>) -> StartForecast,
    ): ExpectedWait<T> {
        waiting += request
        try {
            return expectedWaits(nowMillis, forecast).first { it.request === request }
        } finally {
            waiting.removeAt(waiting.lastIndex)
        }
    }

    private data class Ahead(
        val all: Int,
        val ofEqualUrgency: Int,
        val returning: Int,
    )

    /**
     * Assumes that more urgent work goes on arriving as it did and precedes [request], apart from the floor of its urgency. A caller
     * that returns is given the benefit of the doubt that none arrives, as most return once only.
     */
    private fun waitMillis(
        request: WaitingRequest<T>,
        ahead: Ahead,
        forecast: StartForecast,
        nowMillis: Long,
    ): Long {
        val intervalMillis = forecast.startIntervalMillis ?: return forecast.delayMillis
        val freeMillis = forecast.delayMillis + forecast.freeMillis(ahead.all + 1)
        if (ahead.all < forecast.freeStarts) return freeMillis
        val turns = ahead.all + 1 - forecast.freeStarts
        if (request.isReturning) {
            val byShareMillis = (ahead.returning + 1) * intervalMillis / RETURNING_SHARE
            return freeMillis + minOf(turns * intervalMillis, byShareMillis).toLong()
        }
        val floor = shares.floorOf(request.urgency, nowMillis)
        val shareLeft = maxOf(1 - shares.moreUrgentArrivalsPerMilli(request.urgency, nowMillis) * intervalMillis, floor)
        val inTurnMillis = turns * intervalMillis / shareLeft
        val byFloorMillis = (ahead.ofEqualUrgency + 1) * intervalMillis / floor
        return freeMillis + minOf(inTurnMillis, byFloorMillis).toLong()
    }

    private fun placesAt(nowMillis: Long): List<WaitingPlace<T>> {
        val mostUrgent = waiting.minOfOrNull { it.urgency.rank } ?: return emptyList()
        val servedByOrganisation = waiting.mapTo(HashSet()) { it.organisation }.associateWith { shares.servedOf(it, nowMillis) }
        val meanServed = servedByOrganisation.values.average()
        return waiting.map {
            val served = servedByOrganisation.getValue(it.organisation)
            WaitingPlace(
                request = it,
                isLate = it.isLateAt(nowMillis),
                rank = rankAt(it, mostUrgent, nowMillis),
                isOverShare = served > meanServed,
                servedOfOrganisation = served,
                isSessionServed = shares.isSessionServed(it.session, nowMillis),
            )
        }
    }

    private fun rankAt(request: WaitingRequest<T>, mostUrgent: Int, nowMillis: Long): Int {
        val gained = ((nowMillis - request.arrivedAtMillis) / MILLIS_PER_RANK).toInt()
        val rank = request.urgency.rank
        return maxOf(rank - gained, minOf(rank, mostUrgent + 1))
    }
}

/** Whether this request is late for its objective, which counts from the first time that its caller sent it. */
private fun WaitingRequest<*>.isLateAt(nowMillis: Long) = isReturning || nowMillis > startOnTimeUntilMillis

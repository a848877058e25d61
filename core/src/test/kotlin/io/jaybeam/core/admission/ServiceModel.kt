/*
 * A service with a fixed number of places, at which requests wait in a [WaitingRoom] or first come, first served. Callers give up,
 * and those that are refused retry once, after `Retry-After`.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.cost.RequestCost
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

internal const val OBJECTIVE_MILLIS = 500L
internal const val GAP_MILLIS = 150L
internal const val FIRST_EVENT_MILLIS = 100L
private const val TIME_LIMIT_MILLIS = 8_000L
private const val TICK_MILLIS = 5L
private const val MAX_OLD_WAIT_MILLIS = 1_200L

/** A caller's request as it is sent first. [work] is its duration at a place, in milliseconds. */
internal data class Sent(
    val id: Int,
    val atMillis: Long,
    val urgency: Int,
    val organisation: String = "org",
    val session: String? = null,
    val work: Double = 400.0,
) {
    val giveUpMillis get() = giveUpMillis(OBJECTIVE_MILLIS, GAP_MILLIS)
}

/** How waiting requests are ordered and refused. */
internal interface Discipline {
    /** Returns the requests that are refused as [request] arrives, with their expected waits. */
    fun offer(request: WaitingRequest<Sent>, forecast: StartForecast, nowMillis: Long): List<Pair<WaitingRequest<Sent>, Long>>

    fun next(forecast: StartForecast, nowMillis: Long): WaitingRequest<Sent>?

    fun start(request: WaitingRequest<Sent>, nowMillis: Long)

    /** Removes and returns the requests that are refused while they wait. */
    fun refusals(forecast: StartForecast, nowMillis: Long): List<Pair<WaitingRequest<Sent>, Long>>
}

/** The discipline of this project. */
internal class ByUrgency(
    capacity: Int = 256,
) : Discipline {
    val room = WaitingRoom<Sent>(capacity)

    override fun offer(request: WaitingRequest<Sent>, forecast: StartForecast, nowMillis: Long): List<Pair<WaitingRequest<Sent>, Long>> =
        when (val offer = room.offer(request, nowMillis)) {
            is RoomOffer.Waiting -> emptyList()
            is RoomOffer.WaitingInsteadOf -> listOf(offer.evicted to 1_000L)
            is RoomOffer.Full -> listOf(request to 1_000L)
        }

    override fun next(forecast: StartForecast, nowMillis: Long) = room.next(nowMillis, { forecast })

    override fun start(request: WaitingRequest<Sent>, nowMillis: Long) = room.start(request, nowMillis)

    override fun refusals(forecast: StartForecast, nowMillis: Long): List<Pair<WaitingRequest<Sent>, Long>> =
        room
            .expectedWaits(nowMillis) { forecast }
            .filter { isHopeless(it, forecast, nowMillis) }
            .map { it.request to it.waitMillis }
            .onEach { (request) -> room.remove(request) }
}

/** First come, first served: a request that would wait for over 1.2 s is refused as it arrives. */
internal class InOrderOfArrival : Discipline {
    private val waiting = ArrayDeque<WaitingRequest<Sent>>()

    override fun offer(request: WaitingRequest<Sent>, forecast: StartForecast, nowMillis: Long): List<Pair<WaitingRequest<Sent>, Long>> {
        val waitMillis = forecast.delayMillis + ((waiting.size + 1) * (forecast.startIntervalMillis ?: 0.0)).toLong()
        if (waitMillis > MAX_OLD_WAIT_MILLIS) return listOf(request to waitMillis)
        waiting += request
        return emptyList()
    }

    override fun next(forecast: StartForecast, nowMillis: Long) = waiting.firstOrNull()

    override fun start(request: WaitingRequest<Sent>, nowMillis: Long) {
        waiting -= request
    }

    override fun refusals(forecast: StartForecast, nowMillis: Long): List<Pair<WaitingRequest<Sent>, Long>> =
        waiting.filter { nowMillis > it.deadlineMillis }.map { it to 0L }.also { gone -> waiting -= gone.map { it.first }.toSet() }
}

/** What became of the requests, by the time of their first event after they were sent first. */
internal class ServiceResult(
    private val sent: List<Sent>,
    private val firstEventMillis: Map<Int, Long>,
    val maxRetryAfterMillis: Long,
) {
    fun count(which: (Sent) -> Boolean = { true }) = sent.count(which)

    fun servedShare(which: (Sent) -> Boolean = { true }): Double = share(which) { true }

    fun onTimeShare(which: (Sent) -> Boolean = { true }): Double = share(which) { it <= OBJECTIVE_MILLIS }

    fun servedShare(urgency: Int) = servedShare { it.urgency == urgency }

    fun onTimeShare(urgency: Int) = onTimeShare { it.urgency == urgency }

    private fun share(which: (Sent) -> Boolean, isGood: (Long) -> Boolean): Double {
        val chosen = sent.filter(which)
        return chosen.count { request -> firstEventMillis[request.id]?.let(isGood) == true }.toDouble() / chosen.size
    }

    override fun toString(): String =
        sent.map { it.urgency }.distinct().sorted().joinToString { urgency ->
            "urgency $urgency: ${count { it.urgency == urgency }} sent, %.3f served, %.3f on time"
                .format(servedShare(urgency), onTimeShare(urgency))
        }
}

/** Arrivals at random from 0 to [untilMillis]; [ratePerSecond] is a function of the time. */
internal fun arrivals(
    seed: Int,
    untilMillis: Long,
    ratePerSecond: (Long) -> Double,
    request: (id: Int, atMillis: Long, random: Random) -> Sent,
): List<Sent> {
    val random = Random(seed)
    val sent = mutableListOf<Sent>()
    var atMillis = 0.0
    while (atMillis < untilMillis) {
        atMillis += -1_000.0 / ratePerSecond(atMillis.toLong()) * ln(1 - random.nextDouble())
        sent += request(sent.size, atMillis.toLong(), random)
    }
    return sent
}

/** Plays [sent] at a service with [places]; it takes no request while [isClosed]. */
internal fun playService(
    sent: List<Sent>,
    discipline: Discipline,
    places: Int = 20,
    isReturningOnce: Boolean = true,
    isClosed: (Long) -> Long? = { null },
): ServiceResult {
    val random = Random(1)
    val callers = ReturningCallers()
    val returned = HashSet<Int>()
    val arriving = PriorityQueue<Pair<Long, Sent>>(compareBy({ it.first }, { it.second.id }))
    arriving += sent.map { it.atMillis to it }
    val endsMillis = PriorityQueue<Double>()
    val firstEventMillis = HashMap<Int, Long>()
    val meanWork = sent.sumOf { it.work } / sent.size
    var maxRetryAfterMillis = 0L
    var now = 0L

    fun refuse(request: Sent, waitMillis: Long) {
        val delayMillis = returnDelayMillis(waitMillis, request.atMillis + TIME_LIMIT_MILLIS - now, random)
        maxRetryAfterMillis = maxOf(maxRetryAfterMillis, delayMillis)
        callers.onRefused("${request.id}", delayMillis, now)
        if (isReturningOnce && returned.add(request.id)) arriving += (now + delayMillis) to request
    }
    while (now < sent.last().atMillis + TIME_LIMIT_MILLIS) {
        while (endsMillis.isNotEmpty() && endsMillis.peek() <= now) endsMillis.poll()
        val closedForMillis = isClosed(now)
        val intervalMillis = if (endsMillis.isEmpty()) null else meanWork / endsMillis.size
        val forecast = StartForecast(closedForMillis ?: 0, intervalMillis, FIRST_EVENT_MILLIS)
        generateSequence { arriving.peek()?.takeIf { it.first <= now }?.also { arriving.poll() } }
            .flatMap { (arrivedAtMillis, request) -> discipline.offer(waitingRequest(request, arrivedAtMillis, callers), forecast, now) }
            .toList()
            .forEach { (refused, waitMillis) -> refuse(refused.value, waitMillis) }
        val freePlaces = if (closedForMillis == null) places - endsMillis.size else 0
        discipline.startUpTo(freePlaces, forecast, now).forEach { next ->
            endsMillis += now + next.value.work
            // A caller that gave up meanwhile costs the place all the same.
            val isInTime = now + FIRST_EVENT_MILLIS <= next.deadlineMillis
            if (isInTime) firstEventMillis[next.value.id] = now + FIRST_EVENT_MILLIS - next.value.atMillis
        }
        discipline.refusals(forecast, now).forEach { (refused, waitMillis) -> refuse(refused.value, waitMillis) }
        now += TICK_MILLIS
    }
    return ServiceResult(sent, firstEventMillis, maxRetryAfterMillis)
}

private fun Discipline.startUpTo(count: Int, forecast: StartForecast, nowMillis: Long): List<WaitingRequest<Sent>> =
    generateSequence { next(forecast, nowMillis)?.also { start(it, nowMillis) } }.take(count).toList()

private fun waitingRequest(request: Sent, nowMillis: Long, callers: ReturningCallers) =
    WaitingRequest(
        value = request,
        urgency = Urgency(request.urgency),
        organisation = request.organisation,
        session = request.session,
        cost = RequestCost(readMillis = request.work, answerTokens = 0.0, memoryTokens = 0.0),
        arrivedAtMillis = nowMillis,
        startOnTimeUntilMillis = nowMillis + OBJECTIVE_MILLIS - FIRST_EVENT_MILLIS,
        deadlineMillis = nowMillis + request.giveUpMillis,
        isReturning = callers.onArrival("${request.id}", nowMillis),
    )

/*
 * Queue of the streams that wait for capacity at one service or group. [WaitingRoom] says which starts next, [StreamStart.admission]
 * whether one may start, and [StreamStart.hold] whether targets take requests at all.
 *
 * The threads of the calls wait here. Whichever of them, or of the running streams, notices a change decides for all of them, so
 * that a decision costs one pass over the queue and wakes only those that it concerns.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.ExpectedWait
import io.jaybeam.core.admission.GateState
import io.jaybeam.core.admission.PassDurationEstimator
import io.jaybeam.core.admission.ReturningCallers
import io.jaybeam.core.admission.RoomOffer
import io.jaybeam.core.admission.StartForecast
import io.jaybeam.core.admission.StreamLoad
import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.admission.WaitingRequest
import io.jaybeam.core.admission.WaitingRoom
import io.jaybeam.core.admission.isHopeless
import io.jaybeam.core.admission.returnDelayMillis
import java.util.TreeMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

// Waiting streams are decided on after this time even if no event of another stream has caused it.
private const val RECHECK_INTERVAL_MILLIS = 25L

// Events of streams that ran in the same pass arrive together.
private const val MIN_DECISION_INTERVAL_MILLIS = 5L

// Each waiting stream holds a thread and its request. More than these would not be served within the time that callers wait.
private const val MAX_WAITING_STREAMS = 256

/** Stream queue of one service or group. Thread-safe. */
internal class StreamQueue(
    capacity: Int = MAX_WAITING_STREAMS,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
    private val random: Random = Random.Default,
) {
    private class Waiter(
        val start: StreamStart,
        val queuedAtMillis: Long,
        val decided: Condition,
    ) {
        val arrival get() = start.arrival
        val admission get() = start.admission
        val hold get() = start.hold
        var outcome: StreamQueueOutcome? = null
    }

    private val lock = ReentrantLock()
    private val room = WaitingRoom<Waiter>(capacity)
    private val returningCallers = ReturningCallers()
    private val passEstimator = PassDurationEstimator()
    private val startedByGapMillis = TreeMap<Long, Int>()
    private var started = 0
    private var running = 0
    private var unreadMillis = 0.0
    private var lastStartMillis = 0L
    private var lastDecisionMillis = 0L
    private var lastPredictionMillis = 0L

    /** Number of streams that wait in the queue. */
    val waitingCount: Int get() = lock.withLock { room.size }

    /** Number of streams that wait in the queue, by urgency. */
    val waitingByUrgency: Map<Urgency, Int> get() = lock.withLock { room.countByUrgency() }

    /** Blocks until the stream of [start] may start or is refused; [onEnd] must be called for each stream that may start. */
    fun awaitStart(start: StreamStart, isCallerGone: () -> Boolean): StreamQueueOutcome =
        lock.withLock {
            val now = nowMillis()
            val waiter = Waiter(start, now, lock.newCondition())
            val request = waitingRequest(waiter, now, returningCallers.onArrival(start.arrival.content, now))
            val offer = room.offer(request, now)
            when (offer) {
                is RoomOffer.Full -> refuse(waiter, HoldReason.QUEUE_FULL, fullQueueWaitMillis(waiter), now)
                is RoomOffer.WaitingInsteadOf -> refuse(offer.evicted.value, HoldReason.EVICTED, fullQueueWaitMillis(waiter), now)
                is RoomOffer.Waiting -> Unit
            }
            decide(now)
            refuseHopeless(now)
            awaitOutcome(request, isCallerGone)
        }

    /** Returns what would be decided on the stream of [start] if it arrived now; no stream is counted. */
    fun preview(start: StreamStart): StreamPreview =
        lock.withLock {
            val now = nowMillis()
            val load = load(now)
            val waiter = Waiter(start, now, lock.newCondition())
            val request = waitingRequest(waiter, now, isReturning = false)
            val forecast = forecast(waiter, load, now)
            val mayStart = room.size == 0 && start.admission.canStart(load)
            val expected = room.expectedWaitOf(request, now) { forecast(it.value, load, now) }
            StreamPreview(
                waiting = room.size,
                started = started,
                passMillis = load.passMillis,
                mayStart = mayStart,
                waitMillis = if (mayStart) forecast.delayMillis else expected.waitMillis,
                firstEventMillis = forecast.firstEventMillis,
                isRefused = !mayStart && (!room.hasPlaceFor(request) || isHopeless(expected, forecast, now)),
            )
        }

    private fun awaitOutcome(request: WaitingRequest<Waiter>, isCallerGone: () -> Boolean): StreamQueueOutcome {
        val waiter = request.value
        var isReturned = false
        try {
            while (waiter.outcome == null) {
                if (isCallerGone()) waiter.end(StreamQueueOutcome.CallerGone(nowMillis() - waiter.queuedAtMillis)) else awaitChange(waiter)
            }
            isReturned = true
            return waiter.outcome!!
        } finally {
            room.remove(request)
            if (!isReturned && waiter.outcome is StreamQueueOutcome.Passed) waiter.endUnsent()
        }
    }

    private fun Waiter.endUnsent() = onEnd(wasRunning = false, arrival.maxGapMillis, arrival.cost.readMillis)

    private fun awaitChange(waiter: Waiter) {
        waiter.decided.await(RECHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        decideIfDue(RECHECK_INTERVAL_MILLIS)
    }

    /** Wakes the waiting streams, so that they check whether their callers are still connected. */
    fun wake() = lock.withLock { room.requests().forEach { it.value.decided.signalAll() } }

    /** Records the first event of a stream, whose prompt took [readMillis] to read. */
    fun onFirstEvent(readMillis: Double = 0.0) {
        lock.withLock {
            running += 1
            endReading(readMillis)
        }
    }

    /** Records an event of a stream, [gapMillis] after its previous event. */
    fun onEvent(gapMillis: Long) {
        lock.withLock {
            passEstimator.recordGap(gapMillis, nowMillis())
            decideIfDue(MIN_DECISION_INTERVAL_MILLIS)
        }
    }

    /** Records the end of a stream that was started with this [maxGapMillis] and [readMillis]; [wasRunning] if it had an event. */
    fun onEnd(wasRunning: Boolean, maxGapMillis: Long, readMillis: Double = 0.0) {
        lock.withLock {
            started -= 1
            startedByGapMillis.computeIfPresent(maxGapMillis) { _, count -> (count - 1).takeIf { it > 0 } }
            if (wasRunning) running -= 1 else endReading(readMillis)
            if (running == 0) passEstimator.clear()
            if (room.size > 0) decide(nowMillis())
        }
    }

    private fun endReading(readMillis: Double) {
        // Sums of fractions may leave a rest.
        unreadMillis = if (started == running) 0.0 else maxOf(unreadMillis - readMillis, 0.0)
    }

    private fun decideIfDue(intervalMillis: Long) {
        val now = nowMillis()
        if (room.size > 0 && now - lastDecisionMillis >= intervalMillis) decide(now)
    }

    private fun decide(now: Long) {
        lastDecisionMillis = now
        while (true) {
            val next = nextStartableOrNull(now) ?: break
            start(next, now)
        }
        if (now - lastPredictionMillis >= RECHECK_INTERVAL_MILLIS) refuseHopeless(now)
    }

    private fun nextStartableOrNull(now: Long): WaitingRequest<Waiter>? {
        val load = load(now)
        // Finding out that none can start costs less than finding the next one.
        if (room.requests().none { isStartable(it.value, load, now) }) return null
        val next = room.next(now, { forecast(it.value, load, now) }) { it.value.hold.mayPass() }
        return next?.takeIf { mayStart(it.value, now) }
    }

    private fun mayStart(waiter: Waiter, now: Long): Boolean = isStartable(waiter, load(now), now) && waiter.hold.tryPass(now)

    private fun isStartable(waiter: Waiter, load: StreamLoad, now: Long) = waiter.hold.isClosed(now) || waiter.admission.canStart(load)

    private fun start(request: WaitingRequest<Waiter>, now: Long) {
        val waiter = request.value
        room.start(request, now)
        val passMillis = passEstimator.passMillis(now)
        started += 1
        unreadMillis += waiter.arrival.cost.readMillis
        startedByGapMillis.merge(waiter.arrival.maxGapMillis, 1, Int::plus)
        lastStartMillis = now
        waiter.end(StreamQueueOutcome.Passed(now - waiter.queuedAtMillis, passMillis))
    }

    private fun refuseHopeless(now: Long) {
        lastPredictionMillis = now
        room.requests().forEach { endHold(it, now) }
        val load = load(now)
        room
            .expectedWaits(now) { forecast(it.value, load, now) }
            .filter { isHopeless(it, forecast(it.request.value, load, now), now) }
            .forEach { refuseHopeless(it, now) }
    }

    /** Ends the wait of [request] if the gate of its group stays closed for too long, or if another group takes requests. */
    private fun endHold(request: WaitingRequest<Waiter>, now: Long) {
        val waiter = request.value
        if (waiter.hold.mayMove(now)) {
            room.remove(request)
            waiter.end(StreamQueueOutcome.Moved(now - waiter.queuedAtMillis))
            return
        }
        val refusal = waiter.hold.refusalOrNull(now) ?: return
        room.remove(request)
        refuse(waiter, HoldReason.GATE_CLOSED, refusal.retryAfterMillis, now)
    }

    private fun refuseHopeless(expected: ExpectedWait<Waiter>, now: Long) {
        val waiter = expected.request.value
        room.remove(expected.request)
        val reason = if (waiter.hold.isClosed(now)) HoldReason.GATE_CLOSED else HoldReason.TOO_LATE
        refuse(waiter, reason, expected.waitMillis, now)
    }

    private fun forecast(waiter: Waiter, load: StreamLoad, now: Long): StartForecast {
        val forecast = waiter.admission.forecast(load)
        return when (val state = waiter.hold.state(now)) {
            is GateState.Open -> forecast
            is GateState.Closed -> forecast.copy(delayMillis = maxOf(forecast.delayMillis, state.opensInMillis ?: 0))
        }
    }

    private fun refuse(
        waiter: Waiter,
        reason: HoldReason,
        waitMillis: Long,
        now: Long,
    ) {
        val delayMillis = returnDelayMillis(waitMillis, waiter.arrival.deadlineMillis - now, random)
        returningCallers.onRefused(waiter.arrival.content, delayMillis, now)
        waiter.end(
            StreamQueueOutcome.Refused(reason, now - waiter.queuedAtMillis, waitMillis, delayMillis, passEstimator.passMillis(now)),
        )
    }

    /** Returns the time in which as many streams start as the queue holds. */
    private fun fullQueueWaitMillis(waiter: Waiter): Long {
        val now = nowMillis()
        val forecast = forecast(waiter, load(now), now)
        return forecast.delayMillis + ((forecast.startIntervalMillis ?: 0.0) * room.size).toLong()
    }

    private fun Waiter.end(outcome: StreamQueueOutcome) {
        this.outcome = outcome
        decided.signalAll()
    }

    private fun waitingRequest(waiter: Waiter, now: Long, isReturning: Boolean): WaitingRequest<Waiter> {
        val arrival = waiter.arrival
        val firstEventMillis = waiter.admission.forecast(load(now)).firstEventMillis
        return WaitingRequest(
            value = waiter,
            urgency = arrival.urgency,
            organisation = arrival.organisation,
            session = arrival.session,
            cost = arrival.cost,
            arrivedAtMillis = arrival.arrivedAtMillis,
            startOnTimeUntilMillis = arrival.arrivedAtMillis + arrival.objectiveMillis - firstEventMillis,
            deadlineMillis = arrival.firstEventByMillis,
            isReturning = isReturning,
        )
    }

    private fun load(now: Long) =
        StreamLoad(
            started = started,
            running = running,
            passMillis = passEstimator.passMillis(now),
            sinceLastStartMillis = now - lastStartMillis,
            tightestGapMillis = startedByGapMillis.firstEntry()?.key,
            unreadMillis = unreadMillis,
        )
}

/*
 * The stream queue with a thread for each call, as in an entry.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.GateState
import io.jaybeam.core.admission.OpenGate
import io.jaybeam.core.admission.StartGate
import io.jaybeam.core.admission.StreamAdmission
import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.recovery.HoldPolicy
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

private const val GAP_MILLIS = 150L
private const val WAIT_SECONDS = 10L

// Longer than any caller of these tests waits.
private const val MAX_HOLD_MILLIS = 10_000L

// As many streams as an instance starts while the pass duration is unknown.
private const val PLACES = 3

private val engine =
    EngineModel(
        batchSlots = 7,
        stepsPerPass = 4,
        stepMillis = 4.5,
        stepMillisPerRequest = 100.0,
        expertSets = 4,
        experts = 72,
        slotsPerRank = 8,
        newExpertsPerChange = 3,
        expertMegabytes = 1.0,
        expertShare = 0.85,
        meanAnswerTokens = 40,
        weightMegabitsPerSecond = 1.0,
        reportLagMillis = 0,
    )

private class TestGate(
    @Volatile var state: GateState,
) : StartGate {
    val passes = AtomicInteger()

    override fun state(nowMillis: Long) = state

    override fun tryPass(nowMillis: Long) = state is GateState.Open || passes.getAndUpdate { maxOf(it - 1, 0) } > 0
}

internal class StreamQueueTest {
    private val clockMillis = AtomicLong(1_000)
    private val queue = StreamQueue(nowMillis = clockMillis::get, random = Random(1))
    private val admission = StreamAdmission(engine, GAP_MILLIS, rankCount = 1, instanceCount = 1)

    private fun arrival(
        urgency: Int,
        content: String = "content",
        giveUpMillis: Long = 2_000,
        readMillis: Double = 0.0,
    ) = StreamArrival(
        urgency = Urgency(urgency),
        organisation = "org",
        session = null,
        cost = RequestCost(readMillis, 40.0, 40.0),
        objectiveMillis = 500,
        maxGapMillis = GAP_MILLIS,
        arrivedAtMillis = clockMillis.get(),
        firstEventByMillis = clockMillis.get() + giveUpMillis,
        deadlineMillis = clockMillis.get() + 8_000,
        content = content,
    )

    private fun start(arrival: StreamArrival, gate: StartGate = OpenGate) =
        StreamStart(
            arrival,
            admission,
            GateHold(gate, HoldPolicy(MAX_HOLD_MILLIS), arrival.arrivedAtMillis, arrival.deadlineMillis) { true },
        )

    /** Waits in a thread of its own and returns once it waits or has its outcome. */
    private fun await(
        arrival: StreamArrival,
        gate: StartGate = OpenGate,
        target: StreamQueue = queue,
        isCallerGone: () -> Boolean = { false },
    ): CompletableFuture<StreamQueueOutcome> {
        val outcome = CompletableFuture<StreamQueueOutcome>()
        val waitingBefore = target.waitingCount
        thread(isDaemon = true) {
            try {
                outcome.complete(target.awaitStart(start(arrival, gate), isCallerGone))
            } catch (e: InterruptedException) {
                outcome.completeExceptionally(e)
            }
        }
        val startedNanos = System.nanoTime()
        while (!outcome.isDone && target.waitingCount == waitingBefore) {
            check(
                System.nanoTime() - startedNanos < TimeUnit.SECONDS.toNanos(WAIT_SECONDS),
            ) { "the stream neither waits nor has an outcome" }
            Thread.sleep(1)
        }
        return outcome
    }

    private fun CompletableFuture<StreamQueueOutcome>.outcome() = get(WAIT_SECONDS, TimeUnit.SECONDS)

    private fun fillPlaces() = repeat(PLACES) { assertIs<StreamQueueOutcome.Passed>(await(arrival(1)).outcome()) }

    private fun endStream() = queue.onEnd(wasRunning = false, maxGapMillis = GAP_MILLIS)

    private fun startLargePrompts(readMillis: Double): List<StartedStream> =
        List(PLACES) {
            val arrival = arrival(1, readMillis = readMillis)
            assertIs<StreamQueueOutcome.Passed>(await(arrival).outcome())
            StartedStream(queue, arrival)
        }

    @Test
    fun `a stream that cannot have its first event in time because of unread prompts is refused at once`() {
        startLargePrompts(readMillis = 800.0)
        val refused = assertIs<StreamQueueOutcome.Refused>(await(arrival(0)).outcome())
        assertEquals(HoldReason.TOO_LATE, refused.reason)
        assertEquals(0, refused.waitedMillis)
    }

    @Test
    fun `a stream that cannot be on time because of unread prompts yields to one that can`() {
        val large = startLargePrompts(readMillis = 300.0)
        val late = await(arrival(0))
        large.forEach { it.onEvent { 0 } }
        val onTime = await(arrival(1))
        large.first().onEnd()
        assertIs<StreamQueueOutcome.Passed>(onTime.outcome())
        assertTrue(!late.isDone)
    }

    @Test
    fun `prompts are unread until the first event or the end of their stream`() {
        val large = startLargePrompts(readMillis = 800.0)
        large[0].onEvent { 0 }
        large[0].onEvent { 10 }
        large[1].onEnd()
        assertIs<StreamQueueOutcome.Passed>(await(arrival(0, giveUpMillis = 900)).outcome())
        large[0].onEnd()
        val resumed = arrival(1, readMillis = 800.0)
        assertIs<StreamQueueOutcome.Passed>(await(resumed).outcome())
        assertIs<StreamQueueOutcome.Refused>(await(arrival(0, giveUpMillis = 1_600)).outcome())
        StartedStream(queue, resumed).onEnd()
        large[2].onEnd()
        assertIs<StreamQueueOutcome.Passed>(await(arrival(0, giveUpMillis = 100)).outcome())
    }

    @Test
    fun `the most urgent of the waiting streams starts when one ends`() {
        fillPlaces()
        val patient = await(arrival(5))
        val urgent = await(arrival(0))
        assertEquals(mapOf(Urgency(0) to 1, Urgency(5) to 1), queue.waitingByUrgency)
        endStream()
        assertIs<StreamQueueOutcome.Passed>(urgent.outcome())
        assertTrue(!patient.isDone)
        endStream()
        assertIs<StreamQueueOutcome.Passed>(patient.outcome())
    }

    @Test
    fun `a stream is not started for having waited and is refused when its caller would give up`() {
        fillPlaces()
        val waiting = await(arrival(1))
        clockMillis.addAndGet(1_500)
        Thread.sleep(100)
        assertTrue(!waiting.isDone)
        clockMillis.addAndGet(500)
        val refused = assertIs<StreamQueueOutcome.Refused>(waiting.outcome())
        assertEquals(HoldReason.TOO_LATE, refused.reason)
        assertEquals(2_000, refused.waitedMillis)
        assertTrue(refused.retryAfterMillis in 0..2_000, "$refused")
        assertEquals(0, queue.waitingCount)
    }

    @Test
    fun `a stream is refused at once if the targets open later than its caller waits`() {
        val refused = assertIs<StreamQueueOutcome.Refused>(await(arrival(0), TestGate(GateState.Closed(opensInMillis = 2_200))).outcome())
        assertEquals(HoldReason.GATE_CLOSED, refused.reason)
        assertEquals(0, refused.waitedMillis)
        assertTrue(refused.retryAfterMillis in 2_200..2_666, "$refused")
    }

    @Test
    fun `while the targets are closed only as many streams start as the gate lets pass and the rest when it opens`() {
        val gate = TestGate(GateState.Closed(opensInMillis = 500))
        val patient = await(arrival(5), gate)
        val urgent = await(arrival(0), gate)
        Thread.sleep(50)
        assertTrue(!patient.isDone && !urgent.isDone)
        gate.passes.set(1)
        clockMillis.addAndGet(100)
        assertIs<StreamQueueOutcome.Passed>(urgent.outcome())
        assertTrue(!patient.isDone)
        gate.state = GateState.Open
        clockMillis.addAndGet(100)
        assertIs<StreamQueueOutcome.Passed>(patient.outcome())
    }

    @Test
    fun `a caller that leaves gives up its place`() {
        fillPlaces()
        val gone = AtomicInteger()
        val waiting = await(arrival(1)) { gone.get() > 0 }
        gone.set(1)
        queue.wake()
        assertIs<StreamQueueOutcome.CallerGone>(waiting.outcome())
        assertEquals(0, queue.waitingCount)
    }

    @Test
    fun `a full queue refuses the least urgent stream`() {
        val smallQueue = StreamQueue(capacity = 1, nowMillis = clockMillis::get)
        repeat(PLACES) { await(arrival(1), target = smallQueue) }
        val patient = await(arrival(5), target = smallQueue)
        assertEquals(HoldReason.QUEUE_FULL, assertIs<StreamQueueOutcome.Refused>(await(arrival(5), target = smallQueue).outcome()).reason)
        thread(isDaemon = true) { smallQueue.awaitStart(start(arrival(0))) { false } }
        assertEquals(HoldReason.EVICTED, assertIs<StreamQueueOutcome.Refused>(patient.outcome()).reason)
        assertEquals(mapOf(Urgency(0) to 1), smallQueue.waitingByUrgency)
    }

    @Test
    fun `many streams with ends and departures at random leave the queue empty and never exceed its places`() {
        val liveQueue = StreamQueue()
        val running = AtomicInteger()
        val maxRunning = AtomicInteger()
        val faults = CopyOnWriteArrayList<Throwable>()
        val threads =
            List(64) { index ->
                thread(isDaemon = true) {
                    runCatching {
                        val random = Random(index)
                        repeat(20) {
                            val now = System.nanoTime() / NANOS_PER_MILLI
                            val arrival = arrival(random.nextInt(3), "$index").copy(arrivedAtMillis = now, firstEventByMillis = now + 2_000)
                            val leavesAtMillis = now + random.nextLong(300)
                            val isGone = { System.nanoTime() / NANOS_PER_MILLI > leavesAtMillis }
                            if (liveQueue.awaitStart(start(arrival), isGone) is StreamQueueOutcome.Passed) {
                                val count = running.incrementAndGet()
                                maxRunning.updateAndGet { maxOf(it, count) }
                                Thread.sleep(random.nextLong(10))
                                running.decrementAndGet()
                                liveQueue.onEnd(wasRunning = false, maxGapMillis = GAP_MILLIS)
                            }
                        }
                    }.onFailure { faults += it }
                }
            }
        threads.forEach { it.join(TimeUnit.SECONDS.toMillis(60)) }
        assertTrue(threads.none { it.isAlive } && faults.isEmpty(), "$faults")
        assertTrue(maxRunning.get() in 1..PLACES, "${maxRunning.get()}")
        assertEquals(0, liveQueue.waitingCount)
        assertIs<StreamQueueOutcome.Passed>(await(arrival(1), target = liveQueue).outcome())
    }

    @Test
    fun `a previewed stream starts while there is room, waits once there is none, and takes no place`() {
        assertTrue(queue.preview(start(arrival(1))).mayStart)
        fillPlaces()
        val preview = queue.preview(start(arrival(1)))
        assertFalse(preview.mayStart)
        assertFalse(preview.isRefused)
        assertEquals(0 to PLACES, preview.waiting to preview.started)
        endStream()
        assertIs<StreamQueueOutcome.Passed>(await(arrival(1)).outcome())
    }

    @Test
    fun `a previewed stream is refused by a full queue unless it is more urgent`() {
        val small = StreamQueue(capacity = 1, nowMillis = clockMillis::get, random = Random(1))
        repeat(PLACES) { assertIs<StreamQueueOutcome.Passed>(await(arrival(1), target = small).outcome()) }
        await(arrival(1), target = small)
        assertTrue(small.preview(start(arrival(1))).isRefused)
        assertFalse(small.preview(start(arrival(0))).isRefused)
        assertEquals(1, small.waitingCount)
    }
}

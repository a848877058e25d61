/*
 * Lets streams through to the targets of one service in the order of their arrival, as [StreamAdmission] decides.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.MAX_STREAM_WAIT_MILLIS
import io.jaybeam.core.admission.PassDurationEstimator
import io.jaybeam.core.admission.StreamAdmission
import io.jaybeam.core.admission.StreamDecision
import io.jaybeam.core.admission.StreamLoad
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

// A waiting stream looks again after this time even if no event of another stream woke it.
private const val LOOK_AGAIN_MILLIS = 25L

/** What came of asking to pass. */
internal sealed class GateOutcome {
    /** The stream may go to a target, after [waitedMillis]; [passMillis] is the pace that decided it. */
    data class Passed(
        val waitedMillis: Long,
        val passMillis: Long?,
    ) : GateOutcome()

    /** There is no room; the caller may come back in [retryAfterMillis]. */
    data class Refused(
        val retryAfterMillis: Long,
        val passMillis: Long?,
    ) : GateOutcome()

    /** The caller left while its stream waited. */
    data object CallerGone : GateOutcome()
}

/** Gate before one service. Thread-safe. */
internal class StreamGate(
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val pace = PassDurationEstimator()
    private val waiting = ArrayDeque<Any>()
    private var begun = 0
    private var running = 0
    private var lastBeginMillis = 0L

    /** Streams that wait here. */
    val waitingCount: Int get() = lock.withLock { waiting.size }

    /** Waits until a stream may begin; [onEnd] must be called for each that passed. */
    fun pass(admission: StreamAdmission, isCallerGone: () -> Boolean): GateOutcome =
        lock.withLock {
            val arrivedMillis = nowMillis()
            val load = load()
            when (val decision = admission.onArrival(load)) {
                is StreamDecision.Start -> begin(arrivedMillis, load.passMillis)
                is StreamDecision.Refuse -> GateOutcome.Refused(decision.retryAfterMillis, load.passMillis)
                is StreamDecision.Wait -> await(admission, arrivedMillis, isCallerGone)
            }
        }

    private fun await(admission: StreamAdmission, arrivedMillis: Long, isCallerGone: () -> Boolean): GateOutcome {
        val ticket = Any()
        waiting.addLast(ticket)
        try {
            while (true) {
                if (isCallerGone()) return GateOutcome.CallerGone
                val load = load()
                val hasWaitedEnough = nowMillis() - arrivedMillis >= MAX_STREAM_WAIT_MILLIS
                if (hasWaitedEnough ||
                    (waiting.first() === ticket && admission.canStart(load))
                ) {
                    return begin(arrivedMillis, load.passMillis)
                }
                changed.await(LOOK_AGAIN_MILLIS, TimeUnit.MILLISECONDS)
            }
        } finally {
            waiting.remove(ticket)
            changed.signalAll()
        }
    }

    /** Wakes streams that wait, to see whether their callers are still there. */
    fun wake() = lock.withLock { changed.signalAll() }

    /** Notes the first event of a stream. */
    fun onFirstEvent() {
        lock.withLock { running += 1 }
    }

    /** Notes an event of a stream, [gapMillis] after the one before. */
    fun onEvent(gapMillis: Long) {
        lock.withLock {
            pace.recordGap(gapMillis, nowMillis())
            if (waiting.isNotEmpty()) changed.signalAll()
        }
    }

    /** Notes the end of a stream that passed; [wasRunning] where it had an event. */
    fun onEnd(wasRunning: Boolean) {
        lock.withLock {
            begun -= 1
            if (wasRunning) running -= 1
            if (running == 0) pace.clear()
            changed.signalAll()
        }
    }

    private fun begin(arrivedMillis: Long, passMillis: Long?): GateOutcome {
        val now = nowMillis()
        begun += 1
        lastBeginMillis = now
        return GateOutcome.Passed(now - arrivedMillis, passMillis)
    }

    private fun load(): StreamLoad {
        val now = nowMillis()
        return StreamLoad(begun, running, waiting.size, pace.passMillis(now), now - lastBeginMillis)
    }
}

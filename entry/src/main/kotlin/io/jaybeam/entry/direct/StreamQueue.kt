/*
 * Queue of the streams that wait for capacity at one service. Streams start in the order of their arrival, when
 * [StreamAdmission] allows it.
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

// A waiting stream checks again after this time even if no event of another stream has woken it.
private const val RECHECK_INTERVAL_MILLIS = 25L

/** Outcome of waiting in the stream queue. */
internal sealed class StreamQueueOutcome {
    /**
     * The stream may be sent to a target.
     *
     * @property waitedMillis time for which it waited.
     * @property passMillis pass duration on which the decision was based; null if unknown.
     */
    data class Passed(
        val waitedMillis: Long,
        val passMillis: Long?,
    ) : StreamQueueOutcome()

    /**
     * There is no capacity for the stream.
     *
     * @property retryAfterMillis time after which the caller may send the request again.
     * @property passMillis pass duration on which the decision was based; null if unknown.
     */
    data class Refused(
        val retryAfterMillis: Long,
        val passMillis: Long?,
    ) : StreamQueueOutcome()

    /** The caller closed its connection while the stream waited. */
    data object CallerGone : StreamQueueOutcome()
}

/** Stream queue of one service. Thread-safe. */
internal class StreamQueue(
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) {
    private val lock = ReentrantLock()
    private val stateChanged = lock.newCondition()
    private val passEstimator = PassDurationEstimator()
    private val waiters = ArrayDeque<Any>()
    private var started = 0
    private var running = 0
    private var lastStartMillis = 0L

    /** Number of streams that wait in the queue. */
    val waitingCount: Int get() = lock.withLock { waiters.size }

    /** Blocks until a stream may start or is refused; [onEnd] must be called for each stream that may start. */
    fun awaitStart(admission: StreamAdmission, isCallerGone: () -> Boolean): StreamQueueOutcome =
        lock.withLock {
            val arrivedMillis = nowMillis()
            val load = load()
            when (val decision = admission.onArrival(load)) {
                is StreamDecision.Start -> start(arrivedMillis, load.passMillis)
                is StreamDecision.Refuse -> StreamQueueOutcome.Refused(decision.retryAfterMillis, load.passMillis)
                is StreamDecision.Wait -> awaitTurn(admission, arrivedMillis, isCallerGone)
            }
        }

    private fun awaitTurn(admission: StreamAdmission, arrivedMillis: Long, isCallerGone: () -> Boolean): StreamQueueOutcome {
        val waiter = Any()
        waiters.addLast(waiter)
        try {
            while (true) {
                if (isCallerGone()) return StreamQueueOutcome.CallerGone
                val load = load()
                val hasReachedMaxWait = nowMillis() - arrivedMillis >= MAX_STREAM_WAIT_MILLIS
                if (hasReachedMaxWait ||
                    (waiters.first() === waiter && admission.canStart(load))
                ) {
                    return start(arrivedMillis, load.passMillis)
                }
                stateChanged.await(RECHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
            }
        } finally {
            waiters.remove(waiter)
            stateChanged.signalAll()
        }
    }

    /** Wakes the waiting streams, so that they check whether their callers are still connected. */
    fun wake() = lock.withLock { stateChanged.signalAll() }

    /** Records the first event of a stream. */
    fun onFirstEvent() {
        lock.withLock { running += 1 }
    }

    /** Records an event of a stream, [gapMillis] after its previous event. */
    fun onEvent(gapMillis: Long) {
        lock.withLock {
            passEstimator.recordGap(gapMillis, nowMillis())
            if (waiters.isNotEmpty()) stateChanged.signalAll()
        }
    }

    /** Records the end of a stream that was started; [wasRunning] if it had an event. */
    fun onEnd(wasRunning: Boolean) {
        lock.withLock {
            started -= 1
            if (wasRunning) running -= 1
            if (running == 0) passEstimator.clear()
            stateChanged.signalAll()
        }
    }

    private fun start(arrivedMillis: Long, passMillis: Long?): StreamQueueOutcome {
        val now = nowMillis()
        started += 1
        lastStartMillis = now
        return StreamQueueOutcome.Passed(now - arrivedMillis, passMillis)
    }

    private fun load(): StreamLoad {
        val now = nowMillis()
        return StreamLoad(started, running, waiters.size, passEstimator.passMillis(now), now - lastStartMillis)
    }
}

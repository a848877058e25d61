/*
 * One call at the gate of its service: whether it may be sent, waits or is refused.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.GateState
import io.jaybeam.core.admission.OpenGate
import io.jaybeam.core.admission.StartGate
import io.jaybeam.core.recovery.HoldDecision
import io.jaybeam.core.recovery.HoldPolicy
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

// A waiting call looks again after this time.
private const val RECHECK_INTERVAL_MILLIS = 25L

// Each waiting call holds a thread, and other services and readiness checks need some too.
private const val MAX_WAITING_CALLS = 100

// First attempts of the calls that wait with this one add to the retry budget within this time after an opening.
private const val MAX_BUDGET_WAIT_MILLIS = 250L

/**
 * A call that arrived at [arrivedMillis], at [gate].
 *
 * @param deadlineMillis time at which its caller stops waiting.
 * @param hasAlternative whether the targets of another group take requests.
 * @param isEnding whether this process is about to end.
 * @param mayPass whether the call may be sent if the gate lets it through. A call that was turned away needs a retry of the budget.
 */
internal class GateHold(
    val gate: StartGate,
    private val policy: HoldPolicy,
    private val arrivedMillis: Long,
    private val deadlineMillis: Long,
    private val hasAlternative: () -> Boolean = { false },
    private val isEnding: () -> Boolean = { false },
    val mayPass: () -> Boolean,
) {
    private var openSinceMillis: Long? = null

    /** Returns the state of the gate at [nowMillis]. */
    fun state(nowMillis: Long): GateState = gate.state(nowMillis)

    /** Whether the call should be sent to the targets of another group. */
    fun mayMove(nowMillis: Long): Boolean = isClosed(nowMillis) && hasAlternative()

    /** Whether the gate is closed at [nowMillis]. */
    fun isClosed(nowMillis: Long): Boolean = gate.state(nowMillis) is GateState.Closed

    /** Returns the refusal of the call if the gate is closed and will not open in time for it, or if it is open and no retry is left. */
    fun refusalOrNull(nowMillis: Long): HoldDecision.Refuse? {
        val remainingMillis = deadlineMillis - nowMillis
        if (remainingMillis <= 0 || isEnding()) return policy.refuseUnaffordable(maxOf(remainingMillis, 0))
        val state = gate.state(nowMillis)
        if (state is GateState.Closed) {
            openSinceMillis = null
            return policy.decide(state, nowMillis - arrivedMillis, remainingMillis) as? HoldDecision.Refuse
        }
        if (mayPass()) return null
        val sinceMillis = openSinceMillis ?: nowMillis.also { openSinceMillis = it }
        return if (nowMillis - sinceMillis >= MAX_BUDGET_WAIT_MILLIS) policy.refuseUnaffordable(remainingMillis) else null
    }

    /** Returns the time after which the caller should return if too many calls wait. */
    fun retryAfterFullMillis(nowMillis: Long): Long = policy.refuseUnaffordable(maxOf(deadlineMillis - nowMillis, 0)).retryAfterMillis

    /** Whether the call may be sent at [nowMillis]; each `true` stands for one send. */
    fun tryPass(nowMillis: Long): Boolean = mayPass() && gate.tryPass(nowMillis)

    companion object {
        /** A hold that lets its call through. */
        fun none() = GateHold(OpenGate, HoldPolicy(0), 0, 0) { true }
    }
}

/** Outcome of waiting at a gate. */
internal sealed class GateOutcome {
    /** The call may be sent after it waited for [waitedMillis]. */
    data class Passed(
        val waitedMillis: Long,
    ) : GateOutcome()

    /** The gate does not open in time. */
    data class Refused(
        val retryAfterMillis: Long,
    ) : GateOutcome()

    /** The targets of the call's group take no requests, and those of another group do. */
    data class Moved(
        val waitedMillis: Long,
    ) : GateOutcome()

    /** The caller closed its connection. */
    data object CallerGone : GateOutcome()
}

/** Calls that wait at the gate of one service without a stream queue. Thread-safe. */
internal class GateQueue(
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) {
    private val lock = ReentrantLock()
    private val stateChanged = lock.newCondition()
    private val waiters = ArrayDeque<GateHold>()

    /** Number of waiting calls. */
    val waitingCount: Int get() = lock.withLock { waiters.size }

    /** Blocks until the call of [hold] may be sent or is refused. Calls are sent in the order of their arrival. */
    fun awaitPass(hold: GateHold, isCallerGone: () -> Boolean): GateOutcome {
        val startedMillis = nowMillis()
        lock.withLock {
            if (waiters.size >= MAX_WAITING_CALLS) return GateOutcome.Refused(hold.retryAfterFullMillis(startedMillis))
            waiters.addLast(hold)
            try {
                while (true) {
                    if (isCallerGone()) return GateOutcome.CallerGone
                    val now = nowMillis()
                    if (hold.mayMove(now)) return GateOutcome.Moved(now - startedMillis)
                    val isNext = waiters.firstOrNull { it.gate === hold.gate && it.mayPass() } === hold
                    if (isNext && hold.tryPass(now)) return GateOutcome.Passed(now - startedMillis)
                    hold.refusalOrNull(now)?.let { return GateOutcome.Refused(it.retryAfterMillis) }
                    stateChanged.await(RECHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                }
            } finally {
                waiters.remove(hold)
                stateChanged.signalAll()
            }
        }
    }

    /** Wakes the waiting calls, so that they check whether their callers are still connected. */
    fun wake() = lock.withLock { stateChanged.signalAll() }
}

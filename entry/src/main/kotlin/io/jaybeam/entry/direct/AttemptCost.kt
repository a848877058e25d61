/*
 * Accounts for the cost of one attempt of a call: what its target is expected to do for it, what is left of that while its answer
 * arrives, and what it has cost in the end, from which later estimates are learned.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.cost.Backlog
import io.jaybeam.core.cost.CostEstimator
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.fleet.silenceBoundMillis

/** What decided on the target of an attempt, for the log. */
internal data class PlacementRecord(
    val cost: RequestCost,
    val backlog: Backlog,
)

/** What is known of the cost of requests: the work that each target has left, and what requests are expected to cost. */
internal class CostAccounts(
    val loads: TargetLoads,
    val estimator: CostEstimator,
)

/** An attempt of [call] at [target], of whose answer [writtenEvents] were relayed by earlier attempts. Not thread-safe. */
internal class AttemptCost(
    private val call: DirectCall,
    private val target: FleetTarget,
    accounts: CostAccounts,
    writtenEvents: Int,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val loads = accounts.loads
    private val estimator = accounts.estimator
    private val tokensPerEvent = call.engine?.stepsPerPass ?: 0
    private val cost = call.costAfter(writtenEvents)
    private val loadBefore = loads.of(target)
    private val startedNanos = nanoTime()
    private val placed = loads.onRequestStart(target.id, cost, silenceBoundMillis())
    private var outputNanos: Long? = null

    /** What is known when the attempt begins, for the log. */
    val record get() = PlacementRecord(cost, loadBefore.backlog)

    /** Returns the time for which the target may send nothing; a request that waits for a slot says nothing of it. */
    private fun silenceBoundMillis(): Long {
        val backlog = loadBefore.backlog
        if (loadBefore.requestsInFlight >= target.batchSlots) return Long.MAX_VALUE
        return silenceBoundMillis(call.route, cost.readMillis + backlog.readMillis * backlog.slowness)
    }

    /** Records output of the target after which [writtenEvents] of the whole answer were relayed. */
    fun onOutput(writtenEvents: Int) {
        if (outputNanos == null) outputNanos = nanoTime()
        val restTokens = if (tokensPerEvent == 0) 0.0 else estimator.expectedRestTokens(call.costQuery, writtenTokens(writtenEvents))
        loads.onOutput(target.id, placed, restTokens)
    }

    /**
     * Records the end of the attempt; [hasFailed] if the target failed to answer.
     *
     * Returns the actual cost relative to the expected one, or null if the answer is not complete or nothing was expected.
     */
    fun end(outcome: CallOutcome?, hasFailed: Boolean, writtenEvents: Int): Double? {
        loads.onRequestEnd(target.id, placed, hasFailed)
        if (outcome !is CallOutcome.Answered || outcome.status >= HTTP_SERVER_ERROR) return null
        return if (call.engine == null) endPlainAnswer() else endStream(writtenEvents)
    }

    private fun endStream(writtenEvents: Int): Double? {
        val isWhole = call.route.kind == RouteKind.STREAM && call.caller.lastEventId == null && writtenEvents > 0
        if (!isWhole) return null
        val tokens = writtenTokens(writtenEvents)
        estimator.onStreamEnd(call.costQuery, tokens)
        return if (call.cost.answerTokens > 0) tokens / call.cost.answerTokens else null
    }

    private fun endPlainAnswer(): Double? {
        val answeredNanos = outputNanos ?: return null
        if (call.route.kind == RouteKind.STREAM) return null
        // Requests beyond the target's slots wait there; the time is shared among those before this one.
        val batches = maxOf((loadBefore.requestsInFlight + 1.0) / maxOf(target.batchSlots, 1), 1.0)
        val workMillis = (answeredNanos - startedNanos).toDouble() / NANOS_PER_MILLI / batches
        estimator.onPlainAnswer(call.costQuery, workMillis)
        if (cost.readMillis <= 0) return null
        loads.onSpeed(target.id, workMillis, cost.readMillis)
        return workMillis / cost.readMillis
    }

    private fun writtenTokens(events: Int) = events.toDouble() * tokensPerEvent
}

private const val HTTP_SERVER_ERROR = 500

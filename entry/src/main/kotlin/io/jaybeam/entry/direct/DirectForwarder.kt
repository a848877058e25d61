/*
 * Forwards a request to targets of its service once it may start there: when there is room, and while the targets take requests at all.
 * A request that they turned away as a whole waits again, in front of the gate of its service, and is never in flight twice.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.OpenGate
import io.jaybeam.core.admission.StreamAdmission
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.Route
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.quarantine.QuarantineDecision
import io.jaybeam.core.routing.RetryBudget

/** What forwarding a call needs. */
internal class ForwarderParts(
    val snapshot: () -> FleetSnapshot,
    val costs: CostAccounts,
    val targets: TargetSelector,
    val recovery: TargetRecovery,
    val groups: GroupSelector,
    val sender: TargetSender,
    val retryBudgetFor: (String) -> RetryBudget,
    val entryCount: () -> Int,
    val retryPercent: Int,
    val crashGuard: CrashGuard,
    val streamTurns: StreamTurns,
    val isEnding: () -> Boolean,
    val observer: CallObserver,
)

/** Receives the decisions on calls, for logs and metrics. */
internal class CallObserver(
    val onStreamHeld: (DirectCall, StreamQueueOutcome) -> Unit,
    val onRequestHeld: (DirectCall, GateOutcome) -> Unit,
    val onSendFailed: (DirectCall, SendRecord) -> Unit,
    val onRetryDecided: (DirectCall, RetryDecision) -> Unit,
    val onStreamResumed: (DirectCall, SendRecord, Long) -> Unit,
    val onCostKnown: (DirectCall, Double) -> Unit,
)

/** Forwards calls. Thread-safe: each call has its own [CallExecution]. */
internal class DirectForwarder(
    private val parts: ForwarderParts,
) {
    /** Forwards [call], writes the answer to [response] and returns the outcome; blocks until the answer has ended. */
    fun forward(call: DirectCall, response: DirectResponse): CallRecord {
        val record = parts.crashGuard.refusalOf(call)?.let { CallRecord(quarantined(it)) } ?: forwardUnlessQuarantined(call, response)
        when (val outcome = record.outcome) {
            is CallOutcome.Answered -> response.complete()
            is CallOutcome.Refused -> response.refuse(outcome.refusal, outcome.retryAfterMillis)
            is CallOutcome.BrokenOff, is CallOutcome.CallerGone -> Unit
        }
        return record
    }

    private fun forwardUnlessQuarantined(call: DirectCall, response: DirectResponse): CallRecord {
        refusalIfUnavailable(call)?.let { return CallRecord(it) }
        return if (isAdmitted(call)) forwardWhenAdmitted(call, response) else forwardAtGate(call, response)
    }

    /** Returns the refusal of [call] if none of its targets takes requests now, so that it does not wait for a turn in vain. */
    private fun refusalIfUnavailable(call: DirectCall): CallOutcome.Refused? {
        if (!parts.targets.isUnavailable(call.service)) return null
        return CallOutcome.Refused(Refusal.NO_TARGET, "its targets leave or pause", parts.targets.retryAfterPauseMillis(call.service))
    }

    /** Whether the stream of [call] waits for room at its group. */
    private fun isAdmitted(call: DirectCall): Boolean = call.route.isPaced && engineOf(call) != null

    private fun engineOf(call: DirectCall): EngineModel? =
        parts
            .snapshot()
            .routes
            ?.service(call.service)
            ?.engine

    private fun admissionFor(call: DirectCall, engine: EngineModel, group: String?): StreamAdmission =
        streamAdmissionOf(call, engine, group, parts.snapshot(), parts.groups, parts.entryCount())

    private fun forwardWhenAdmitted(call: DirectCall, response: DirectResponse): CallRecord {
        val execution = CallExecution(parts, call, response)
        while (true) {
            val engine = engineOf(call) ?: return execution.refuse(retryAfterMillis = null)
            val group = parts.targets.chooseGroup(call.service)
            val admission = admissionFor(call, engine, group)
            val arrival = streamArrivalOf(call, engine, execution.patienceStartMillis)
            val streamQueue = parts.streamTurns.queueFor(call.service, group)
            val start = StreamStart(arrival, admission, execution.hold(group))
            response.watch(streamQueue::wake)
            val queueOutcome = parts.streamTurns.await(call, group, streamQueue, start) { response.isCallerGone }
            if (queueOutcome !is StreamQueueOutcome.Passed || queueOutcome.waitedMillis > 0) parts.observer.onStreamHeld(call, queueOutcome)
            when (queueOutcome) {
                is StreamQueueOutcome.CallerGone -> return CallRecord(CallOutcome.CallerGone)
                is StreamQueueOutcome.Refused -> return refusedRecord(call, execution, queueOutcome)
                is StreamQueueOutcome.Moved -> Unit
                is StreamQueueOutcome.Passed -> runStream(call, execution, group, StartedStream(streamQueue, arrival))?.let { return it }
            }
        }
    }

    private fun refusedRecord(call: DirectCall, execution: CallExecution, outcome: StreamQueueOutcome.Refused): CallRecord {
        if (outcome.reason == HoldReason.GATE_CLOSED || execution.isRepeated) return execution.refuse(outcome.retryAfterMillis)
        val detail = "${outcome.reason}, urgency ${call.urgency.rank}, passes take ${outcome.passMillis} ms"
        return CallRecord(CallOutcome.Refused(Refusal.NO_ROOM, detail, outcome.retryAfterMillis))
    }

    private fun runStream(
        call: DirectCall,
        execution: CallExecution,
        group: String?,
        stream: StartedStream,
    ): CallRecord? =
        try {
            parts.streamTurns.whileStarted(call) { execution.run(group, stream) }
        } finally {
            stream.onEnd()
        }

    private fun runAtGate(call: DirectCall, execution: CallExecution, group: String?): CallRecord? =
        parts.streamTurns.whileStarted(call) { execution.run(group, stream = null) }

    /** Forwards [call], which waits only while its targets take no requests at all. */
    private fun forwardAtGate(call: DirectCall, response: DirectResponse): CallRecord {
        val gateQueue = parts.recovery.queueOf(call.service)
        val execution = CallExecution(parts, call, response)
        while (true) {
            val group = parts.targets.chooseGroup(call.service)
            response.watch(gateQueue::wake)
            val gateOutcome = gateQueue.awaitPass(execution.hold(group)) { response.isCallerGone }
            if (gateOutcome !is GateOutcome.Passed || gateOutcome.waitedMillis > 0) parts.observer.onRequestHeld(call, gateOutcome)
            when (gateOutcome) {
                is GateOutcome.CallerGone -> return CallRecord(CallOutcome.CallerGone)
                is GateOutcome.Refused -> return execution.refuse(gateOutcome.retryAfterMillis)
                is GateOutcome.Moved -> Unit
                is GateOutcome.Passed -> runAtGate(call, execution, group)?.let { return it }
            }
        }
    }
}

/** Whether streams on this route are late if their events come too slowly, so that they wait for room at their group. */
internal val Route.isPaced: Boolean get() = kind == RouteKind.STREAM && maxEventGapMillis > 0

/** Returns the admission that decides when the stream of [call] may start at [group], or at its service as a whole if that is null. */
internal fun streamAdmissionOf(
    call: DirectCall,
    engine: EngineModel,
    group: String?,
    snapshot: FleetSnapshot,
    groups: GroupSelector,
    entryCount: Int,
): StreamAdmission {
    val targetCount = snapshot.targets.countForService(call.service)
    val rankCount = group?.let { groups.rankCountOf(call.service, it) } ?: targetCount
    return StreamAdmission(engine, call.route.maxEventGapMillis, rankCount, entryCount)
}

internal fun quarantined(refusal: QuarantineDecision.Refuse) =
    CallOutcome.Refused(Refusal.QUARANTINED, "${refusal.trait}", refusal.retryAfterMillis)

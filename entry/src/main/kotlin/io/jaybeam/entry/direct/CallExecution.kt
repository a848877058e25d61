/*
 * Sends one call to targets until one has answered it or no other may, and relays the answer.
 *
 * A request that must run at most once is sent to a second target only if the first did not run it. A request that may run
 * again is retried within the retry budget. An interrupted stream is resumed after the last event that the caller received.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.GateState
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.quarantine.QuarantineDecision
import io.jaybeam.core.recovery.holdPolicyOf
import io.jaybeam.entry.answer.AnswerFraming
import okhttp3.Response
import okio.BufferedSource
import java.io.IOException

/** Forwards [call] and answers it through [response]; not thread-safe. */
internal class CallExecution(
    private val parts: ForwarderParts,
    private val call: DirectCall,
    private val response: DirectResponse,
) {
    private val splitter = EventStreamSplitter()
    private val budget = parts.retryBudgetFor(call.service)
    private val attempts = CallAttempts(call, budget, parts.observer.onRetryDecided)
    private var isBudgetCredited = false
    private var gate = parts.recovery.gateOf(call.service, group = null)

    /** Group of the current run; null if the service is served as a whole. */
    private var group: String? = null

    /** Group whose gate the target of the current attempt tells about; null for that of the service. */
    private var gateGroup: String? = null

    /** The stream of the current run at its queue; null if the call does not wait for capacity. */
    private var stream: StartedStream? = null
    private val isRankGroup = parts.recovery.isRankGroup(call.service)

    private var relayed: RelayedAnswer? = null
    private var attemptCost: AttemptCost? = null

    /** Whether the current attempt has had output. */
    private var hasAttemptOutput = false

    /** Whether the target ended the current attempt before the end of its answer. */
    private var isAnswerBrokenOff = false
    private var lastEventNanos = 0L

    /** Whether the stream has had an event. */
    private val hasEvents: Boolean get() = lastEventNanos != 0L

    /** Whether the stream has had an event since the last [run]. */
    var hasEventsOfRun = false
        private set

    /** Server error of a target, relayed if no other target gives a better answer. */
    private var failedAnswer: BufferedAnswer? = null

    /** Time from which the caller waits for the next event, on the monotonic clock. */
    val patienceStartMillis: Long get() = (if (hasEvents) lastEventNanos else call.arrivedNanos) / NANOS_PER_MILLI

    /** Returns the hold of the call at the gate of [group], or of its service if that is null, for the next [run]. */
    fun hold(group: String?): GateHold {
        gate = parts.recovery.gateOf(call.service, group)
        val limitMillis = (call.deadlineNanos - call.arrivedNanos) / NANOS_PER_MILLI
        return GateHold(
            gate,
            holdPolicyOf(call.route, limitMillis),
            arrivedMillis = patienceStartMillis,
            deadlineMillis = call.deadlineNanos / NANOS_PER_MILLI,
            mayPass = { !isAwaitingBudget() },
            hasAlternative = { parts.targets.hasOtherOpenGroup(call.service, group) },
            isEnding = parts.isEnding,
        )
    }

    /**
     * Sends the call to targets, those of [group] first, and returns how it ended; null if it has to wait at a gate before the next run.
     * [stream] is null if the call does not wait for capacity.
     */
    fun run(group: String?, stream: StartedStream?): CallRecord? {
        this.group = group
        this.stream = stream
        if (!isBudgetCredited) budget.onFirstAttempt(parts.retryPercent)
        isBudgetCredited = true
        hasEventsOfRun = false
        attempts.forgetUncounted()
        return runAttempts()?.let { CallRecord(it, relayed) }
    }

    /** Returns the record of the call if its gate does not open in time and its caller should return after [retryAfterMillis]. */
    fun refuse(retryAfterMillis: Long?): CallRecord {
        val outcome = giveUpAs(Refusal.UNAVAILABLE)
        val isRefused = outcome is CallOutcome.Refused && outcome.refusal == Refusal.UNAVAILABLE
        return CallRecord(if (isRefused) (outcome as CallOutcome.Refused).copy(retryAfterMillis = retryAfterMillis) else outcome, relayed)
    }

    /** Whether the call was sent to a target before. */
    val isRepeated: Boolean get() = attempts.isRepeated

    /** Whether the call was turned away by a group that was not available, and the budget has no retry for it. */
    private fun isAwaitingBudget() = isRankGroup && attempts.wasTurnedAway && attempts.isNextCounted && !attempts.isBudgetLeft

    /** Whether the call should wait at its gate: it may be repeated, but its targets take nothing now. */
    private fun mustWait(): Boolean {
        if (response.isCallerGone || failedAnswer != null || !attempts.mayRepeat(splitter.isResumable)) return false
        return isAwaitingBudget() || gate.state(System.nanoTime() / NANOS_PER_MILLI) is GateState.Closed
    }

    private fun runAttempts(): CallOutcome? {
        while (true) {
            // Of several calls that waited for the same retry, one has taken it.
            if (isAwaitingBudget() && mustWait()) return null
            endBeforeAttempt()?.let { return it }
            when (val decision = parts.crashGuard.admit(call)) {
                is QuarantineDecision.Refuse -> return refuseQuarantined(decision)

                is QuarantineDecision.Admit, is QuarantineDecision.Try -> attemptAs(decision)?.let { return it }
            }
            if (mustWait()) return null
        }
    }

    /** Returns the outcome of the call if it may not be sent to a target, or not once more; takes the retry otherwise. */
    private fun endBeforeAttempt(): CallOutcome? =
        when {
            response.isCallerGone -> CallOutcome.CallerGone
            call.remainingMillis(System.nanoTime()) <= 0 -> giveUp(Refusal.DEADLINE)
            attempts.isRepeated && !attempts.tryRetry(splitter.isResumable) -> giveUpAs(Refusal.NOT_RUN)
            else -> null
        }

    private fun refuseQuarantined(decision: QuarantineDecision.Refuse) =
        if (attempts.mayHaveRun) giveUp(Refusal.OUTCOME_UNKNOWN) else quarantined(decision)

    private fun attemptAs(decision: QuarantineDecision): CallOutcome? =
        try {
            val target = parts.targets.next(call.service, attempts.triedTargetIds, call.costAfter(splitter.eventCount), group)
            when {
                target != null -> attempt(target)
                mustWait() -> null
                else -> giveUpAs(Refusal.NO_TARGET)
            }
        } finally {
            parts.crashGuard.endAttempt(decision)
        }

    /** Sends the call to [target]; returns its outcome, or null to try another target. */
    private fun attempt(target: FleetTarget): CallOutcome? {
        val record = sendRecordOf(call, target, parts.costs.loads.of(target), parts.snapshot(), splitter.eventCount)
        attempts.onAttempt(target.id)
        val lastEventId = splitter.lastEventId
        if (response.isCommitted) parts.observer.onStreamResumed(call, record, lastEventId ?: 0)
        val cost = AttemptCost(call, target, parts.costs, splitter.eventCount).also { attemptCost = it }
        gateGroup = group?.let { parts.groups.groupOf(target) ?: it }
        hasAttemptOutput = false
        isAnswerBrokenOff = false
        val sentMillis = System.nanoTime() / NANOS_PER_MILLI
        var hasFailed = true
        var callOutcome: CallOutcome? = null
        try {
            val sendOutcome = parts.sender.send(call, target, lastEventId, response)
            if (sendOutcome is SendOutcome.Answered) parts.recovery.onAnswer(call.service, gateGroup)
            callOutcome = if (sendOutcome is SendOutcome.Answered) relay(target, sendOutcome) else null
            hasFailed = callOutcome == null || callOutcome is CallOutcome.BrokenOff
            if (hasFailed) recordLostAttempt(target, sendOutcome, sentMillis)
            if (callOutcome is CallOutcome.Answered && callOutcome.status < HTTP_SERVER_ERROR) parts.crashGuard.onAnswered(call)
            return callOutcome ?: onSendFailure(target, sendOutcome, record)
        } finally {
            cost.end(callOutcome, hasFailed, splitter.eventCount)?.let { parts.observer.onCostKnown(call, it) }
        }
    }

    private fun recordLostAttempt(target: FleetTarget, outcome: SendOutcome, sentMillis: Long) {
        if (response.isCallerGone) return
        val progress =
            when (outcome) {
                is SendOutcome.Answered -> answerProgress() ?: return
                is SendOutcome.Unknown -> AttemptProgress.NOTHING
                is SendOutcome.NotRun, is SendOutcome.Unsendable -> return
            }
        parts.crashGuard.onAttemptLost(call, target, progress, sentMillis)
    }

    /** Returns how far the answer of the current attempt got; null if its target did not end it. */
    private fun answerProgress(): AttemptProgress? =
        when {
            !isAnswerBrokenOff -> null
            // The time limit of the request ended the answer, and not its target.
            hasAttemptOutput && call.remainingMillis(System.nanoTime()) <= 0 -> null
            hasAttemptOutput -> AttemptProgress.OUTPUT
            else -> AttemptProgress.HEAD
        }

    private fun recordOutput() {
        attemptCost?.onOutput(splitter.eventCount)
        if (hasAttemptOutput) return
        hasAttemptOutput = true
        parts.crashGuard.onOutput(call)
    }

    private fun onSendFailure(target: FleetTarget, outcome: SendOutcome, record: SendRecord): CallOutcome? {
        when (outcome) {
            is SendOutcome.NotRun -> onNotRun(target, outcome)
            is SendOutcome.Unknown -> attempts.onFailure(outcome.detail)
            is SendOutcome.Unsendable -> return giveUp(Refusal.MALFORMED_TARGET)
            is SendOutcome.Answered -> Unit
        }
        if (!response.isCallerGone) {
            parts.observer.onSendFailed(call, record.after(outcome, attempts.lastDetail, hasEvents))
        }
        return null
    }

    private fun onNotRun(target: FleetTarget, outcome: SendOutcome.NotRun) {
        val isTurnedAway = outcome.reason.isTargetGone || (isRankGroup && outcome.reason.isUnavailable)
        attempts.onNotRun(target.id, outcome, isCounted = !isTurnedAway)
        parts.recovery.onNotRun(call, target, outcome, gateGroup)
    }

    /** Relays an answer; returns null if it was interrupted and another target may continue. */
    private fun relay(target: FleetTarget, outcome: SendOutcome.Answered): CallOutcome? =
        outcome.response.use { received ->
            try {
                relayed = relayedAnswerOf(target, outcome, response, attemptCost?.record)
                if (call.expectsEventsIn(received)) relayStream(received) else relayAnswer(received)
            } catch (e: IOException) {
                isAnswerBrokenOff = true
                outcome.call.cancel()
                attempts.onFailure("answer broke off: ${e.javaClass.simpleName}: ${e.message}")
                null
            }
        }

    private fun relayAnswer(received: Response): CallOutcome? {
        if (response.isCommitted) throw IOException("answer ${received.code} does not continue the stream")
        val source = received.body.source()
        // A short answer is read completely before it is relayed, so that the request can be retried if reading fails.
        val isLong = source.request(BUFFERED_ANSWER_LIMIT_BYTES)
        // A target may fail a request before it reads the prompt, which shows nothing of the prompt.
        if (received.code < HTTP_SERVER_ERROR) recordOutput() else hasAttemptOutput = true
        if (!isLong) return relayShort(bufferedAnswerOf(received, source.readByteArray(), isForHead = call.method == HEAD))
        response.sendHead(received.code, headersForCaller(received, keepLength = true))
        return relayLong(source, received)
    }

    private fun relayShort(answer: BufferedAnswer): CallOutcome? {
        if (answer.status >= HTTP_SERVER_ERROR && call.route.kind == RouteKind.IDEMPOTENT && failedAnswer == null) {
            failedAnswer = answer
            attempts.onFailure("target answered ${answer.status}")
            return null
        }
        return sendBuffered(answer)
    }

    private fun sendBuffered(answer: BufferedAnswer): CallOutcome =
        writeToCaller(answer.status) {
            response.sendHead(answer.status, answer.headers)
            if (answer.body.isNotEmpty()) response.write(answer.body, answer.body.size)
        }

    private fun relayLong(source: BufferedSource, received: Response): CallOutcome {
        val chunk = ByteArray(CHUNK_BYTES)
        while (true) {
            val count =
                try {
                    source.read(chunk)
                } catch (e: IOException) {
                    isAnswerBrokenOff = true
                    return CallOutcome.BrokenOff("answer broke off: ${e.message}")
                }
            if (count < 0) return CallOutcome.Answered(received.code)
            val outcome = writeToCaller(received.code) { response.write(chunk, count) }
            if (outcome is CallOutcome.CallerGone) return outcome
        }
    }

    /**
     * Relays complete events.
     *
     * @throws IOException if the stream is interrupted; it is then resumed at another target if the route allows it.
     */
    private fun relayStream(received: Response): CallOutcome? {
        if (!response.isCommitted) {
            val outcome =
                writeToCaller(received.code) { response.sendHead(received.code, headersForCaller(received, keepLength = false)) }
            if (outcome is CallOutcome.CallerGone) return outcome
        }
        splitter.startAnswer()
        val source = received.body.source()
        val chunk = ByteArray(CHUNK_BYTES)
        while (true) {
            val count = source.read(chunk)
            if (count < 0) break
            val events = splitter.addAndTakeEvents(chunk, count) ?: continue
            recordEvent()
            val outcome = writeToCaller(received.code) { response.write(events, events.size) }
            if (outcome is CallOutcome.CallerGone) return outcome
        }
        if (splitter.hasPartialEvent) throw IOException("the stream ended in the middle of an event")
        if (!splitter.hasEventsOfAnswer && !mayBeEmpty(received)) throw IOException("the stream ended without an event")
        return CallOutcome.Answered(received.code)
    }

    /** Whether the target may have had no events left. If it crashed after the head, its connection ends the answer. */
    private fun mayBeEmpty(received: Response): Boolean {
        val isResumed = splitter.hasEvents || call.caller.lastEventId != null
        return isResumed && received.framing != AnswerFraming.CONNECTION
    }

    private fun recordEvent() {
        recordOutput()
        parts.recovery.onAnswer(call.service, gateGroup)
        val now = System.nanoTime()
        stream?.onEvent { (now - lastEventNanos) / NANOS_PER_MILLI }
        lastEventNanos = now
        hasEventsOfRun = true
    }

    /** Gives up with [refusal], which states that the call has not run, or as of unknown outcome if it may have run. */
    private fun giveUpAs(refusal: Refusal) = giveUp(if (attempts.mayHaveRun) Refusal.OUTCOME_UNKNOWN else refusal)

    private fun giveUp(refusal: Refusal): CallOutcome {
        if (response.isCallerGone) return CallOutcome.CallerGone
        if (response.isCommitted) return CallOutcome.BrokenOff("$refusal: ${attempts.lastDetail}")
        failedAnswer?.let { return sendBuffered(it) }
        val isUnsent = !attempts.isRepeated && refusal == Refusal.DEADLINE
        return CallOutcome.Refused(if (isUnsent) Refusal.NO_TARGET else refusal, attempts.lastDetail, retryAfterMillis(refusal))
    }

    /**
     * Returns the delay before a retry, or null for the default of [refusal]. A rank group of which two ranks refuse a
     * stream is unavailable and needs longer to recover; targets that all pause state for how long.
     */
    private fun retryAfterMillis(refusal: Refusal): Long? {
        if (refusal != Refusal.NOT_RUN && refusal != Refusal.NO_TARGET) return null
        val isGroupUnavailable = refusal == Refusal.NOT_RUN && call.route.kind == RouteKind.STREAM
        val recoveryMillis = if (isGroupUnavailable) groupRecoveryMillis() else null
        return listOfNotNull(recoveryMillis, parts.targets.retryAfterPauseMillis(call.service)).maxOrNull()
    }
}

private const val HEAD = "HEAD"
private const val HTTP_SERVER_ERROR = 500
private const val CHUNK_BYTES = 8_192
private const val BUFFERED_ANSWER_LIMIT_BYTES = 65_536L

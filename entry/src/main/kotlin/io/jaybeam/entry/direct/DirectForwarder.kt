/*
 * Forwards a request to a target of its service, again to another where that is allowed, and relays the answer.
 *
 * A request that must run at most once goes to a second target only if the first did not run it. What may be repeated
 * goes on within the retry budget, a broken stream after the last event that the caller has.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.StreamAdmission
import io.jaybeam.core.fleet.ColdStartRateLimiter
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.fleet.chooseTarget
import io.jaybeam.core.fleet.coldStartRatePerInstance
import io.jaybeam.core.routing.RetryBudget
import io.jaybeam.platform.Header
import io.jaybeam.platform.isForwardedToCaller
import okhttp3.Response
import okio.BufferedSource
import java.io.IOException
import kotlin.random.Random

/** How a call ended. */
internal sealed class CallEnd {
    /** The target's answer was relayed whole. */
    data class Answered(
        val status: Int,
    ) : CallEnd()

    /** The entry answered by itself; [retryAfterMillis] is known for some refusals. */
    data class Refused(
        val refusal: Refusal,
        val detail: String,
        val retryAfterMillis: Long? = null,
    ) : CallEnd()

    /** The answer broke off after its head was sent. */
    data class BrokenOff(
        val detail: String,
    ) : CallEnd()

    /** The caller closed its connection. */
    data object CallerGone : CallEnd()
}

/** One send of a call, for the log. */
internal data class SendRecord(
    val target: String,
    val load: Int,
    val targetsAgeMillis: Long,
    val detail: String,
)

/** A short answer that was read whole. */
private class HeldAnswer(
    val status: Int,
    val headers: List<Header>,
    val body: ByteArray,
)

/** Forwards calls. Thread-safe: each call has a [CallRun] of its own. */
internal class DirectForwarder(
    private val homeDataCentre: String,
    private val view: () -> FleetView,
    private val loads: TargetLoads,
    private val sender: TargetSender,
    private val budgetOf: (String) -> RetryBudget,
    private val coldLimit: ColdStartRateLimiter,
    private val entryCount: () -> Int,
    private val retryPercent: Int,
    private val gateOf: (String) -> StreamGate,
    private val onHeld: (DirectCall, GateOutcome) -> Unit,
    private val onSendFailed: (DirectCall, SendRecord) -> Unit,
    private val onResumed: (DirectCall, SendRecord, Long) -> Unit,
) {
    /** Serves [call] and returns how it ended; the answer is complete then. */
    fun forward(call: DirectCall, response: DirectResponse): CallEnd {
        val admission = admissionOf(call)
        val end = if (admission == null) CallRun(call, response, null).run() else admitted(call, response, admission)
        if (end is CallEnd.Refused) response.refuse(end.refusal, end.retryAfterMillis)
        if (end is CallEnd.BrokenOff) response.abort()
        return end
    }

    /** Returns what decides when [call] may begin; null where it need not wait. */
    private fun admissionOf(call: DirectCall): StreamAdmission? {
        if (call.route.kind != RouteKind.STREAM || call.route.maxEventGapMillis <= 0) return null
        val now = view()
        val engine = now.routes?.service(call.service)?.engine ?: return null
        return StreamAdmission(engine, call.route.maxEventGapMillis, now.targets.countForService(call.service), entryCount())
    }

    private fun admitted(call: DirectCall, response: DirectResponse, admission: StreamAdmission): CallEnd {
        val gate = gateOf(call.service)
        response.watch(gate::wake)
        val outcome = gate.pass(admission) { response.isCallerGone }
        if (outcome !is GateOutcome.Passed || outcome.waitedMillis > 0) onHeld(call, outcome)
        return when (outcome) {
            is GateOutcome.CallerGone -> {
                CallEnd.CallerGone
            }

            is GateOutcome.Refused -> {
                CallEnd.Refused(Refusal.NO_ROOM, "passes take ${outcome.passMillis} ms", outcome.retryAfterMillis)
            }

            is GateOutcome.Passed -> {
                val run = CallRun(call, response, gate)
                try {
                    run.run()
                } finally {
                    gate.onEnd(run.hasEvents)
                }
            }
        }
    }

    private inner class CallRun(
        private val call: DirectCall,
        private val response: DirectResponse,
        private val gate: StreamGate?,
    ) {
        private val tried = mutableSetOf<String>()
        private val stream = EventStream()
        private val budget = budgetOf(call.service).also { it.onFirstAttempt(retryPercent) }
        private var mayHaveRun = false
        private var lastDetail = ""

        private var lastEventNanos = 0L

        /** Whether the stream has had an event. */
        val hasEvents: Boolean get() = lastEventNanos != 0L

        /** A target's failure that is passed on if no other target does better. */
        private var failure: HeldAnswer? = null

        fun run(): CallEnd {
            while (true) {
                if (response.isCallerGone) return CallEnd.CallerGone
                if (call.remainingMillis(System.nanoTime()) <= 0) return giveUp(Refusal.DEADLINE)
                if (tried.isNotEmpty() && !mayTryAgain()) return giveUp(if (mayHaveRun) Refusal.OUTCOME_UNKNOWN else Refusal.NOT_RUN)
                val target = nextTarget() ?: return giveUp(if (mayHaveRun) Refusal.OUTCOME_UNKNOWN else Refusal.NO_TARGET)
                attempt(target)?.let { return it }
            }
        }

        private fun mayTryAgain(): Boolean {
            val isAllowed = tried.size < call.route.maxTargets && (!mayHaveRun || call.route.isRetryable)
            return isAllowed && budget.tryRetry()
        }

        private fun nextTarget(): FleetTarget? {
            val now = view()
            val nowNanos = System.nanoTime()
            val perSecond = now.routes?.service(call.service)?.coldStartRequestsPerSecond ?: 0.0
            val share = coldStartRatePerInstance(perSecond, entryCount())
            val limitsCold = perSecond > 0.0
            val candidates = now.targets.availableTargets(call.service, now.dataCentresOut).filterTo(mutableListOf()) { it.id !in tried }
            if (limitsCold) candidates.removeAll { now.isCold(it.id, nowNanos) && !coldLimit.hasCapacity(it.id, share) }
            val chosen = chooseTarget(candidates.map(loads::of), homeDataCentre, Random.Default) ?: return null
            val isTaken = !limitsCold || !now.isCold(chosen.id, nowNanos) || coldLimit.tryAcquire(chosen.id, share)
            return chosen.takeIf { isTaken }
        }

        /** Returns how the call ended, or null to try another target. */
        private fun attempt(target: FleetTarget): CallEnd? {
            val record = record(target)
            tried += target.id
            val resumeAfter = stream.lastEventId
            if (response.isCommitted) onResumed(call, record, resumeAfter ?: 0)
            loads.begin(target.id)
            var failed = true
            try {
                val outcome = sender.send(call, target, resumeAfter, response)
                val end = if (outcome is SendOutcome.Answered) relay(outcome) else null
                failed = end == null || end is CallEnd.BrokenOff
                if (end != null) return end
                return afterFailure(outcome, record)
            } finally {
                loads.end(target.id, failed)
            }
        }

        private fun afterFailure(outcome: SendOutcome, record: SendRecord): CallEnd? {
            when (outcome) {
                is SendOutcome.NotRun -> lastDetail = outcome.detail
                is SendOutcome.Unknown -> noteMayHaveRun(outcome.detail)
                is SendOutcome.Unsendable -> return giveUp(Refusal.MALFORMED_TARGET)
                is SendOutcome.Answered -> Unit
            }
            if (!response.isCallerGone) onSendFailed(call, record.copy(detail = lastDetail))
            return null
        }

        private fun noteMayHaveRun(detail: String) {
            mayHaveRun = true
            lastDetail = detail
        }

        /** Relays an answer; returns null if it broke off where another target may go on. */
        private fun relay(outcome: SendOutcome.Answered): CallEnd? =
            outcome.response.use { received ->
                try {
                    if (call.route.kind == RouteKind.STREAM && received.code == HTTP_OK) {
                        relayStream(received)
                    } else {
                        relayBody(received)
                    }
                } catch (e: IOException) {
                    outcome.call.cancel()
                    noteMayHaveRun("answer broke off: ${e.javaClass.simpleName}: ${e.message}")
                    null
                }
            }

        private fun relayBody(received: Response): CallEnd? {
            if (response.isCommitted) return CallEnd.BrokenOff("a resumed stream was answered ${received.code}")
            val source = received.body.source()
            // A short answer is read whole first, so that one that breaks off can still be asked for again.
            val isLong = source.request(HELD_BYTES)
            if (!isLong) return relayWhole(HeldAnswer(received.code, headersOf(received, keepLength = false), source.readByteArray()))
            response.head(received.code, headersOf(received, keepLength = true))
            return copy(source, received)
        }

        private fun relayWhole(answer: HeldAnswer): CallEnd? {
            if (answer.status >= HTTP_SERVER_ERROR && call.route.kind == RouteKind.IDEMPOTENT && failure == null) {
                failure = answer
                noteMayHaveRun("target answered ${answer.status}")
                return null
            }
            return send(answer)
        }

        private fun send(answer: HeldAnswer): CallEnd =
            toCaller(answer.status) {
                response.head(answer.status, answer.headers + Header("Content-Length", "${answer.body.size}"))
                if (answer.body.isNotEmpty()) response.write(answer.body, answer.body.size)
            }

        private fun copy(source: BufferedSource, received: Response): CallEnd {
            val chunk = ByteArray(CHUNK_BYTES)
            while (true) {
                val count =
                    try {
                        source.read(chunk)
                    } catch (e: IOException) {
                        return CallEnd.BrokenOff("answer broke off: ${e.message}")
                    }
                if (count < 0) return CallEnd.Answered(received.code)
                val end = toCaller(received.code) { response.write(chunk, count) }
                if (end is CallEnd.CallerGone) return end
            }
        }

        /** Passes whole events on; a stream that breaks off throws, and goes on elsewhere if the route allows it. */
        private fun relayStream(received: Response): CallEnd? {
            if (!response.isCommitted) {
                val head = toCaller(received.code) { response.head(received.code, headersOf(received, keepLength = true)) }
                if (head is CallEnd.CallerGone) return head
            }
            stream.dropPartialEvent()
            val source = received.body.source()
            val chunk = ByteArray(CHUNK_BYTES)
            while (true) {
                val count = source.read(chunk)
                if (count < 0) break
                val events = stream.wholeEvents(chunk, count) ?: continue
                noteEvent()
                val end = toCaller(received.code) { response.write(events, events.size) }
                if (end is CallEnd.CallerGone) return end
            }
            if (stream.hasPartialEvent) throw IOException("the stream ended within an event")
            return CallEnd.Answered(received.code)
        }

        private fun noteEvent() {
            val now = System.nanoTime()
            if (hasEvents) gate?.onEvent((now - lastEventNanos) / NANOS_PER_MILLI) else gate?.onFirstEvent()
            lastEventNanos = now
        }

        /** A failure to write is the caller's, unlike one to read. */
        private fun toCaller(status: Int, write: () -> Unit): CallEnd =
            try {
                write()
                CallEnd.Answered(status)
            } catch (e: IOException) {
                CallEnd.CallerGone
            }

        private fun headersOf(received: Response, keepLength: Boolean): List<Header> {
            val passed = received.headers.filter { (name, _) -> isForwardedToCaller(name) }.map { (name, value) -> Header(name, value) }
            val length = received.header("Content-Length")?.takeIf { keepLength } ?: return passed
            return passed + Header("Content-Length", length)
        }

        private fun giveUp(refusal: Refusal): CallEnd {
            if (response.isCallerGone) return CallEnd.CallerGone
            if (response.isCommitted) return CallEnd.BrokenOff("$refusal: $lastDetail")
            failure?.let { return send(it) }
            val isUnsent = tried.isEmpty() && refusal == Refusal.DEADLINE
            return CallEnd.Refused(if (isUnsent) Refusal.NO_TARGET else refusal, lastDetail, retryAfterMillis(refusal))
        }

        /** A rank group of which two ranks refuse is down as a whole; null leaves the time to the refusal. */
        private fun retryAfterMillis(refusal: Refusal): Long? =
            if (refusal == Refusal.NOT_RUN && call.route.kind == RouteKind.STREAM) {
                GROUP_RETURN_MILLIS + Random.nextLong(RETURN_SPREAD_MILLIS)
            } else {
                null
            }

        private fun record(target: FleetTarget): SendRecord {
            val ageMillis = (System.nanoTime() - view().targetsReadAtNanos) / NANOS_PER_MILLI
            return SendRecord(target.id, loads.of(target).requestsInFlight, ageMillis, "")
        }
    }
}

// A group that has lost a rank stalls for 1.5 s and forms again in 0.6 s, so it is not back before.
private const val GROUP_RETURN_MILLIS = 2_100L

// Callers come back one after the other, and within the third of a deadline of 8 s that they wait for.
private const val RETURN_SPREAD_MILLIS = 500L
private const val HTTP_OK = 200
private const val HTTP_SERVER_ERROR = 500
private const val CHUNK_BYTES = 8_192
private const val HELD_BYTES = 65_536L

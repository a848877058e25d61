/*
 * Runs one request on one given target and relays the answer, attaching again after a lost link.
 */
package io.jaybeam.entry.forward

import io.jaybeam.core.ticket.LedgerProblem
import io.jaybeam.core.ticket.RefusalReason
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.entry.calls.Call
import io.jaybeam.entry.calls.CallResult
import io.jaybeam.entry.calls.CallerResponse
import io.jaybeam.entry.calls.Problem
import io.jaybeam.entry.targets.Attempt
import io.jaybeam.entry.targets.AttemptEvent
import io.jaybeam.entry.targets.Reach
import io.jaybeam.entry.targets.TargetChannel
import io.jaybeam.wire.Frame
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** How a run on one target ended. */
internal sealed class RelayEnd {
    /** The whole answer went to the caller. */
    data class Done(
        val status: Int,
    ) : RelayEnd()

    /** The target did not run it. With a ticket, it never will. */
    data class Refused(
        val reason: RefusalReason,
        val retryAfterMillis: Long,
    ) : RelayEnd()

    /** The target's ledger cannot decide. */
    data class Undecided(
        val problem: LedgerProblem,
    ) : RelayEnd()

    /** Nothing was sent to the target. */
    data object NotSent : RelayEnd()

    /** The target may have run it; the answer cannot be had. */
    data class Lost(
        val detail: String,
    ) : RelayEnd()

    /** The caller's deadline passed. */
    data object TimedOut : RelayEnd()

    /** The caller closed its connection. */
    data object CallerGone : RelayEnd()
}

/** How much of an answer the caller has. */
internal class RelayProgress {
    var status: Int? = null
    var nextChunk: Int = 0

    /** Whether the caller has seen any part of an answer. */
    val begun: Boolean get() = status != null
}

/** Names attempts; unique within one entry. */
private val attemptIds = AtomicLong()

/** Relays answers of one call. Calls block. */
internal class AnswerRelay(
    private val call: Call,
    private val response: CallerResponse,
    private val reattachMillis: Long,
) {
    val progress = RelayProgress()
    private var missed = false

    /** Identifies the content of the call. */
    val fingerprint: String get() = call.fingerprint

    /** Returns [problem] as a refusal, or as a cut where the caller has seen part of an answer. */
    fun unfinished(problem: Problem): CallResult = if (progress.begun) CallResult.CutOff(problem.detail) else CallResult.Refusal(problem)

    /** Runs the call on [identity] through [channel], under [ticket] if there is one. */
    fun run(
        channel: TargetChannel,
        identity: TargetIncarnation,
        ticket: Ticket?,
        suspect: Boolean,
    ): RelayEnd {
        var sent = false
        while (true) {
            if (call.remainingMillis() <= 0) return RelayEnd.TimedOut
            val reach = channel.await(identity, minOf(reattachMillis, call.remainingMillis()))
            if (reach !=
                Reach.UP
            ) {
                return if (sent) RelayEnd.Lost("the target's instance is ${reach.name.lowercase()}") else RelayEnd.NotSent
            }
            val attempt = channel.open(identity, execute(ticket, suspect, attachOnly = sent)) ?: continue
            sent = true
            try {
                return relay(attempt) ?: continue
            } catch (e: IOException) {
                attempt.cancel()
                return RelayEnd.CallerGone
            } finally {
                channel.close(attempt)
            }
        }
    }

    /** Returns how the attempt ended, or null if the link was lost and the run may be attached to again. */
    private fun relay(attempt: Attempt): RelayEnd? {
        while (true) {
            val remainingMillis = call.remainingMillis()
            if (remainingMillis <= 0) {
                attempt.cancel()
                return RelayEnd.TimedOut
            }
            when (val event = attempt.next(remainingMillis)) {
                null -> continue
                is AttemptEvent.LinkLost -> return null
                is AttemptEvent.Arrived -> take(attempt, event.frame)?.let { return it }
            }
            if (missed) return null.also { missed = false }
        }
    }

    private fun take(attempt: Attempt, frame: Frame): RelayEnd? =
        when (frame) {
            is Frame.Head -> null.also { head(frame) }
            is Frame.Chunk -> null.also { chunk(attempt, frame) }
            is Frame.End -> end(attempt, frame)
            is Frame.Refused -> RelayEnd.Refused(frame.reason, frame.retryAfterMillis)
            is Frame.Undecided -> RelayEnd.Undecided(frame.problem)
            is Frame.Broken -> RelayEnd.Lost(frame.detail)
            else -> null
        }

    private fun head(frame: Frame.Head) {
        if (progress.begun) return
        response.head(frame.status, frame.headers)
        progress.status = frame.status
    }

    /** Passes on the next chunk; drops one that the caller has, and asks again where one is missing. */
    private fun chunk(attempt: Attempt, frame: Frame.Chunk) {
        if (frame.index < progress.nextChunk) return
        if (frame.index > progress.nextChunk || !progress.begun) {
            missed = true
            return
        }
        response.chunk(frame.bytes)
        progress.nextChunk += 1
        attempt.acknowledge(progress.nextChunk)
    }

    private fun end(attempt: Attempt, frame: Frame.End): RelayEnd? {
        val status = progress.status
        if (status != null && frame.chunkCount == progress.nextChunk) {
            attempt.acknowledge(progress.nextChunk)
            return RelayEnd.Done(status)
        }
        missed = true
        return null
    }

    private fun execute(ticket: Ticket?, suspect: Boolean, attachOnly: Boolean) =
        Frame.Execute(
            requestId = call.requestId,
            attemptId = attemptIds.incrementAndGet(),
            ticket = ticket,
            organisation = call.organisation,
            tier = call.tier.name,
            method = call.method,
            path = call.path,
            headers = call.headers,
            body = call.body,
            fingerprint = call.fingerprint,
            isSuspect = suspect,
            deadlineMillis = call.remainingMillis(),
            fromChunk = progress.nextChunk,
            attachOnly = attachOnly,
        )
}

/*
 * Runs a request on one target and relays the answer. After the link was lost, it attaches to the running request again.
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
import io.jaybeam.entry.targets.Reachability
import io.jaybeam.entry.targets.TargetChannel
import io.jaybeam.wire.Frame
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** Outcome of running a request on one target. */
internal sealed class RelayOutcome {
    /** The complete answer was sent to the caller. */
    data class Completed(
        val status: Int,
    ) : RelayOutcome()

    /** The target did not run the request. If the request has a ticket, the refusal is permanent. */
    data class Refused(
        val reason: RefusalReason,
        val retryAfterMillis: Long,
    ) : RelayOutcome()

    /** The target's ledger cannot decide on the ticket because of [problem]. */
    data class Undecided(
        val problem: LedgerProblem,
    ) : RelayOutcome()

    /** The request was not sent to the target. */
    data object NotSent : RelayOutcome()

    /** The target may have run the request, but its answer was lost. */
    data class AnswerLost(
        val detail: String,
    ) : RelayOutcome()

    /** The caller's deadline was exceeded. */
    data object DeadlineExceeded : RelayOutcome()

    /** The caller closed its connection. */
    data object CallerDisconnected : RelayOutcome()
}

/**
 * How much of the answer was sent to the caller.
 *
 * @property status status of the answer, or null until it was sent.
 * @property nextChunk index of the next chunk to send.
 */
internal class RelayProgress {
    var status: Int? = null
    var nextChunk: Int = 0

    /** Whether any part of the answer was sent. */
    val hasBegun: Boolean get() = status != null
}

/** Source of attempt ids, which are unique within one entry. */
private val attemptIds = AtomicLong()

/**
 * Relays the answer of one call. Its functions block.
 *
 * @property reattachMillis maximum time to wait for a lost link to a target to be open again.
 */
internal class AnswerRelay(
    private val call: Call,
    private val response: CallerResponse,
    private val reattachMillis: Long,
) {
    val progress = RelayProgress()
    private var isChunkMissing = false

    /** Hash of the content of the call. */
    val fingerprint: String get() = call.fingerprint

    /** Returns a failure with [problem], or a truncated answer if part of the answer was already sent. */
    fun failure(problem: Problem): CallResult = if (progress.hasBegun) CallResult.Truncated(problem.detail) else CallResult.Failed(problem)

    /** Runs the call on the target [identity] through [channel], with [ticket] if it is not null. */
    fun run(
        channel: TargetChannel,
        identity: TargetIncarnation,
        ticket: Ticket?,
        isSuspect: Boolean,
    ): RelayOutcome {
        var hasSent = false
        while (true) {
            if (call.remainingMillis() <= 0) return RelayOutcome.DeadlineExceeded
            val state = channel.await(identity, minOf(reattachMillis, call.remainingMillis()))
            if (state !=
                Reachability.UP
            ) {
                return if (hasSent) RelayOutcome.AnswerLost("the target's instance is ${state.name.lowercase()}") else RelayOutcome.NotSent
            }
            val attempt = channel.open(identity, executeFrame(ticket, isSuspect, attachOnly = hasSent)) ?: continue
            hasSent = true
            try {
                return relay(attempt) ?: continue
            } catch (e: IOException) {
                attempt.cancel()
                return RelayOutcome.CallerDisconnected
            } finally {
                channel.close(attempt)
            }
        }
    }

    /** Returns the outcome of the attempt, or null if the link or a chunk was lost and a new attempt has to attach to the request. */
    private fun relay(attempt: Attempt): RelayOutcome? {
        while (true) {
            val remainingMillis = call.remainingMillis()
            if (remainingMillis <= 0) {
                attempt.cancel()
                return RelayOutcome.DeadlineExceeded
            }
            when (val event = attempt.next(remainingMillis)) {
                null -> continue
                is AttemptEvent.LinkLost -> return null
                is AttemptEvent.FrameReceived -> handleFrame(attempt, event.frame)?.let { return it }
            }
            if (isChunkMissing) return null.also { isChunkMissing = false }
        }
    }

    private fun handleFrame(attempt: Attempt, frame: Frame): RelayOutcome? =
        when (frame) {
            is Frame.Head -> null.also { relayHead(frame) }
            is Frame.Chunk -> null.also { relayChunk(attempt, frame) }
            is Frame.End -> onEnd(attempt, frame)
            is Frame.Refused -> RelayOutcome.Refused(frame.reason, frame.retryAfterMillis)
            is Frame.Undecided -> RelayOutcome.Undecided(frame.problem)
            is Frame.Broken -> RelayOutcome.AnswerLost(frame.detail)
            else -> null
        }

    private fun relayHead(frame: Frame.Head) {
        if (progress.hasBegun) return
        response.sendHead(frame.status, frame.headers)
        progress.status = frame.status
    }

    /** Relays the next chunk. Drops a chunk that was already sent; a gap before the chunk ends the attempt, and the next one fills it. */
    private fun relayChunk(attempt: Attempt, frame: Frame.Chunk) {
        if (frame.index < progress.nextChunk) return
        if (frame.index > progress.nextChunk || !progress.hasBegun) {
            isChunkMissing = true
            return
        }
        response.sendChunk(frame.bytes)
        progress.nextChunk += 1
        attempt.acknowledge(progress.nextChunk)
    }

    private fun onEnd(attempt: Attempt, frame: Frame.End): RelayOutcome? {
        val status = progress.status
        if (status != null && frame.chunkCount == progress.nextChunk) {
            attempt.acknowledge(progress.nextChunk)
            return RelayOutcome.Completed(status)
        }
        isChunkMissing = true
        return null
    }

    private fun executeFrame(ticket: Ticket?, isSuspect: Boolean, attachOnly: Boolean) =
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
            isSuspect = isSuspect,
            deadlineMillis = call.remainingMillis(),
            fromChunk = progress.nextChunk,
            attachOnly = attachOnly,
        )
}

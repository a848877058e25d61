/*
 * Forwards requests that run at most once, by walking their ticket's members in order.
 */
package io.jaybeam.entry.forward

import io.jaybeam.core.quarantine.CrashStatus
import io.jaybeam.core.quarantine.CrashTracker
import io.jaybeam.core.ticket.AttemptStep
import io.jaybeam.core.ticket.MemberReply
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.core.ticket.encode
import io.jaybeam.core.ticket.nextStep
import io.jaybeam.entry.calls.Call
import io.jaybeam.entry.calls.CallResult
import io.jaybeam.entry.calls.CallerResponse
import io.jaybeam.entry.calls.noTarget
import io.jaybeam.entry.targets.TargetDirectory

private const val MAX_MINTS = 3

/** Forwards calls under tickets. Calls block. */
internal class TicketForwarder(
    private val directory: TargetDirectory,
    private val mint: TicketMint,
    private val crashes: CrashTracker,
    private val reattachMillis: Long,
    private val monotonicMillis: () -> Long,
) {
    /** Runs [call] under the caller's [ticket]. */
    fun forward(call: Call, response: CallerResponse, ticket: Ticket): CallResult {
        if (quarantined(call)) return CallResult.Refusal(quarantined(mayHaveRun = true))
        return TicketWalk(AnswerRelay(call, response, reattachMillis), ticket).result()
    }

    /** Runs [call] under a ticket that the caller does not know, so that it may be replaced while nothing was sent. */
    fun forwardOnce(call: Call, response: CallerResponse): CallResult {
        if (quarantined(call)) return CallResult.Refusal(quarantined(mayHaveRun = false))
        val unreached = mutableSetOf<TargetIncarnation>()
        repeat(MAX_MINTS) {
            val ticket = mint.mintOrNull(call.service, call.organisation, unreached)
            if (ticket == null) return CallResult.Refusal(noTarget(noTargetTakesWork(call.service)))
            val walk = TicketWalk(AnswerRelay(call, response, reattachMillis), ticket)
            val result = walk.result()
            if (walk.sentAnything) return result
            unreached += ticket.members.first()
        }
        return CallResult.Refusal(noTarget("no target of service ${call.service} could be reached"))
    }

    private fun quarantined(call: Call) = crashes.status(call.fingerprint, monotonicMillis()) == CrashStatus.QUARANTINED

    /** One walk along the members of [ticket]. */
    private inner class TicketWalk(
        private val relay: AnswerRelay,
        private val ticket: Ticket,
    ) {
        private val replies = mutableListOf<MemberReply>()

        /** Whether any member was sent the request. */
        var sentAnything = false
            private set

        fun result(): CallResult {
            var result: CallResult? = null
            while (result == null) result = step()
            return result
        }

        /** Takes one step; returns the result once there is one. */
        private fun step(): CallResult? =
            when (val step = ticket.nextStep(replies)) {
                is AttemptStep.Send -> tryMember(step.member)
                is AttemptStep.NotRun -> CallResult.Refusal(ticketNotRun(step.reason))
                is AttemptStep.OutcomeUnknown -> CallResult.Refusal(ticketOutcomeUnknown(ticket, step.problem.describe()))
                is AttemptStep.Relay -> error("a running member is relayed by tryMember")
            }

        private fun tryMember(member: TargetIncarnation): CallResult? {
            val suspect = crashes.status(relay.fingerprint, monotonicMillis()) != CrashStatus.CLEAR
            val end = directory.channelOf(member)?.let { relay.run(it, member, ticket, suspect) } ?: RelayEnd.NotSent
            if (end != RelayEnd.NotSent) sentAnything = true
            return when (end) {
                is RelayEnd.Done -> CallResult.Relayed(end.status)
                is RelayEnd.CallerGone -> CallResult.CallerGone
                is RelayEnd.TimedOut -> relay.unfinished(deadlinePassed().copy(ticket = ticket.encode()))
                is RelayEnd.Lost -> relay.unfinished(ticketOutcomeUnknown(ticket, end.detail))
                is RelayEnd.Refused -> null.also { replies += MemberReply.Refused(end.reason) }
                is RelayEnd.Undecided -> null.also { replies += MemberReply.Undecided(end.problem) }
                is RelayEnd.NotSent -> null.also { replies += MemberReply.NoReply }
            }
        }
    }
}

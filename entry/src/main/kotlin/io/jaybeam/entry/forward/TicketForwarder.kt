/*
 * Forwards requests that may run at most once, by attempting them at the members of their ticket in order.
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

private const val MAX_TICKETS = 3

/**
 * Forwards calls with tickets. Its functions block.
 *
 * @property reattachMillis maximum time to wait for a lost link to a target to be open again.
 */
internal class TicketForwarder(
    private val directory: TargetDirectory,
    private val ticketIssuer: TicketIssuer,
    private val crashTracker: CrashTracker,
    private val reattachMillis: Long,
    private val monotonicMillis: () -> Long,
) {
    /** Runs [call] with [ticket] and writes its answer to [response]. */
    fun forward(call: Call, response: CallerResponse, ticket: Ticket): CallResult {
        if (isQuarantined(call)) return CallResult.Failed(quarantined(mayHaveRun = true))
        return AttemptSequence(AnswerRelay(call, response, reattachMillis), ticket).run()
    }

    /**
     * Runs [call] with a new ticket and writes its answer to [response].
     *
     * The caller does not have the ticket, so it is replaced by another one if the request was sent to none of its members.
     */
    fun forwardOnce(call: Call, response: CallerResponse): CallResult {
        if (isQuarantined(call)) return CallResult.Failed(quarantined(mayHaveRun = false))
        val unreachable = mutableSetOf<TargetIncarnation>()
        repeat(MAX_TICKETS) {
            val ticket = ticketIssuer.issueOrNull(call.service, call.organisation, unreachable)
            if (ticket == null) return CallResult.Failed(noTarget(noTargetAvailable(call.service)))
            val sequence = AttemptSequence(AnswerRelay(call, response, reattachMillis), ticket)
            val result = sequence.run()
            if (sequence.hasSent) return result
            unreachable += ticket.members.first()
        }
        return CallResult.Failed(noTarget("no target of service ${call.service} could be reached"))
    }

    private fun isQuarantined(call: Call) = crashTracker.status(call.fingerprint, monotonicMillis()) == CrashStatus.QUARANTINED

    /** Attempts of one call at the members of [ticket]. */
    private inner class AttemptSequence(
        private val relay: AnswerRelay,
        private val ticket: Ticket,
    ) {
        private val replies = mutableListOf<MemberReply>()

        /** Whether the request was sent to any member. */
        var hasSent = false
            private set

        fun run(): CallResult {
            var result: CallResult? = null
            while (result == null) result = runNextStep()
            return result
        }

        /** Runs the next step; returns the result of the call, or null if another step follows. */
        private fun runNextStep(): CallResult? =
            when (val step = ticket.nextStep(replies)) {
                is AttemptStep.Send -> runOn(step.member)
                is AttemptStep.NotRun -> CallResult.Failed(ticketNotRun(step.reason))
                is AttemptStep.OutcomeUnknown -> CallResult.Failed(ticketOutcomeUnknown(ticket, step.problem.describe()))
                is AttemptStep.Relay -> error("the answer of an accepting member is relayed by runOn")
            }

        private fun runOn(member: TargetIncarnation): CallResult? {
            val isSuspect = crashTracker.status(relay.fingerprint, monotonicMillis()) != CrashStatus.CLEAR
            val outcome = directory.channelOf(member)?.let { relay.run(it, member, ticket, isSuspect) } ?: RelayOutcome.NotSent
            if (outcome != RelayOutcome.NotSent) hasSent = true
            return when (outcome) {
                is RelayOutcome.Completed -> CallResult.Relayed(outcome.status)
                is RelayOutcome.CallerDisconnected -> CallResult.CallerDisconnected
                is RelayOutcome.DeadlineExceeded -> relay.failure(deadlineExceeded().copy(ticket = ticket.encode()))
                is RelayOutcome.AnswerLost -> relay.failure(ticketOutcomeUnknown(ticket, outcome.detail))
                is RelayOutcome.Refused -> null.also { replies += MemberReply.Refused(outcome.reason) }
                is RelayOutcome.Undecided -> null.also { replies += MemberReply.Undecided(outcome.problem) }
                is RelayOutcome.NotSent -> null.also { replies += MemberReply.NoReply }
            }
        }
    }
}

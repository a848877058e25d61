/*
 * The last link of the filter chain: chooses targets, retries what may be repeated, and walks tickets.
 */
package io.jaybeam.entry.forward

import io.jaybeam.core.config.EffectiveConfig
import io.jaybeam.core.quarantine.CrashLedger
import io.jaybeam.core.quarantine.Standing
import io.jaybeam.core.routing.RetryBudget
import io.jaybeam.core.routing.Router
import io.jaybeam.core.routing.TargetView
import io.jaybeam.core.ticket.LedgerProblem
import io.jaybeam.core.ticket.MemberReply
import io.jaybeam.core.ticket.RefusalReason
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.core.ticket.WalkStep
import io.jaybeam.core.ticket.encode
import io.jaybeam.core.ticket.nextStep
import io.jaybeam.entry.calls.Call
import io.jaybeam.entry.calls.CallResult
import io.jaybeam.entry.calls.CallerResponse
import io.jaybeam.entry.calls.Problem
import io.jaybeam.entry.calls.ProblemOutcome
import io.jaybeam.entry.calls.Repeatability
import io.jaybeam.entry.calls.noTarget
import io.jaybeam.entry.calls.outcomeUnknown
import io.jaybeam.entry.targets.TargetDirectory
import java.util.UUID
import kotlin.time.Clock

private const val TICKET_MEMBERS = 3
private const val MAX_ATTEMPTS = 4
private const val RETRY_BURST = 10

/** Mints tickets for the targets that may take work now. */
internal class TicketMint(
    private val directory: TargetDirectory,
    private val router: Router,
    private val clock: Clock,
    private val config: () -> EffectiveConfig,
) {
    /** Returns a ticket for [service], or null while no target may take work. */
    fun mintOrNull(service: String, organisation: String): Ticket? {
        val members = router.pickOrdered(directory.candidates(service, config()), TICKET_MEMBERS).map { it.identity }
        if (members.isEmpty()) return null
        return Ticket(UUID.randomUUID().toString(), service, organisation, clock.now().toEpochMilliseconds(), members)
    }
}

/** Forwards calls to targets. Calls block. */
internal class Forwarder(
    private val directory: TargetDirectory,
    private val router: Router,
    private val mint: TicketMint,
    private val crashes: CrashLedger,
    private val reattachMillis: Long,
    private val config: () -> EffectiveConfig,
    private val monotonicMillis: () -> Long,
    private val bind: (Call, String) -> BindingResult,
) {
    private val budgets = RetryBudgets(RETRY_BURST)

    /** Runs [call] and writes its answer to [response]. */
    fun forward(call: Call, response: CallerResponse): CallResult =
        when (val repeatability = call.repeatability) {
            is Repeatability.Idempotent -> repeatable(call, response)
            is Repeatability.Once -> once(call, response)
            is Repeatability.UnderTicket -> walk(call, response, repeatability.ticket)
            is Repeatability.UnderKey -> underKey(call, response, repeatability.key)
        }

    private fun repeatable(call: Call, response: CallerResponse): CallResult {
        val relay = AnswerRelay(call, response, reattachMillis)
        val budget = budgets.of(call)
        val tried = mutableSetOf<String>()
        var mayHaveRun = false
        var last = "no target of service ${call.service} takes work now"
        budget.onFirstAttempt()
        for (attempt in 1..MAX_ATTEMPTS) {
            val standing = crashes.standing(call.fingerprint, monotonicMillis())
            if (standing == Standing.QUARANTINED) return CallResult.Refusal(quarantined(mayHaveRun))
            val target = pick(call, tried) ?: break
            if (attempt > 1 && !budget.tryRetry()) break
            tried += target.identity.instance
            val channel = directory.channelOf(target.identity) ?: continue
            when (val end = relay.run(channel, target.identity, ticket = null, suspect = standing == Standing.SUSPECT)) {
                is RelayEnd.Done -> {
                    if (standing == Standing.SUSPECT) crashes.onCompleted(call.fingerprint)
                    return CallResult.Relayed(end.status)
                }

                is RelayEnd.CallerGone -> {
                    return CallResult.CallerGone
                }

                is RelayEnd.TimedOut -> {
                    return unfinished(relay, timedOut())
                }

                is RelayEnd.Lost -> {
                    mayHaveRun = true
                    last = end.detail
                    if (relay.progress.begun) return CallResult.CutOff(end.detail)
                }

                is RelayEnd.Refused -> {
                    last = describeRefusal(end.reason)
                }

                is RelayEnd.Undecided, RelayEnd.NotSent -> {
                    Unit
                }
            }
        }
        if (!mayHaveRun) return CallResult.Refusal(noTarget(last))
        return CallResult.Refusal(outcomeUnknown(last, "the request is idempotent: send it again"))
    }

    private fun pick(call: Call, tried: Set<String>): TargetView? {
        val candidates = directory.candidates(call.service, config()).filter { it.identity.instance !in tried }
        return router.pick(candidates, call.prefixHash)
    }

    /** Mints a ticket inside the call. The caller does not know it, so it may be replaced until something was sent. */
    private fun once(call: Call, response: CallerResponse): CallResult {
        repeat(MAX_ATTEMPTS) {
            val ticket = mint.mintOrNull(call.service, call.organisation) ?: return CallResult.Refusal(noTarget(describeRefusal(null)))
            if (directory.channelOf(ticket.members.first())?.isUp == true) return walk(call, response, ticket)
        }
        return CallResult.Refusal(noTarget("no target of service ${call.service} could be reached"))
    }

    private fun underKey(call: Call, response: CallerResponse, key: String): CallResult =
        when (val result = bind(call, key)) {
            is BindingResult.Bound -> walk(call, response, result.ticket)
            is BindingResult.Failed -> CallResult.Refusal(result.problem)
        }

    private fun walk(call: Call, response: CallerResponse, ticket: Ticket): CallResult {
        val relay = AnswerRelay(call, response, reattachMillis)
        val replies = mutableListOf<MemberReply>()
        while (true) {
            when (val step = ticket.nextStep(replies)) {
                is WalkStep.Try -> {
                    when (val end = tryMember(call, relay, ticket, step)) {
                        is RelayEnd.Done -> return CallResult.Relayed(end.status)
                        is RelayEnd.CallerGone -> return CallResult.CallerGone
                        is RelayEnd.TimedOut -> return unfinished(relay, timedOut().copy(ticket = ticket.encode()))
                        is RelayEnd.Lost -> return unfinished(relay, unknown(ticket, end.detail))
                        is RelayEnd.Refused -> replies += MemberReply.RefusedForGood(end.reason)
                        is RelayEnd.Undecided -> replies += MemberReply.Undecided(end.problem)
                        is RelayEnd.NotSent -> replies += MemberReply.Silent
                    }
                }

                is WalkStep.NotRun -> {
                    return CallResult.Refusal(notRun(step.reason))
                }

                is WalkStep.Unknown -> {
                    return CallResult.Refusal(unknown(ticket, describeProblem(step.problem)))
                }

                is WalkStep.Relay -> {
                    error("a running member is relayed by tryMember")
                }
            }
        }
    }

    private fun tryMember(
        call: Call,
        relay: AnswerRelay,
        ticket: Ticket,
        step: WalkStep.Try,
    ): RelayEnd {
        val channel = directory.channelOf(step.member) ?: return RelayEnd.NotSent
        val suspect = crashes.standing(call.fingerprint, monotonicMillis()) != Standing.CLEAR
        return relay.run(channel, step.member, ticket, suspect)
    }

    private fun unfinished(relay: AnswerRelay, problem: Problem): CallResult =
        if (relay.progress.begun) CallResult.CutOff(problem.detail) else CallResult.Refusal(problem)

    private fun unknown(ticket: Ticket, detail: String) =
        outcomeUnknown(
            "the request may have run: $detail",
            "send the same request with the same Jaybeam-Ticket or Idempotency-Key; it runs at most once",
            ticket.encode(),
        )

    private fun notRun(reason: RefusalReason) =
        Problem(
            status = 503,
            title = "Not run",
            outcome = ProblemOutcome.NOT_RUN,
            detail = "every target of the ticket refused for good: ${describeRefusal(reason)}",
            remedy = "send it as a new request, with a new ticket or key, after the time in Retry-After",
            retryAfterSeconds = 1,
        )

    private fun timedOut() =
        outcomeUnknown("the deadline passed", "send the same request again with a later Jaybeam-Deadline-Millis").copy(status = 504)

    private fun quarantined(mayHaveRun: Boolean) =
        Problem(
            status = 422,
            title = "Quarantined",
            outcome = if (mayHaveRun) ProblemOutcome.UNKNOWN else ProblemOutcome.NOT_RUN,
            detail = "targets crashed while they ran this request",
            remedy = "change the request; operators find it in the dump under its fingerprint",
        )

    private fun describeRefusal(reason: RefusalReason?): String =
        when (reason) {
            null -> "no target takes work now"
            RefusalReason.OVER_LIMIT -> "targets have as much work as they bear"
            RefusalReason.COLD -> "targets are warming up"
            RefusalReason.LEAVING -> "targets are stopping"
            RefusalReason.OUT_OF_SERVICE -> "operators took the targets out of service"
            RefusalReason.WAITED_TOO_LONG -> "the request waited longer than its price tier allows"
            RefusalReason.QUARANTINED -> "the request is quarantined"
            RefusalReason.WRONG_SERVICE -> "targets serve another service"
            RefusalReason.NOT_READY -> "targets have no configuration yet"
            RefusalReason.TARGET_DOWN -> "targets do not take connections"
        }

    private fun describeProblem(problem: LedgerProblem?): String =
        when (problem) {
            null -> "a target of the ticket does not answer"
            LedgerProblem.EXPIRED -> "the ticket's window is over"
            LedgerProblem.FROM_THE_FUTURE -> "the ticket was minted in the future; check the clocks"
            LedgerProblem.OTHER_INCARNATION -> "a target of the ticket was replaced"
            LedgerProblem.FULL -> "a target's ledger is full"
            LedgerProblem.OTHER_REQUEST -> "the ticket or key came before with another request"
        }
}

/** The budgets of all organisations. Thread-safe. */
internal class RetryBudgets(
    private val burst: Int,
) {
    private val byOrganisation =
        com.github.benmanes.caffeine.cache.Caffeine
            .newBuilder()
            .maximumSize(MAX_ORGANISATIONS)
            .build<String, RetryBudget>()

    /** Returns the budget of the call's organisation. */
    fun of(call: Call): RetryBudget = byOrganisation.get(call.organisation) { RetryBudget(call.bundle.requestLimits.retryPercent, burst) }
}

private const val MAX_ORGANISATIONS = 50_000L

/*
 * Problems reported to callers whose request could not be forwarded or was not answered.
 */
package io.jaybeam.entry.forward

import io.jaybeam.core.ticket.LedgerProblem
import io.jaybeam.core.ticket.RefusalReason
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.core.ticket.encode
import io.jaybeam.entry.calls.Problem
import io.jaybeam.entry.calls.ProblemOutcome
import io.jaybeam.entry.calls.outcomeUnknown

internal fun ticketOutcomeUnknown(ticket: Ticket, detail: String) =
    outcomeUnknown(
        "the request may have run: $detail",
        "send the same request with the same Jaybeam-Ticket or Idempotency-Key; it runs at most once",
        ticket.encode(),
    )

internal fun ticketNotRun(reason: RefusalReason) =
    Problem(
        status = 503,
        title = "Not run",
        outcome = ProblemOutcome.NOT_RUN,
        detail = "every target of the ticket has refused the request permanently: ${reason.describe()}",
        remedy = "send it as a new request, with a new ticket or key, after the time in Retry-After",
        retryAfterSeconds = 1,
        coversAllAttempts = true,
    )

internal fun deadlineExceeded() =
    outcomeUnknown("the deadline was exceeded", "send the same request again with a later Jaybeam-Deadline-Millis").copy(status = 504)

internal fun quarantined(mayHaveRun: Boolean) =
    Problem(
        status = 422,
        title = "Quarantined",
        outcome = if (mayHaveRun) ProblemOutcome.UNKNOWN else ProblemOutcome.NOT_RUN,
        detail = "targets crashed while this request was in flight",
        remedy = "change the request; operators find it in the dump under its fingerprint",
    )

internal fun noTargetAvailable(service: String) = "no target of service $service accepts work now"

internal fun RefusalReason.describe(): String =
    when (this) {
        RefusalReason.OVER_LIMIT -> "targets have reached their concurrency limits and their queues are full"
        RefusalReason.DRAINING -> "targets are draining"
        RefusalReason.OUT_OF_SERVICE -> "operators took the targets out of service"
        RefusalReason.WAITED_TOO_LONG -> "the request waited longer than its price tier allows"
        RefusalReason.NOT_READY -> "targets have no configuration yet"
        RefusalReason.TARGET_DOWN -> "targets do not accept connections"
    }

internal fun LedgerProblem?.describe(): String =
    when (this) {
        null -> "a target of the ticket does not answer"
        LedgerProblem.EXPIRED -> "the ticket has expired"
        LedgerProblem.FROM_THE_FUTURE -> "the ticket was issued in the future; check the clocks of the instances"
        LedgerProblem.OTHER_INCARNATION -> "a target of the ticket was replaced"
        LedgerProblem.FULL -> "a target's ledger is full"
        LedgerProblem.OTHER_REQUEST -> "the ticket or key was used before for a different request"
    }

/*
 * The filters that each call passes before it is forwarded. A filter either ends the call with a problem or passes it
 * to the next filter.
 */
package io.jaybeam.entry.calls

import java.util.concurrent.ConcurrentHashMap

/** A filter of calls. */
internal fun interface RequestFilter {
    /** Ends [call] or passes it to [next], and returns its result. */
    fun handle(call: Call, next: (Call) -> CallResult): CallResult
}

/** Returns a handler that passes calls through [filters] in order and then to [terminal]. */
internal fun filterChain(filters: List<RequestFilter>, terminal: (Call) -> CallResult): (Call) -> CallResult =
    filters.foldRight(terminal) { filter, next -> { call -> filter.handle(call, next) } }

/** Limits the number of calls that each organisation has in flight at this entry. */
internal class OrganisationLimitFilter : RequestFilter {
    private val inFlight = ConcurrentHashMap<String, Int>()

    override fun handle(call: Call, next: (Call) -> CallResult): CallResult {
        val limit = call.bundle.requestLimits.maxInFlightPerOrganisation
        if (inFlight.merge(call.organisation, 1, Int::plus)!! > limit) {
            release(call.organisation)
            return CallResult.Failed(tooManyRequests(call.organisation, limit))
        }
        try {
            return next(call)
        } finally {
            release(call.organisation)
        }
    }

    private fun release(organisation: String) {
        inFlight.compute(organisation) { _, count -> if (count == null || count <= 1) null else count - 1 }
    }

    private fun tooManyRequests(organisation: String, limit: Int) =
        Problem(
            status = 429,
            title = "Too many requests",
            outcome = ProblemOutcome.NOT_RUN,
            detail = "organisation $organisation has $limit requests in flight",
            remedy = "wait for answers, or raise requestLimits.maxInFlightPerOrganisation in the bundle",
            retryAfterSeconds = 1,
        )
}

/** Rejects calls whose ticket was issued for another organisation or service. */
internal object TicketOwnerFilter : RequestFilter {
    override fun handle(call: Call, next: (Call) -> CallResult): CallResult {
        val ticket = (call.repeatability as? Repeatability.WithTicket)?.ticket ?: return next(call)
        if (ticket.organisation == call.organisation && ticket.service == call.service) return next(call)
        val problem =
            badRequest("the ticket was issued for another service or organisation", "request a ticket for this service and organisation")
        // A request with this ticket may have run at the service for which it was issued, so the outcome is unknown.
        return CallResult.Failed(problem.copy(outcome = ProblemOutcome.UNKNOWN))
    }
}

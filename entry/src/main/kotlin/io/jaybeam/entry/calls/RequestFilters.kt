/*
 * The filter chain that every call passes before it is forwarded. Each filter either answers with a problem or
 * passes the call on.
 */
package io.jaybeam.entry.calls

import java.util.concurrent.ConcurrentHashMap

/** One step of the chain. */
internal fun interface RequestFilter {
    /** Handles [call], by itself or through [next]. */
    fun handle(call: Call, next: (Call) -> CallResult): CallResult
}

/** Returns a handler that passes calls through [filters] in order and then to [last]. */
internal fun filterChain(filters: List<RequestFilter>, last: (Call) -> CallResult): (Call) -> CallResult =
    filters.foldRight(last) { filter, next -> { call -> filter.handle(call, next) } }

/** Bounds the calls of each organisation in flight at this entry. */
internal class OrganisationLimitFilter : RequestFilter {
    private val inFlight = ConcurrentHashMap<String, Int>()

    override fun handle(call: Call, next: (Call) -> CallResult): CallResult {
        val limit = call.bundle.requestLimits.maxInFlightPerOrganisation
        if (inFlight.merge(call.organisation, 1, Int::plus)!! > limit) {
            release(call.organisation)
            return CallResult.Refusal(tooMany(call.organisation, limit))
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

    private fun tooMany(organisation: String, limit: Int) =
        Problem(
            status = 429,
            title = "Too many requests",
            outcome = ProblemOutcome.NOT_RUN,
            detail = "organisation $organisation has $limit requests in flight",
            remedy = "wait for answers, or raise requestLimits.maxInFlightPerOrganisation in the bundle",
            retryAfterSeconds = 1,
        )
}

/** Refuses a caller's ticket that is for another organisation or service. */
internal object TicketOwnerFilter : RequestFilter {
    override fun handle(call: Call, next: (Call) -> CallResult): CallResult {
        val ticket = (call.repeatability as? Repeatability.UnderTicket)?.ticket ?: return next(call)
        if (ticket.organisation == call.organisation && ticket.service == call.service) return next(call)
        val problem =
            badRequest("the ticket is for another service or organisation", "ask for a ticket for this service and organisation")
        // A ticket may have run under its own service, so nothing is claimed about it here.
        return CallResult.Refusal(problem.copy(outcome = ProblemOutcome.UNKNOWN))
    }
}

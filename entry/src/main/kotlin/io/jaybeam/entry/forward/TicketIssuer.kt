/*
 * Issues tickets for targets that accept new work.
 */
package io.jaybeam.entry.forward

import io.jaybeam.core.config.EffectiveConfig
import io.jaybeam.core.routing.Router
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.entry.targets.TargetDirectory
import java.util.UUID
import kotlin.time.Clock

private const val MAX_TICKET_MEMBERS = 3

/** Issues the tickets of one entry. */
internal class TicketIssuer(
    private val directory: TargetDirectory,
    private val router: Router,
    private val clock: Clock,
    private val config: () -> EffectiveConfig,
) {
    /** Returns a new ticket for [service] without the targets in [excluded], or null if no other target accepts new work. */
    fun issueOrNull(service: String, organisation: String, excluded: Set<TargetIncarnation> = emptySet()): Ticket? {
        val candidates = directory.candidates(service, config()).filter { it.identity !in excluded }
        val members = router.pickOrdered(candidates, MAX_TICKET_MEMBERS).map { it.identity }
        if (members.isEmpty()) return null
        return Ticket(UUID.randomUUID().toString(), service, organisation, clock.now().toEpochMilliseconds(), members)
    }
}

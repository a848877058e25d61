/*
 * Makes tickets for the targets that may take work now.
 */
package io.jaybeam.entry.forward

import io.jaybeam.core.config.EffectiveConfig
import io.jaybeam.core.routing.Router
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.entry.targets.TargetDirectory
import java.util.UUID
import kotlin.time.Clock

private const val TICKET_MEMBERS = 3

/** Mints tickets of one entry. */
internal class TicketMint(
    private val directory: TargetDirectory,
    private val router: Router,
    private val clock: Clock,
    private val config: () -> EffectiveConfig,
) {
    /** Returns a ticket for [service] that leaves out [excluded], or null while no other target may take work. */
    fun mintOrNull(service: String, organisation: String, excluded: Set<TargetIncarnation> = emptySet()): Ticket? {
        val candidates = directory.candidates(service, config()).filter { it.identity !in excluded }
        val members = router.pickOrdered(candidates, TICKET_MEMBERS).map { it.identity }
        if (members.isEmpty()) return null
        return Ticket(UUID.randomUUID().toString(), service, organisation, clock.now().toEpochMilliseconds(), members)
    }
}

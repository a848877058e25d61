package io.jaybeam.core.ticket

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

internal class RequestLedgerTest {
    private val self = TargetIncarnation("booking-1", "a")
    private val ticket = Ticket("id", "booking", "org", 1_000, listOf(self))

    private fun ledger(capacity: Int = 10) = RequestLedger(self, windowMillis = 500, maxSkewMillis = 50, capacity)

    @Test
    fun `a refusal is repeated for good`() {
        val ledger = ledger()
        assertIs<LedgerVerdict.First>(ledger.offer(ticket, "d", 1_000))
        ledger.refuse(ticket, "d", RefusalReason.LEAVING)
        assertEquals(LedgerVerdict.RefusedForGood(RefusalReason.LEAVING), ledger.offer(ticket, "d", 1_400))
    }

    @Test
    fun `a ticket forgotten after its window stays expired when the clock is set back`() {
        val ledger = ledger()
        ledger.accept(ticket, "d")
        ledger.expire(1_501)
        assertEquals(LedgerVerdict.Undecided(LedgerProblem.EXPIRED), ledger.offer(ticket, "d", 1_100))
    }

    @Test
    fun `a full ledger refuses new tickets and keeps live ones`() {
        val ledger = ledger(capacity = 1)
        ledger.accept(ticket, "d")
        assertEquals(LedgerVerdict.Undecided(LedgerProblem.FULL), ledger.offer(ticket.copy(id = "other"), "d", 1_000))
        assertIs<LedgerVerdict.AlreadyHere>(ledger.offer(ticket, "d", 1_000))
    }

    @Test
    fun `a ticket for an earlier life of the target is not accepted`() {
        val old = ticket.copy(members = listOf(TargetIncarnation("booking-1", "before")))
        assertEquals(LedgerVerdict.Undecided(LedgerProblem.OTHER_INCARNATION), ledger().offer(old, "d", 1_000))
    }

    @Test
    fun `the same ticket with another request is not run`() {
        val ledger = ledger()
        ledger.accept(ticket, "d")
        assertEquals(LedgerVerdict.Undecided(LedgerProblem.OTHER_REQUEST), ledger.offer(ticket, "e", 1_000))
    }

    @Test
    fun `a ticket from the future is not accepted`() {
        val early = ticket.copy(mintedAtMillis = 2_000)
        assertEquals(LedgerVerdict.Undecided(LedgerProblem.FROM_THE_FUTURE), ledger().offer(early, "d", 1_000))
    }

    @Test
    fun `tickets survive encoding and garbage is no ticket`() {
        assertEquals(ticket, decodeTicketOrNull(ticket.encode()))
        ticket.encode().indices.forEach { assertNull(decodeTicketOrNull(ticket.encode().take(it))) }
        assertNull(decodeTicketOrNull("!!"))
    }
}

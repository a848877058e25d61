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
    fun `a refusal is permanent`() {
        val ledger = ledger()
        assertIs<LedgerDecision.New>(ledger.evaluate(ticket, "d", 1_000))
        ledger.refuse(ticket, "d", RefusalReason.DRAINING)
        assertEquals(LedgerDecision.Refused(RefusalReason.DRAINING), ledger.evaluate(ticket, "d", 1_400))
    }

    @Test
    fun `a removed ticket stays expired when the clock is set back`() {
        val ledger = ledger()
        ledger.accept(ticket, "d")
        ledger.expire(1_501)
        assertEquals(LedgerDecision.Undecided(LedgerProblem.EXPIRED), ledger.evaluate(ticket, "d", 1_100))
    }

    @Test
    fun `a full ledger does not decide on new tickets and keeps recorded ones`() {
        val ledger = ledger(capacity = 1)
        ledger.accept(ticket, "d")
        assertEquals(LedgerDecision.Undecided(LedgerProblem.FULL), ledger.evaluate(ticket.copy(id = "other"), "d", 1_000))
        assertIs<LedgerDecision.Duplicate>(ledger.evaluate(ticket, "d", 1_000))
    }

    @Test
    fun `a ticket for an earlier incarnation of the target is not accepted`() {
        val old = ticket.copy(members = listOf(TargetIncarnation("booking-1", "earlier")))
        assertEquals(LedgerDecision.Undecided(LedgerProblem.OTHER_INCARNATION), ledger().evaluate(old, "d", 1_000))
    }

    @Test
    fun `a ticket is not accepted for a different request`() {
        val ledger = ledger()
        ledger.accept(ticket, "d")
        assertEquals(LedgerDecision.Undecided(LedgerProblem.OTHER_REQUEST), ledger.evaluate(ticket, "e", 1_000))
    }

    @Test
    fun `a ticket issued in the future is not accepted`() {
        val future = ticket.copy(issuedAtMillis = 2_000)
        assertEquals(LedgerDecision.Undecided(LedgerProblem.FROM_THE_FUTURE), ledger().evaluate(future, "d", 1_000))
    }

    @Test
    fun `decoding restores an encoded ticket and returns null for malformed text`() {
        assertEquals(ticket, decodeTicketOrNull(ticket.encode()))
        ticket.encode().indices.forEach { assertNull(decodeTicketOrNull(ticket.encode().take(it))) }
        assertNull(decodeTicketOrNull("!!"))
    }
}

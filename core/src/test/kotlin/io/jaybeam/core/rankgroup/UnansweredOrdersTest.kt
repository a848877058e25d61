package io.jaybeam.core.rankgroup

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class UnansweredOrdersTest {
    private val orders = UnansweredOrders()

    private fun arm(rank: Int, version: Long = 1) = FencedOrder.Arm(rank, epoch = 1, fence = 1, version = version, pass = 1)

    @Test
    fun `no repeats are expected while all orders are answered`() {
        repeat(63) { orders.onOutcome(arm(it), OrderOutcome.ACCEPTED) }
        orders.onOutcome(arm(63), OrderOutcome.CONFLICT)
        assertEquals(0.0, orders.share)
        assertEquals(0, repeatsExpected(orders.share, ranks = 63))
    }

    @Test
    fun `a rank that never answers counts as one rank`() {
        repeat(9) { orders.onOutcome(arm(it), OrderOutcome.ACCEPTED) }
        repeat(50) { orders.onOutcome(arm(9), OrderOutcome.UNKNOWN) }
        assertEquals(0.1, orders.share)
    }

    @Test
    fun `orders that go unanswered count at once although all earlier ones were answered`() {
        repeat(100) { orders.onOutcome(arm(it), OrderOutcome.ACCEPTED) }
        orders.onChange()
        repeat(10) { orders.onOutcome(arm(it, version = 2), if (it == 0) OrderOutcome.UNKNOWN else OrderOutcome.ACCEPTED) }
        assertEquals(0.1, orders.share)
    }

    @Test
    fun `unanswered orders are forgotten when two changes were answered`() {
        orders.onOutcome(arm(0), OrderOutcome.UNKNOWN)
        orders.onChange()
        assertEquals(1.0, orders.share)
        orders.onOutcome(arm(0, version = 2), OrderOutcome.ACCEPTED)
        assertEquals(0.5, orders.share)
        orders.onChange()
        assertEquals(0.0, orders.share)
    }

    @Test
    fun `more repeats are expected of larger groups and of larger shares`() {
        val byRanks = listOf(2, 12, 63, 129).map { repeatsExpected(0.1, it) }
        val byShare = listOf(0.01, 0.05, 0.1, 0.3).map { repeatsExpected(it, ranks = 63) }
        assertEquals(byRanks.sorted(), byRanks)
        assertEquals(byShare.sorted(), byShare)
        assertTrue(byRanks.first() in 1 until byRanks.last(), "$byRanks")
        assertTrue(byShare.first() in 1 until byShare.last(), "$byShare")
    }
}

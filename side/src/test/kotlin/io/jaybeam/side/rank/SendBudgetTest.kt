package io.jaybeam.side.rank

import kotlin.test.Test
import kotlin.test.assertTrue

private const val MESSAGE_BYTES = 3_000
private const val TICK_MILLIS = 20L
private const val TICKS = 100

// What a link of 700 KB a second carries in half the time that a call has.
private const val MAX_QUEUED_BYTES = 52_500L

internal class SendBudgetTest {
    private var nowMillis = 0L
    private val budget = SendBudget { nowMillis }

    private fun sendAll(messageBytes: Int): Int {
        var sent = 0
        while (budget.hasRoom()) {
            budget.spend(messageBytes)
            sent += messageBytes
        }
        return sent
    }

    @Test
    fun `messages that are due at once never fill the link for long`() {
        var queuedBytes = 0L
        repeat(TICKS) {
            queuedBytes = maxOf(0, queuedBytes - 700 * TICK_MILLIS) + sendAll(MESSAGE_BYTES)
            assertTrue(queuedBytes <= MAX_QUEUED_BYTES, "$queuedBytes bytes wait")
            nowMillis += TICK_MILLIS
        }
    }

    @Test
    fun `messages of 63 ranks are sent within half a second`() {
        var sent = 0
        while (sent < 63 * MESSAGE_BYTES) {
            sent += sendAll(MESSAGE_BYTES)
            nowMillis += TICK_MILLIS
        }
        assertTrue(nowMillis <= 500, "took $nowMillis ms")
    }

    @Test
    fun `a message larger than a burst is sent, and the next one waits`() {
        assertTrue(sendAll(400_000) == 400_000)
        nowMillis += 900
        assertTrue(!budget.hasRoom())
        nowMillis += 100
        assertTrue(budget.hasRoom())
    }
}

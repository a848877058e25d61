package io.jaybeam.core.admission

import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.config.TierClass
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class TierQueueTest {
    private val urgent = PriceTier("urgent", TierClass.URGENT, 100, 1)
    private val patient = PriceTier("patient", TierClass.PATIENT, 1_000, 1)

    private fun waiting(
        name: String,
        organisation: String,
        tier: PriceTier,
        atMillis: Long,
    ) = Waiting(name, organisation, tier, atMillis)

    @Test
    fun `urgent goes before patient`() {
        val queue = TierQueue<String>(10)
        queue.offer(waiting("p", "a", patient, 0))
        queue.offer(waiting("u", "a", urgent, 1))
        assertEquals("u", queue.poll(2)?.value)
    }

    @Test
    fun `patient work that waited for its time is served while urgent work keeps coming`() {
        val queue = TierQueue<String>(1_000)
        queue.offer(waiting("p", "small", patient, 0))
        var servedAtMillis = -1L
        for (now in 0L..2_000L step 10) {
            queue.offer(waiting("u$now", "large", urgent, now))
            if (queue.poll(now)?.value == "p") servedAtMillis = now
        }
        assertTrue(servedAtMillis in 1_000..1_100, "served at $servedAtMillis")
    }

    @Test
    fun `a large organisation does not starve a small one`() {
        val queue = TierQueue<String>(100)
        repeat(50) { queue.offer(waiting("large", "large", urgent, 0)) }
        repeat(5) { queue.offer(waiting("small", "small", urgent, 1)) }
        val firstTen = List(10) { queue.poll(2)?.value }
        assertEquals(5, firstTen.count { it == "small" })
    }

    @Test
    fun `a full queue sheds patient work for urgent work`() {
        val queue = TierQueue<String>(2)
        queue.offer(waiting("p1", "a", patient, 0))
        queue.offer(waiting("p2", "a", patient, 1))
        val verdict = assertIs<QueueVerdict.QueuedInsteadOf<String>>(queue.offer(waiting("u", "a", urgent, 2)))
        assertEquals("p2", verdict.shed.value)
        assertIs<QueueVerdict.Full>(queue.offer(waiting("p3", "a", patient, 3)))
    }

    @Test
    fun `a full queue of one organisation still takes another's request`() {
        val queue = TierQueue<String>(4)
        repeat(4) { queue.offer(waiting("large$it", "large", urgent, it.toLong())) }
        assertIs<QueueVerdict.QueuedInsteadOf<String>>(queue.offer(waiting("small", "small", urgent, 9)))
        assertIs<QueueVerdict.Full>(queue.offer(waiting("large9", "large", urgent, 10)))
    }

    @Test
    fun `urgent work that waited too long is handed back`() {
        val queue = TierQueue<String>(4)
        queue.offer(waiting("u", "a", urgent, 0))
        queue.offer(waiting("p", "a", patient, 0))
        assertEquals(listOf("u"), queue.removeOverdue(101).map { it.value })
        assertEquals(1, queue.size)
    }
}

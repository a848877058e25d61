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

    private fun queuedRequest(
        name: String,
        organisation: String,
        tier: PriceTier,
        atMillis: Long,
    ) = QueuedRequest(name, organisation, tier, atMillis)

    @Test
    fun `urgent requests are served before patient ones`() {
        val queue = TierQueue<String>(10)
        queue.offer(queuedRequest("p", "a", patient, 0))
        queue.offer(queuedRequest("u", "a", urgent, 1))
        assertEquals("u", queue.poll(2)?.value)
    }

    @Test
    fun `a patient request that has waited for its maximum time is served while urgent requests keep arriving`() {
        val queue = TierQueue<String>(1_000)
        queue.offer(queuedRequest("p", "small", patient, 0))
        var servedAtMillis = -1L
        for (now in 0L..2_000L step 10) {
            queue.offer(queuedRequest("u$now", "large", urgent, now))
            if (queue.poll(now)?.value == "p") servedAtMillis = now
        }
        assertTrue(servedAtMillis in 1_000..1_100, "served at $servedAtMillis ms")
    }

    @Test
    fun `a large organisation does not starve a small one`() {
        val queue = TierQueue<String>(100)
        repeat(50) { queue.offer(queuedRequest("large", "large", urgent, 0)) }
        repeat(5) { queue.offer(queuedRequest("small", "small", urgent, 1)) }
        val firstTen = List(10) { queue.poll(2)?.value }
        assertEquals(5, firstTen.count { it == "small" })
    }

    @Test
    fun `a full queue evicts a patient request for an urgent one`() {
        val queue = TierQueue<String>(2)
        queue.offer(queuedRequest("p1", "a", patient, 0))
        queue.offer(queuedRequest("p2", "a", patient, 1))
        val result = assertIs<OfferResult.QueuedWithEviction<String>>(queue.offer(queuedRequest("u", "a", urgent, 2)))
        assertEquals("p2", result.evicted.value)
        assertIs<OfferResult.Full>(queue.offer(queuedRequest("p3", "a", patient, 3)))
    }

    @Test
    fun `a queue filled by one organisation still accepts a request of another`() {
        val queue = TierQueue<String>(4)
        repeat(4) { queue.offer(queuedRequest("large$it", "large", urgent, it.toLong())) }
        assertIs<OfferResult.QueuedWithEviction<String>>(queue.offer(queuedRequest("small", "small", urgent, 9)))
        assertIs<OfferResult.Full>(queue.offer(queuedRequest("large9", "large", urgent, 10)))
    }

    @Test
    fun `urgent requests that have waited too long are removed and returned`() {
        val queue = TierQueue<String>(4)
        queue.offer(queuedRequest("u", "a", urgent, 0))
        queue.offer(queuedRequest("p", "a", patient, 0))
        assertEquals(listOf("u"), queue.removeOverdue(101).map { it.value })
        assertEquals(1, queue.size)
    }
}

/*
 * Requests at their last moment among more urgent ones, at a service that starts one in 100 ms.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.cost.RequestCost
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class LastMomentsTest {
    private val room = WaitingRoom<String>(capacity = 256)
    private val forecast = StartForecast(delayMillis = 0, startIntervalMillis = 100.0, firstEventMillis = 50)

    private fun offer(
        name: String,
        urgency: Int,
        arrivedAtMillis: Long,
        onTimeMillis: Long,
    ) = WaitingRequest(
        value = name,
        urgency = Urgency(urgency),
        organisation = "org",
        session = null,
        cost = RequestCost(1.0, 100.0, 0.0),
        arrivedAtMillis = arrivedAtMillis,
        startOnTimeUntilMillis = arrivedAtMillis + onTimeMillis,
        deadlineMillis = arrivedAtMillis + 2_000,
    ).also { room.offer(it, arrivedAtMillis) }

    private fun next(nowMillis: Long) = room.next(nowMillis, { forecast })?.value

    @Test
    fun `a request that is lost unless it starts now precedes more urgent ones that can wait`() {
        offer("old", urgency = 2, arrivedAtMillis = 0, onTimeMillis = 400)
        offer("urgent", urgency = 0, arrivedAtMillis = 1_500, onTimeMillis = 1_500)
        assertEquals("urgent", next(1_500))
        assertEquals("old", next(1_750))
    }

    @Test
    fun `a request at its last moment makes no other late`() {
        offer("old", urgency = 0, arrivedAtMillis = 0, onTimeMillis = 400)
        offer("on time", urgency = 1, arrivedAtMillis = 1_600, onTimeMillis = 250)
        assertEquals("on time", next(1_750))
    }

    @Test
    fun `of requests at their last moment the more urgent one starts`() {
        offer("less urgent", urgency = 4, arrivedAtMillis = 0, onTimeMillis = 400)
        offer("more urgent", urgency = 1, arrivedAtMillis = 0, onTimeMillis = 400)
        offer("on time", urgency = 0, arrivedAtMillis = 1_700, onTimeMillis = 1_500)
        assertEquals("more urgent", next(1_750))
    }

    @Test
    fun `a request that can start at its last moment is not hopeless although more urgent ones precede it`() {
        val old = offer("old", urgency = 2, arrivedAtMillis = 0, onTimeMillis = 400)
        repeat(12) { offer("urgent $it", urgency = 0, arrivedAtMillis = 1_000, onTimeMillis = 5_000) }
        val expected = room.expectedWaits(1_000) { forecast }.single { it.request === old }
        assertTrue(!isHopeless(expected, forecast, 1_000), "$expected")
        assertTrue(expected.waitMillis in 700..900, "$expected")
    }

    @Test
    fun `while nothing is known of the pace requests start in their turn`() {
        offer("old", urgency = 2, arrivedAtMillis = 0, onTimeMillis = 400)
        offer("urgent", urgency = 0, arrivedAtMillis = 1_500, onTimeMillis = 1_500)
        assertEquals("urgent", room.next(1_750)?.value)
    }
}

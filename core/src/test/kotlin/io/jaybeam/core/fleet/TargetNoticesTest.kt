package io.jaybeam.core.fleet

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val START_MILLIS = 1_700_000_000_000L

internal class TargetNoticesTest {
    private var nowMillis = 0L
    private val notices = TargetNotices { nowMillis * 1_000_000 }
    private val first = target("a")
    private val second = target("b")

    private fun target(id: String, startedAtEpochMillis: Long = START_MILLIS) =
        FleetTarget(id, "pool", "127.0.0.1", 80, "north", 4, isDraining = false, remainingColdStartMillis = 0, startedAtEpochMillis)

    @Test
    fun `a target that leaves takes no request however often the store lists it again`() {
        assertTrue(notices.onLeaving(first))
        assertFalse(notices.onLeaving(first.copy(port = 81, remainingColdStartMillis = 5)))
        nowMillis = 3_600_000
        assertFalse(notices.acceptsRequests(first))
        assertTrue(notices.acceptsRequests(second))
    }

    @Test
    fun `a target that has started again under its id is a new target`() {
        notices.onLeaving(first)
        notices.onPause(first, 5_000)
        assertTrue(notices.acceptsRequests(target("a", START_MILLIS + 1)))
    }

    @Test
    fun `a paused target takes requests again after its pause and not before`() {
        assertTrue(notices.onPause(first, 2_000))
        nowMillis = 1_999
        assertFalse(notices.acceptsRequests(first))
        nowMillis = 2_000
        assertTrue(notices.acceptsRequests(first))
    }

    @Test
    fun `a shorter pause does not end a longer one`() {
        notices.onPause(first, 2_000)
        assertFalse(notices.onPause(first, 100))
        nowMillis = 1_000
        assertFalse(notices.acceptsRequests(first))
        assertFalse(notices.onPause(first, 3_000))
        nowMillis = 3_500
        assertFalse(notices.acceptsRequests(first))
    }

    @Test
    fun `callers of a service whose targets all pause are told the earliest end of a pause and do not return together`() {
        notices.onPause(first, 2_000)
        notices.onPause(second, 800)
        val acceptedMillis = assertNotNull(notices.millisUntilAccepted(listOf(first, second)))
        assertEquals(800, acceptedMillis)
        val random = Random(1)
        val delays = List(100) { spreadDelayMillis(acceptedMillis, random) }
        assertTrue(delays.all { it in 800..1_200 } && delays.max() - delays.min() > 200, "$delays")
    }

    @Test
    fun `a target that leaves does not count as one that returns`() {
        notices.onPause(first, 2_000)
        notices.onLeaving(first)
        assertNull(notices.millisUntilAccepted(listOf(first)))
        notices.onPause(second, 900)
        assertEquals(900, notices.millisUntilAccepted(listOf(first, second)))
        assertNull(notices.millisUntilAccepted(listOf(second, target("c"))))
    }

    @Test
    fun `a delay is read as seconds and any other text as a stated default`() {
        assertEquals(RetryAfter(2_000), parseRetryAfter(" 2 "))
        assertEquals(RetryAfter(1_500), parseRetryAfter("1.5"))
        assertEquals(RetryAfter(0), parseRetryAfter("0"))
        listOf("", "-3", "soon", "1e9", "Sat, 05 Dec 2026 12:00:00 GMT", "NaN", "٣").forEach {
            val read = parseRetryAfter(it)
            assertTrue(read.delayMillis == 1_000L && read.fault != null, "$it: $read")
        }
        listOf("999999", "9".repeat(400)).forEach {
            val read = parseRetryAfter(it)
            assertTrue(read.delayMillis == 3_600_000L && read.fault != null, "$it: $read")
        }
    }
}

package io.jaybeam.core.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class StopAdmissionTest {
    private val admission = StopAdmission(stopMillis = 7_300)

    @Test
    fun `a request whose time limit ends before the stop is taken`() {
        assertTrue(admission.accepts(elapsedMillis = 6_000, limitMillis = 1_009, longestMillis = null))
        assertFalse(admission.accepts(elapsedMillis = 6_500, limitMillis = 1_009, longestMillis = null))
    }

    @Test
    fun `a stream is taken while streams have lately taken less than the time that is left`() {
        assertTrue(admission.accepts(elapsedMillis = 2_000, limitMillis = 8_000, longestMillis = 4_800))
        assertFalse(admission.accepts(elapsedMillis = 3_500, limitMillis = 8_000, longestMillis = 4_800))
    }

    @Test
    fun `a request of a kind that was never served needs its whole time limit`() {
        assertFalse(admission.accepts(elapsedMillis = 0, limitMillis = 8_000, longestMillis = null))
        assertTrue(admission.accepts(elapsedMillis = 0, limitMillis = 7_000, longestMillis = null))
    }

    @Test
    fun `the longest duration is forgotten after a minute`() {
        var now = 0L
        val longest = LongestDuration { now }
        assertNull(longest.millis)
        longest.record(900)
        repeat(19) { longest.record(400) }
        now = 31_000
        assertEquals(900, longest.millis)
        repeat(20) { longest.record(300) }
        assertEquals(900, longest.millis)
        now = 62_000
        assertEquals(300, longest.millis)
        now = 200_000
        assertNull(longest.millis)
    }

    @Test
    fun `the longest of a few durations is not relied on`() {
        val longest = LongestDuration { 0 }
        repeat(19) { longest.record(5) }
        assertNull(longest.millis)
        longest.record(5)
        assertEquals(5, longest.millis)
    }
}

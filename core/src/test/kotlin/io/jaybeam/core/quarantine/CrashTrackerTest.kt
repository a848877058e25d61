package io.jaybeam.core.quarantine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class CrashTrackerTest {
    private val tracker = CrashTracker(retentionMillis = 1_000, capacity = 100)

    @Test
    fun `a request present at one crash is a suspect and at two crashes is quarantined`() {
        assertTrue(tracker.onCrash("c1", listOf("crashing", "unrelated"), 0))
        assertEquals(CrashStatus.SUSPECT, tracker.status("unrelated", 1))
        tracker.onCompleted("unrelated")
        tracker.onCrash("c2", listOf("crashing"), 2)
        assertEquals(CrashStatus.QUARANTINED, tracker.status("crashing", 3))
        assertEquals(CrashStatus.CLEAR, tracker.status("unrelated", 3))
    }

    @Test
    fun `a crash reported twice counts once`() {
        tracker.onCrash("c1", listOf("crashing"), 0)
        assertFalse(tracker.onCrash("c1", listOf("crashing"), 1))
        assertEquals(CrashStatus.SUSPECT, tracker.status("crashing", 2))
    }

    @Test
    fun `a quarantine ends after the retention time`() {
        tracker.onCrash("c1", listOf("crashing"), 0)
        tracker.onCrash("c2", listOf("crashing"), 0)
        assertEquals(CrashStatus.CLEAR, tracker.status("crashing", 1_001))
    }
}

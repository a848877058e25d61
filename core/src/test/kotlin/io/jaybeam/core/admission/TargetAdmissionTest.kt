package io.jaybeam.core.admission

import io.jaybeam.core.config.SlowStartLimits
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class TargetAdmissionTest {
    private val limits = SlowStartLimits(initialConcurrency = 2, fullConcurrency = 12, windowMillis = 1_000)

    @Test
    fun `a fresh target gets its initial limit and ramps to full`() {
        val admission = TargetAdmission(limits, 0)
        assertEquals(2, admission.limitAt(0))
        assertEquals(7, admission.limitAt(500))
        assertEquals(12, admission.limitAt(5_000))
    }

    @Test
    fun `work over the limit is not started`() {
        val admission = TargetAdmission(limits, 0)
        assertTrue(admission.tryStart(0))
        assertTrue(admission.tryStart(0))
        assertFalse(admission.tryStart(0))
        admission.finish()
        assertTrue(admission.tryStart(0))
    }

    @Test
    fun `slow steps put the target back to its initial limit`() {
        val admission = TargetAdmission(limits, 0)
        repeat(50) { admission.onStep(10.0, 2_000L + it) }
        assertEquals(12, admission.limitAt(2_050))
        admission.onStep(60.0, 2_110)
        assertEquals(2, admission.limitAt(2_110))
    }

    @Test
    fun `an overdue step stops new work before it has arrived`() {
        val admission = TargetAdmission(limits, 0)
        repeat(5) { admission.tryStart(3_000) }
        repeat(50) { admission.onStep(10.0, 3_000L + it) }
        assertEquals(12, admission.limitAt(3_060))
        assertEquals(2, admission.limitAt(3_110))
    }

    @Test
    fun `warmth not seen for long is not trusted`() {
        val admission = TargetAdmission(limits, 0)
        admission.onStep(10.0, 2_000)
        assertEquals(12, admission.limitAt(2_100))
        assertEquals(2, admission.limitAt(9_000))
        assertEquals(Warmth.COLD, admission.warmthAt(9_000))
    }

    @Test
    fun `work without steps keeps its limit while the target reports that it is warm`() {
        val admission = TargetAdmission(limits, 0)
        admission.onStep(10.0, 2_000)
        admission.onWarmReport(9_000)
        repeat(3) { admission.tryStart(9_000) }
        assertEquals(12, admission.limitAt(9_100))
    }
}

package io.jaybeam.core.admission

import io.jaybeam.core.config.SlowStartLimits
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class TargetAdmissionTest {
    private val limits = SlowStartLimits(initialConcurrency = 2, fullConcurrency = 12, windowMillis = 1_000)

    @Test
    fun `the limit of a new target rises from its initial to its full concurrency`() {
        val admission = TargetAdmission(limits, 0)
        assertEquals(2, admission.limitAt(0))
        assertEquals(7, admission.limitAt(500))
        assertEquals(12, admission.limitAt(5_000))
    }

    @Test
    fun `requests over the limit are not started`() {
        val admission = TargetAdmission(limits, 0)
        assertTrue(admission.tryAcquire(0))
        assertTrue(admission.tryAcquire(0))
        assertFalse(admission.tryAcquire(0))
        admission.release()
        assertTrue(admission.tryAcquire(0))
    }

    @Test
    fun `a slow step returns the target to its initial limit`() {
        val admission = TargetAdmission(limits, 0)
        repeat(50) { admission.onStep(10.0, 2_000L + it) }
        assertEquals(12, admission.limitAt(2_050))
        admission.onStep(60.0, 2_110)
        assertEquals(2, admission.limitAt(2_110))
    }

    @Test
    fun `an overdue step lowers the limit before the step arrives`() {
        val admission = TargetAdmission(limits, 0)
        repeat(5) { admission.tryAcquire(3_000) }
        repeat(50) { admission.onStep(10.0, 3_000L + it) }
        assertEquals(12, admission.limitAt(3_060))
        assertEquals(2, admission.limitAt(3_110))
    }

    @Test
    fun `a target without recent evidence of being warm is treated as in cold start`() {
        val admission = TargetAdmission(limits, 0)
        admission.onStep(10.0, 2_000)
        assertEquals(12, admission.limitAt(2_100))
        assertEquals(2, admission.limitAt(9_000))
        assertEquals(WarmUpState.COLD_START, admission.warmUpStateAt(9_000))
    }

    @Test
    fun `the limit stays for requests without steps while the target reports that it is warm`() {
        val admission = TargetAdmission(limits, 0)
        admission.onStep(10.0, 2_000)
        admission.onWarmReport(9_000)
        repeat(3) { admission.tryAcquire(9_000) }
        assertEquals(12, admission.limitAt(9_100))
    }
}

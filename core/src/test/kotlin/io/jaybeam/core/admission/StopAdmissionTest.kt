package io.jaybeam.core.admission

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class StopAdmissionTest {
    private val admission = StopAdmission(stopMillis = 7_300)

    @Test
    fun `a request whose time limit ends before the stop is taken`() {
        assertTrue(admission.accepts(elapsedMillis = 6_000, limitMillis = 1_009))
        assertFalse(admission.accepts(elapsedMillis = 6_500, limitMillis = 1_009))
    }

    @Test
    fun `a request that may last longer than the process is refused from the beginning of the stop`() {
        assertFalse(admission.accepts(elapsedMillis = 0, limitMillis = 8_000))
        assertTrue(admission.accepts(elapsedMillis = 0, limitMillis = 7_000))
    }
}

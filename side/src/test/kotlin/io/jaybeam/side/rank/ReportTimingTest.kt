package io.jaybeam.side.rank

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

// What a coordinator of 0.45 cores takes beside its planning.
private const val MAX_REPORTS_PER_SECOND = 250.0

internal class ReportTimingTest {
    @Test
    fun `a coordinator gets no more reports a second than it takes, however large the group`() {
        for (size in 1..256) {
            for (isChanging in listOf(false, true)) {
                val perSecond = size * 1_000.0 / reportMillis(size, isChanging)
                assertTrue(perSecond <= MAX_REPORTS_PER_SECOND, "$perSecond reports a second of $size ranks")
            }
        }
    }

    @Test
    fun `a side counts as silent only after several reports are missing`() {
        for (size in listOf(1, 12, 63)) assertTrue(silentMillis(size) >= 3 * reportMillis(size, isChanging = false))
        assertEquals(80, reportMillis(12, isChanging = false))
    }
}

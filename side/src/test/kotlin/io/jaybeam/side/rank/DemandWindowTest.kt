package io.jaybeam.side.rank

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class DemandWindowTest {
    private val window = DemandWindow(lengthMillis = 600)

    @Test
    fun `counts within the window are summed by set`() {
        window.add(listOf(1, 2, 3, 4), 0)
        window.add(listOf(1, 2, 3, 4), 100)
        assertEquals(listOf(listOf(2.0, 4.0), listOf(6.0, 8.0)), window.demand(2, 150)?.sets)
    }

    @Test
    fun `counts older than the window are dropped`() {
        window.add(listOf(1, 2, 3, 4), 0)
        assertNull(window.demand(2, 601))
    }

    @Test
    fun `counts from before a shift are dropped`() {
        window.add(listOf(90, 10, 50, 50), 0)
        window.add(listOf(10, 90, 50, 50), 300)
        assertEquals(listOf(listOf(10.0, 90.0), listOf(50.0, 50.0)), window.demand(2, 310)?.sets)
    }

    @Test
    fun `a small change of demand does not count as a shift`() {
        window.add(listOf(60, 40, 50, 50), 0)
        window.add(listOf(50, 50, 50, 50), 300)
        assertEquals(listOf(110.0, 90.0), window.demand(2, 310)?.sets?.first())
    }
}

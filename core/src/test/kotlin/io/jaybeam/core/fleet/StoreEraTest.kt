package io.jaybeam.core.fleet

import io.jaybeam.core.rankgroup.fenceRangeOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

private const val MAX_GENERATION = 4_095L
private const val MAX_TERMS = 256L
private const val VERSIONS_PER_FENCE = 1_024L
private const val MAX_EXACT_JSON_INTEGER = 9_007_199_254_740_991L

internal class StoreEraTest {
    @Test
    fun `positions of a later era are higher whatever the offset is`() {
        val positions = listOf(0L, 1L, MAX_STORE_ERA).flatMap { era -> listOf(0L, 1L, 1L shl 39).map { logPosition(era, it) } }
        assertEquals(positions.sorted(), positions)
        assertEquals(positions.size, positions.distinct().size)
    }

    @Test
    fun `a position states its era and its offset`() {
        val position = logPosition(era = 3, offset = 17)
        assertEquals(3L to 17L, eraOfPosition(position) to offsetOfPosition(position))
        assertEquals(17, logPosition(era = 0, offset = 17))
        assertEquals(0, eraOfPosition(-1))
    }

    @Test
    fun `an era or an offset that cannot be represented is rejected`() {
        for (era in listOf(-1L, MAX_STORE_ERA + 1)) assertFailsWith<IllegalArgumentException> { logPosition(era, 0) }
        for (offset in listOf(-1L, 1L shl 40)) assertFailsWith<IllegalArgumentException> { logPosition(0, offset) }
    }

    @Test
    fun `tokens of a later era are higher than all earlier ones and their maps have exact versions`() {
        val last = assertNotNull(fenceRangeOrNull(numberInEra(era = 4, number = MAX_GENERATION), MAX_TERMS)).first
        val next = assertNotNull(fenceRangeOrNull(numberInEra(era = 5, number = 1), number = 1)).first
        assertTrue(next > last, "$next after $last")
        val highest = assertNotNull(fenceRangeOrNull(numberInEra(MAX_STORE_ERA, MAX_GENERATION), MAX_TERMS)).first
        assertTrue(highest < MAX_EXACT_JSON_INTEGER / VERSIONS_PER_FENCE, "$highest")
    }

    @Test
    fun `a generation of the era before the first is the number of the store`() {
        assertEquals(5_000, numberInEra(era = 0, number = 5_000))
    }
}

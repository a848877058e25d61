package io.jaybeam.core.rankgroup

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class FenceRangeTest {
    @Test
    fun `the tokens of a later term or generation are higher than all that an earlier one may use`() {
        val terms =
            listOf(3L to 1L, 3L to 2L, 3L to 256L, 4L to 1L).map { (generation, number) ->
                assertNotNull(fenceRangeOrNull(generation, number))
            }
        terms.zipWithNext { earlier, later -> assertTrue(earlier.isUsedUpAt(later.first - 1), "$earlier, $later") }
        assertEquals(terms.sortedBy { it.first }, terms)
    }

    @Test
    fun `a term has tokens for a thousand changes of the map`() {
        val range = assertNotNull(fenceRangeOrNull(generation = 3, number = 2))
        assertFalse(range.isUsedUpAt(range.first + 3_000))
    }

    @Test
    fun `a generation has no tokens for terms beyond its last one`() {
        assertNull(fenceRangeOrNull(generation = 3, number = 257))
        assertFailsWith<IllegalArgumentException> { fenceRangeOrNull(generation = 3, number = 0) }
    }
}

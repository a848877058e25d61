package io.jaybeam.core.fleet

import io.jaybeam.core.cost.costEngine
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class SingleGroupReportsTest {
    private val engine = costEngine()

    // Load: few entries, each of which sees most requests of a rank.
    @Test
    fun `few entries do without the reports of a single group`() =
        listOf(12 to 1, 12 to 3, 63 to 6, 32 to 17, 64 to 17, 129 to 18).forEach { (ranks, entries) ->
            assertFalse(areSingleGroupReportsUseful(engine, ranks, entries), "$ranks ranks, $entries entries")
        }

    // Load: many entries, none of which sees most requests of a rank.
    @Test
    fun `many entries use the reports of a small group, and once they do, more entries do`() {
        assertTrue(areSingleGroupReportsUseful(engine, 12, 64))
        listOf(2, 12, 32, 129).forEach { ranks ->
            val used = (1..600).map { areSingleGroupReportsUseful(engine, ranks, it) }
            assertEquals(used.sorted(), used, "$ranks ranks")
        }
    }

    // Load: a large group, whose reports are old before all entries have them.
    @Test
    fun `the larger the group, the more entries it takes`() {
        val fewest = listOf(8, 32, 64, 129).map { ranks -> (1..2_000).first { areSingleGroupReportsUseful(engine, ranks, it) } }
        assertEquals(fewest.sorted(), fewest)
        assertTrue(fewest.last() > 2 * fewest.first(), "$fewest")
    }

    // Load: short answers, so that ranks start many requests between two reports.
    @Test
    fun `the more requests a rank starts between reports, the more entries it takes`() {
        val short = engine.copy(meanAnswerTokens = 10)
        assertTrue(areSingleGroupReportsUseful(engine, 12, 64))
        assertFalse(areSingleGroupReportsUseful(short, 12, 64))
    }

    @Test
    fun `reports that arrive less often than they are trusted are not used, however many entries there are`() {
        val long = engine.copy(meanAnswerTokens = 100_000)
        assertTrue(areSingleGroupReportsUseful(long, 129, 600))
        assertFalse(areSingleGroupReportsUseful(long, 200, 600))
    }

    @Test
    fun `reports are not used where the cost of requests is not configured`() {
        assertFalse(areSingleGroupReportsUseful(engine.copy(readTokensPerSecond = 0.0), 12, 600))
        assertFalse(areSingleGroupReportsUseful(engine.copy(meanAnswerTokens = 0), 12, 600))
    }
}

package io.jaybeam.side.rank

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue

private const val CHANGE_MILLIS = 6_000L
private const val FAILING_READS = 2

internal class EngineModelTest {
    private val shape = EmulatedGroupShape(ranks = 12, sets = 4, experts = 72, slotsPerRank = 8, linkBytesPerSecond = 100_000_000)
    private val group = EmulatedGroup(shape)
    private val sides = EmulatedSides(group, shape, FAILING_READS)

    @AfterTest
    fun close() {
        sides.close()
        group.close()
    }

    // A coordinator whose first read of the store failed planned nothing for its whole term.
    @Test
    fun `the map follows demand though the store failed when the term began`() {
        sides.start()
        Thread.sleep(CHANGE_MILLIS)
        assertTrue(group.ranks.minOf { it.mapVersion } > 0, "no map was changed")
    }
}

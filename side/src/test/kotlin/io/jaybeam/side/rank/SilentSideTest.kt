package io.jaybeam.side.rank

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val SETTLING_MILLIS = 3_000L
private const val SHIFT_MILLIS = 3_000L
private const val SHIFTS = 3
private const val SILENT_RANK = 5

internal class SilentSideTest {
    private val shape = EmulatedGroupShape(ranks = 12, sets = 4, experts = 72, slotsPerRank = 8, linkBytesPerSecond = 100_000_000)
    private val group = EmulatedGroup(shape)
    private val sides = EmulatedSides(group, shape)

    @AfterTest
    fun close() {
        sides.close()
        group.close()
    }

    // Plans counted on experts that the rank had held before its side fell silent.
    @Test
    fun `a rank whose side is silent is not asked to load more experts than it has room for`() {
        sides.start()
        Thread.sleep(SETTLING_MILLIS)
        sides.silence(SILENT_RANK)
        val versionBefore = checkNotNull(group.mapVersion)
        repeat(SHIFTS) {
            group.firstPopularExpert += shape.ranks / SHIFTS
            Thread.sleep(SHIFT_MILLIS)
        }
        assertTrue(group.ranks.minOf { it.mapVersion } > versionBefore, "no map was changed")
        assertEquals(emptyList(), group.ranks.flatMap { it.refusedOrders })
    }
}

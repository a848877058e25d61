package io.jaybeam.side.rank

import io.jaybeam.core.placement.ExpertMap
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.changedBy
import io.jaybeam.core.placement.roundRobinMap
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.wire.Frame
import io.jaybeam.wire.FrameCodec
import io.jaybeam.wire.Link
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private class SilentLink : Link {
    override var isOpen = true
        private set

    override fun send(frame: Frame) = isOpen

    override fun close(reason: String) {
        isOpen = false
    }
}

// A group of the size to design for, whose ranks may load 3 experts of each set in one change.
private const val LARGE_SETS = 4
private const val LARGE_EXPERTS = 252
private const val LARGE_RANKS = 63
private const val LARGE_SLOTS = 5
private const val SPARE_EXPERTS = 3
private const val LINK_BYTES_PER_SECOND = 700_000
private const val CALL_TIMEOUT_MILLIS = 150

// Order, field names, length of the frame, headers of TCP and IP.
private const val MAX_OVERHEAD_BYTES = 250
private const val SEGMENT_HEADER_BYTES = 52

private fun sizeOf(frame: Frame) = SEGMENT_HEADER_BYTES + Int.SIZE_BYTES + FrameCodec.encode(frame).size

/** Returns [map] with other experts in the first [slots] slots of each rank and set. */
private fun replaceExperts(map: GroupMap, slots: Int): GroupMap {
    val random = Random(1)
    return GroupMap(
        map.sets.map { set ->
            val experts =
                set.expertBySlot.mapIndexed { slot, expert ->
                    if (slot % set.slotsPerRank < slots) (expert + 1 + random.nextInt(LARGE_EXPERTS - 1)) % LARGE_EXPERTS else expert
                }
            ExpertMap(set.slotsPerRank, experts)
        },
    )
}

internal class SentMapsTest {
    private val sentMaps = SentMaps()
    private val order = FencedOrder.Prepare(rank = 0, epoch = 1, fence = 1, version = 2)
    private val firstMap = roundRobinMap(sets = 2, experts = 10, ranks = 4, slotsPerRank = 4)
    private val nextMap = roundRobinMap(sets = 2, experts = 12, ranks = 4, slotsPerRank = 4)

    @Test
    fun `a map is sent as a compact change, the first one over a link as a change of the initial map`() {
        val link = SilentLink()
        val firstFrame = sentMaps.orderFrame(link, order, nextMap, MapForm.COMPACT_CHANGE)
        assertNull(firstFrame.map)
        assertEquals(nextMap, checkNotNull(firstFrame.compactMapChange).mapAfter(null))
        val frame = sentMaps.orderFrame(link, order, firstMap, MapForm.COMPACT_CHANGE)
        assertNull(frame.map)
        assertEquals(firstMap, checkNotNull(frame.compactMapChange).mapAfter(nextMap))
    }

    @Test
    fun `links over which different maps were sent get different changes`() {
        val links = listOf(SilentLink(), SilentLink())
        links.zip(listOf(firstMap, nextMap)) { link, map -> sentMaps.orderFrame(link, order, map, MapForm.COMPACT_CHANGE) }
        val map = GroupMap(firstMap.sets.reversed())
        val changes = links.map { checkNotNull(sentMaps.orderFrame(it, order, map, MapForm.COMPACT_CHANGE).compactMapChange) }
        assertEquals(listOf(map, map), changes.zip(listOf(firstMap, nextMap)) { change, previous -> change.mapAfter(previous) })
    }

    @Test
    fun `the first map over a link is sent whole and the next one as a change`() {
        val link = SilentLink()
        assertEquals(firstMap, sentMaps.orderFrame(link, order, firstMap, MapForm.SLOT_CHANGES).map)
        val frame = sentMaps.orderFrame(link, order, nextMap, MapForm.SLOT_CHANGES)
        assertNull(frame.map)
        assertEquals(nextMap, firstMap.changedBy(checkNotNull(frame.mapChange)))
    }

    @Test
    fun `a change of all spare experts on all ranks takes less of the link than a call has time to be answered`() {
        val before = roundRobinMap(LARGE_SETS, LARGE_EXPERTS, LARGE_RANKS, LARGE_SLOTS)
        val after = replaceExperts(before, SPARE_EXPERTS)
        val links = List(LARGE_RANKS) { SilentLink() }
        links.forEach { sentMaps.orderFrame(it, order, before, MapForm.COMPACT_CHANGE) }
        val bytes = links.sumOf { sizeOf(sentMaps.orderFrame(it, order, after, MapForm.COMPACT_CHANGE)) }
        val sendMillis = bytes * 1_000 / LINK_BYTES_PER_SECOND
        assertTrue(sendMillis < CALL_TIMEOUT_MILLIS, "$bytes bytes, $sendMillis ms of the link")
    }

    @Test
    fun `the first map over a link takes little more than a byte a slot`() {
        val map = replaceExperts(roundRobinMap(LARGE_SETS, LARGE_EXPERTS, LARGE_RANKS, LARGE_SLOTS), LARGE_SLOTS)
        val bytes = sizeOf(sentMaps.orderFrame(SilentLink(), order, map, MapForm.COMPACT_CHANGE))
        val slots = LARGE_SETS * LARGE_RANKS * LARGE_SLOTS
        assertTrue(bytes < slots * 9 / 8 + MAX_OVERHEAD_BYTES, "$bytes bytes for $slots slots")
    }

    @Test
    fun `a side that has connected again is sent a whole map`() {
        sentMaps.orderFrame(SilentLink(), order, firstMap, MapForm.SLOT_CHANGES)
        assertEquals(nextMap, sentMaps.orderFrame(SilentLink(), order, nextMap, MapForm.SLOT_CHANGES).map)
        val compactFrame = sentMaps.orderFrame(SilentLink(), order, nextMap, MapForm.COMPACT_CHANGE)
        assertEquals(nextMap, checkNotNull(compactFrame.compactMapChange).mapAfter(null))
    }

    @Test
    fun `a side of an earlier release is sent whole maps`() {
        val link = SilentLink()
        sentMaps.orderFrame(link, order, firstMap, MapForm.WHOLE)
        assertEquals(nextMap, sentMaps.orderFrame(link, order, nextMap, MapForm.WHOLE).map)
    }
}

package io.jaybeam.wire

import arrow.core.getOrElse
import io.jaybeam.core.placement.ExpertMap
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.roundRobinMap
import io.jaybeam.core.rankgroup.FencedOrder
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

private const val SETS = 3
private const val EXPERTS = 20
private const val RANKS = 10
private const val SLOTS_PER_RANK = 4
private const val SLOTS = SETS * RANKS * SLOTS_PER_RANK
private const val EXPERT_BITS = 5

internal class CompactMapChangeTest {
    private val random = Random(1)
    private val initialMap = roundRobinMap(SETS, EXPERTS, RANKS, SLOTS_PER_RANK)

    /** Returns [map] with another expert in about [share] of its slots. */
    private fun changed(map: GroupMap, share: Double) =
        GroupMap(
            map.sets.map { set ->
                ExpertMap(SLOTS_PER_RANK, set.expertBySlot.map { if (random.nextDouble() < share) random.nextInt(EXPERTS) else it })
            },
        )

    @Test
    fun `a map and its change give the next map, whatever the share of slots that differ`() {
        var map = initialMap
        for (share in listOf(0.0, 0.01, 0.1, 0.5, 1.0)) {
            val next = changed(map, share)
            assertEquals(next, compactChangeOf(map, next).mapAfter(map))
            map = next
        }
    }

    @Test
    fun `a first map is a change of the initial map`() {
        val map = changed(initialMap, 0.3)
        assertEquals(map, compactChangeOf(null, map).mapAfter(null))
        val smaller = roundRobinMap(SETS, EXPERTS, RANKS - 1, SLOTS_PER_RANK)
        assertEquals(map, compactChangeOf(smaller, map).mapAfter(smaller))
    }

    @Test
    fun `a change takes at most one bit a slot and the bits of an expert for each slot that differs`() {
        for (share in listOf(0.0, 0.01, 0.1, 0.5, 1.0)) {
            val change = compactChangeOf(initialMap, changed(initialMap, share))
            assertTrue(change.bits.size * 8 < SLOTS + change.changedSlots * EXPERT_BITS + 8, "${change.bits.size} bytes")
        }
    }

    @Test
    fun `a change survives the wire`() {
        val next = changed(initialMap, 0.2)
        val order = FencedOrder.Prepare(rank = 0, epoch = 1, fence = 1, version = 2)
        val frame = Frame.RankOrder(order, map = null, compactMapChange = compactChangeOf(initialMap, next))
        val decoded = FrameCodec.decode(FrameCodec.encode(frame)).getOrElse { error("$it") } as Frame.RankOrder
        assertEquals(next, decoded.compactMapChange?.mapAfter(initialMap))
    }

    @Test
    fun `bits that are not a change of the map are rejected`() {
        val change = compactChangeOf(initialMap, changed(initialMap, 0.5))

        fun withBits(bits: ByteArray) = CompactMapChange(change.shape, false, change.changedSlots, change.gapBits, bits)
        assertFailsWith<IllegalArgumentException> { withBits(change.bits.copyOf(change.bits.size / 2)).mapAfter(initialMap) }
        assertFailsWith<IllegalArgumentException> { withBits(ByteArray(change.bits.size) { -1 }).mapAfter(initialMap) }
        assertFailsWith<IllegalArgumentException> { change.mapAfter(null) }
        assertFailsWith<IllegalArgumentException> { change.mapAfter(roundRobinMap(SETS, EXPERTS, RANKS + 1, SLOTS_PER_RANK)) }
        assertFailsWith<IllegalArgumentException> { CompactMapChange(MapShape(1 shl 20, 1, 1 shl 20, 1), false, 0, 0, ByteArray(0)) }
    }
}

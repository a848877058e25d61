/*
 * The difference between two expert maps, as bits: for each slot with another expert the number of unchanged slots before it,
 * and the new expert. A coordinator sends it to all ranks at once, and what it sends has to stay small if all slots change.
 */
package io.jaybeam.wire

import io.jaybeam.core.placement.ExpertMap
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.roundRobinMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

private const val MAX_GAP_BITS = 16
private const val MAX_SLOTS = 1_000_000

/** Numbers of sets, experts a set, ranks, and slots of a rank for each set. */
@Serializable
public data class MapShape(
    @CborLabel(1) val sets: Int,
    @CborLabel(2) val experts: Int,
    @CborLabel(3) val ranks: Int,
    @CborLabel(4) val slotsPerRank: Int,
)

/**
 * The difference between two maps of one [shape], in at most one bit a slot and the bits of one expert for each slot that differs.
 *
 * @property isFromInitialMap whether the earlier of the two maps is [roundRobinMap].
 * @property changedSlots number of slots that differ.
 * @property gapBits number of low bits of each gap that are sent as they are; the rest of a gap is sent as that many 1 bits.
 * @property bits gap and expert of each slot that differs, by set and slot.
 */
@Serializable
public class CompactMapChange(
    @CborLabel(1) public val shape: MapShape,
    @CborLabel(2) public val isFromInitialMap: Boolean,
    @CborLabel(3) public val changedSlots: Int,
    @CborLabel(4) public val gapBits: Int,
    @CborLabel(5) @ByteString public val bits: ByteArray,
) {
    init {
        require(gapBits in 0..MAX_GAP_BITS) { "gaps of $gapBits bits, not 0 to $MAX_GAP_BITS" }
        val slots = shape.sets.toLong() * shape.ranks * shape.slotsPerRank
        require(minOf(shape.sets, shape.experts, shape.ranks, shape.slotsPerRank) > 0 && slots <= MAX_SLOTS) { "a map of shape $shape" }
        require(changedSlots in 0..slots) { "$changedSlots of $slots slots differ" }
    }

    /**
     * Returns the map after this change of [previous], which may be null if [isFromInitialMap].
     *
     * @throws IllegalArgumentException if the change belongs to a map of another shape, or its bits are not those of a change.
     */
    public fun mapAfter(previous: GroupMap?): GroupMap {
        val base = if (isFromInitialMap) shape.initialMap() else previous
        require(base != null && base.hasSlotsOf(shape)) { "a change of a map of shape $shape does not fit the map before it" }
        val experts = base.allSlots().toMutableList()
        val reader = BitReader(bits)
        var slot = -1
        repeat(changedSlots) {
            slot += reader.readGap(gapBits) + 1
            require(slot in experts.indices) { "slot $slot of ${experts.size}" }
            experts[slot] = reader.readBits(shape.expertBits).also { require(it < shape.experts) { "expert $it of ${shape.experts}" } }
        }
        return GroupMap(experts.chunked(shape.ranks * shape.slotsPerRank) { ExpertMap(shape.slotsPerRank, it.toList()) })
    }
}

/**
 * Returns the change from [previous] to [next], or from the initial map if [previous] is null or has another shape.
 *
 * @throws IllegalArgumentException if the sets of [next] differ in their numbers of slots.
 */
public fun compactChangeOf(previous: GroupMap?, next: GroupMap): CompactMapChange {
    val shape = shapeOf(next)
    require(next.hasSlotsOf(shape)) { "the sets of a map differ in their numbers of slots" }
    val base = previous?.takeIf { it.hasSlotsOf(shape) }
    val before = (base ?: shape.initialMap()).allSlots()
    val after = next.allSlots()
    val slots = after.indices.filter { before[it] != after[it] }
    val gaps = slots.indices.map { slots[it] - (if (it == 0) 0 else slots[it - 1] + 1) }
    val gapBits = (0..MAX_GAP_BITS).minBy { lengthOf(gaps, it) }
    val writer = BitWriter()
    gaps.indices.forEach {
        writer.writeGap(gaps[it], gapBits)
        writer.writeBits(after[slots[it]], shape.expertBits)
    }
    return CompactMapChange(shape, isFromInitialMap = base == null, slots.size, gapBits, writer.toByteArray())
}

private val MapShape.expertBits: Int get() = Int.SIZE_BITS - (experts - 1).countLeadingZeroBits()

/** Returns the map that a group of the size of [map] uses when it forms; the first change over a link is a change of it. */
public fun initialMapLike(map: GroupMap): GroupMap = shapeOf(map).initialMap()

private fun MapShape.initialMap() = roundRobinMap(sets, experts, ranks, slotsPerRank)

private fun shapeOf(map: GroupMap): MapShape {
    val first = map.sets.first()
    return MapShape(map.sets.size, map.allSlots().max() + 1, first.expertBySlot.size / first.slotsPerRank, first.slotsPerRank)
}

private fun GroupMap.hasSlotsOf(shape: MapShape) =
    sets.size == shape.sets &&
        sets.all { it.slotsPerRank == shape.slotsPerRank && it.expertBySlot.size == shape.ranks * shape.slotsPerRank }

private fun GroupMap.allSlots() = sets.flatMap { it.expertBySlot }

private fun lengthOf(gaps: List<Int>, gapBits: Int) = gaps.sumOf { (it shr gapBits).toLong() + 1 + gapBits }

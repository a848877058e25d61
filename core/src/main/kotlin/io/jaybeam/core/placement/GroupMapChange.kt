/*
 * The difference between two expert maps. A change of the map replaces few experts, so the difference is much smaller than a
 * map and hardly grows with the size of the group.
 */
package io.jaybeam.core.placement

import kotlinx.serialization.Serializable

/**
 * Slots of one set that hold other experts than before, in ascending order.
 *
 * @property gaps for each of the slots, the number of slots between the one before it in this list, or the start, and itself;
 *   a gap mostly takes a byte less than an index.
 * @property experts the new expert of each of the slots.
 */
@Serializable
public data class SlotChanges(
    val gaps: List<Int>,
    val experts: List<Int>,
)

/** The difference between two maps of one shape, by set. */
@Serializable
public data class GroupMapChange(
    val sets: List<SlotChanges>,
)

/** Returns the change from this map to [next], or null if they differ in the number of sets or slots. */
public fun GroupMap.changeTo(next: GroupMap): GroupMapChange? {
    if (!hasShapeOf(next)) return null
    return GroupMapChange(sets.zip(next.sets) { before, after -> slotChanges(before, after) })
}

/**
 * Returns this map after [change].
 *
 * @throws IllegalArgumentException if [change] belongs to a map of another shape.
 */
public fun GroupMap.changedBy(change: GroupMapChange): GroupMap {
    require(change.sets.size == sets.size) { "a change of ${change.sets.size} sets does not fit a map of ${sets.size} sets" }
    return GroupMap(sets.zip(change.sets) { set, changes -> set.changedBy(changes) })
}

/**
 * Returns this map with the slots of each rank in another order, so that experts that the rank holds in [previous] too are in
 * the same slots as there. Which rank holds which experts stays the same.
 */
public fun GroupMap.alignedTo(previous: GroupMap): GroupMap =
    if (hasShapeOf(previous)) GroupMap(sets.zip(previous.sets) { set, previousSet -> set.alignedTo(previousSet) }) else this

private fun GroupMap.hasShapeOf(other: GroupMap) =
    sets.size == other.sets.size &&
        sets.indices.all {
            sets[it].slotsPerRank == other.sets[it].slotsPerRank && sets[it].expertBySlot.size == other.sets[it].expertBySlot.size
        }

private fun slotChanges(before: ExpertMap, after: ExpertMap): SlotChanges {
    val slots = after.expertBySlot.indices.filter { before.expertBySlot[it] != after.expertBySlot[it] }
    val gaps = slots.indices.map { slots[it] - (if (it == 0) 0 else slots[it - 1] + 1) }
    return SlotChanges(gaps, slots.map { after.expertBySlot[it] })
}

private fun ExpertMap.changedBy(changes: SlotChanges): ExpertMap {
    require(changes.gaps.size == changes.experts.size) { "${changes.gaps.size} slots and ${changes.experts.size} experts" }
    val experts = expertBySlot.toMutableList()
    var slot = -1
    changes.gaps.zip(changes.experts).forEach { (gap, expert) ->
        require(gap in 0 until experts.size - slot - 1) { "a gap of $gap after slot $slot ends outside ${experts.indices}" }
        slot += gap + 1
        experts[slot] = expert
    }
    return ExpertMap(slotsPerRank, experts)
}

private fun ExpertMap.alignedTo(previous: ExpertMap): ExpertMap =
    ExpertMap(
        slotsPerRank,
        expertBySlot.chunked(slotsPerRank).zip(previous.expertBySlot.chunked(slotsPerRank), ::alignSlots).flatten(),
    )

private fun alignSlots(experts: List<Int>, previousExperts: List<Int>): List<Int> {
    val remaining = experts.toMutableList()
    val kept = previousExperts.map { expert -> expert.takeIf(remaining::remove) }
    return kept.map { it ?: remaining.removeAt(0) }
}

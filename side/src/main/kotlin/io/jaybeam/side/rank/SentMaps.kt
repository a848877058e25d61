/*
 * Keeps the map that was last sent over each link, so that the next one can be sent as a change. A link delivers frames in
 * order, so the side at its other end knows that map.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.changeTo
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.wire.CompactMapChange
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.compactChangeOf

/** Forms in which a side accepts maps; a side that accepts one form accepts those before it. */
internal enum class MapForm { WHOLE, SLOT_CHANGES, COMPACT_CHANGE }

/** Returns the most compact form that the side that sent this report accepts. */
internal val Frame.RankReport.acceptedMapForm: MapForm
    get() =
        when {
            acceptsCompactMapChanges -> MapForm.COMPACT_CHANGE
            acceptsMapChanges -> MapForm.SLOT_CHANGES
            else -> MapForm.WHOLE
        }

/** Makes the frames that send maps to sides. Not thread-safe. */
internal class SentMaps {
    private class Encoded(
        val previous: GroupMap?,
        val next: GroupMap,
        val change: CompactMapChange,
    )

    private val mapByLink = HashMap<Link, GroupMap>()
    private var lastEncoded: Encoded? = null

    /** Returns the frame that sends [order] with [map] over [link], in the form [form] if the maps allow it. */
    fun orderFrame(
        link: Link,
        order: FencedOrder.Prepare,
        map: GroupMap,
        form: MapForm,
    ): Frame.RankOrder {
        val previous = mapByLink.put(link, map)
        return when (form) {
            MapForm.COMPACT_CHANGE -> Frame.RankOrder(order, map = null, compactMapChange = compactChange(previous, map))
            MapForm.SLOT_CHANGES -> previous?.changeTo(map)?.let { Frame.RankOrder(order, map = null, it) } ?: Frame.RankOrder(order, map)
            MapForm.WHOLE -> Frame.RankOrder(order, map)
        }
    }

    /** Forgets the maps that were sent over links that are closed now. */
    fun dropClosedLinks() {
        mapByLink.keys.removeIf { !it.isOpen }
    }

    /** Returns the change from [previous] to [next], which is mostly the same for all ranks. */
    private fun compactChange(previous: GroupMap?, next: GroupMap): CompactMapChange {
        lastEncoded?.takeIf { it.previous === previous && it.next === next }?.let { return it.change }
        return compactChangeOf(previous, next).also { lastEncoded = Encoded(previous, next, it) }
    }
}

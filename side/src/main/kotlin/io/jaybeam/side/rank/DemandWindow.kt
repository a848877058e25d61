/*
 * Sums the demand for experts over the last moments. Demand shifts within a second, so older counts only mislead.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.placement.GroupDemand

/** Demand of the last [lengthMillis]. Not thread-safe. */
internal class DemandWindow(
    private val lengthMillis: Long,
) {
    private class Part(
        val atMillis: Long,
        val counts: List<Int>,
    )

    private val parts = ArrayDeque<Part>()

    /** Adds what one rank counted until [nowMillis]. */
    fun add(counts: List<Int>, nowMillis: Long) {
        if (counts.isEmpty()) return
        if (parts.firstOrNull()?.counts?.size != counts.size) parts.clear()
        parts += Part(nowMillis, counts)
        dropOld(nowMillis)
    }

    /** Forgets everything. */
    fun clear() = parts.clear()

    /** Returns the demand by set, or null where too little was counted. */
    fun demand(sets: Int, nowMillis: Long): GroupDemand? {
        dropOld(nowMillis)
        val size = parts.firstOrNull()?.counts?.size ?: return null
        if (sets <= 0 || size % sets != 0) return null
        val sums = DoubleArray(size)
        parts.forEach { part -> part.counts.forEachIndexed { index, count -> sums[index] += count.toDouble() } }
        return GroupDemand(sums.toList().chunked(size / sets))
    }

    private fun dropOld(nowMillis: Long) {
        while (parts.isNotEmpty() && nowMillis - parts.first().atMillis > lengthMillis) parts.removeFirst()
    }
}

/*
 * Counts of expert use, in half a byte each. The frames with these counts are the most frequent large ones, and a coordinator
 * receives them from all ranks. It plans from sums over ranks, in which the rounding of single counts cancels out.
 */
package io.jaybeam.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt

private const val BITS_PER_LEVEL = 4
private const val MAX_LEVEL = 15

/**
 * Counts rounded to 16 levels: level 0 is the count 0, and levels 1 to 15 are counts from 1 to [max] in equal ratios.
 *
 * @property size number of counts.
 * @property max the highest count; 0 if all are 0.
 * @property levels two levels a byte, the first in the low bits.
 */
@Serializable
public class CompactCounts(
    @CborLabel(1) public val size: Int,
    @CborLabel(2) public val max: Int,
    @CborLabel(3) @ByteString public val levels: ByteArray,
) {
    init {
        require(levels.size == byteCountOf(size)) { "$size counts take ${byteCountOf(size)} bytes, not ${levels.size}" }
    }

    /** Returns the counts, each with a relative error of up to half the ratio between two levels. */
    public fun toList(): List<Int> {
        val countByLevel = IntArray(MAX_LEVEL + 1) { level -> if (level == 0) 0 else countOf(level, max) }
        return List(size) { countByLevel[levelAt(it)] }
    }

    private fun levelAt(index: Int) = (levels[index / 2].toInt() shr shiftOf(index)) and MAX_LEVEL
}

/**
 * Returns [counts] rounded to 16 levels; negative ones count as 0.
 *
 * Example: `compactCountsOf(listOf(0, 1, 90)).toList()` is `[0, 1, 90]`.
 */
public fun compactCountsOf(counts: List<Int>): CompactCounts {
    val max = counts.maxOrNull()?.coerceAtLeast(0) ?: 0
    val levels = ByteArray(byteCountOf(counts.size))
    counts.forEachIndexed { index, count ->
        val bits = levelOf(count, max) shl shiftOf(index)
        levels[index / 2] = (levels[index / 2].toInt() or bits).toByte()
    }
    return CompactCounts(counts.size, max, levels)
}

private fun byteCountOf(size: Int) = (size + 1) / 2

private fun shiftOf(index: Int) = index % 2 * BITS_PER_LEVEL

private fun levelOf(count: Int, max: Int): Int =
    when {
        count <= 0 -> 0
        max == 1 -> MAX_LEVEL
        else -> 1 + ((MAX_LEVEL - 1) * ln(count.toDouble()) / ln(max.toDouble())).roundToInt()
    }

private fun countOf(level: Int, max: Int): Int = max.toDouble().pow((level - 1.0) / (MAX_LEVEL - 1)).roundToInt()

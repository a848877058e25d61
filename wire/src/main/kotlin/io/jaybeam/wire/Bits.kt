/*
 * Bit sequences in bytes, the first bit in the low end of the first byte. Gaps are Rice codes: the high part in unary, the low
 * bits as they are.
 */
package io.jaybeam.wire

import java.io.ByteArrayOutputStream

internal class BitWriter {
    private val bytes = ByteArrayOutputStream()
    private var current = 0
    private var length = 0

    fun writeBits(value: Int, count: Int) = repeat(count) { writeBit((value shr it) and 1) }

    fun writeGap(gap: Int, lowBits: Int) {
        repeat(gap shr lowBits) { writeBit(1) }
        writeBit(0)
        writeBits(gap, lowBits)
    }

    /** Returns the bits written so far; the last byte is filled with 0. */
    fun toByteArray(): ByteArray = bytes.toByteArray() + if (length > 0) byteArrayOf(current.toByte()) else byteArrayOf()

    private fun writeBit(bit: Int) {
        current = current or (bit shl length)
        length += 1
        if (length < Byte.SIZE_BITS) return
        bytes.write(current)
        current = 0
        length = 0
    }
}

/** Reads what a [BitWriter] wrote; throws [IllegalArgumentException] at the end of [bytes]. */
internal class BitReader(
    private val bytes: ByteArray,
) {
    private var position = 0

    fun readBits(count: Int): Int = (0 until count).sumOf { readBit() shl it }

    fun readGap(lowBits: Int): Int {
        var high = 0
        while (readBit() == 1) high += 1
        return (high shl lowBits) + readBits(lowBits)
    }

    private fun readBit(): Int {
        require(position < bytes.size * Byte.SIZE_BITS) { "${bytes.size} bytes end within a value" }
        val bit = (bytes[position / Byte.SIZE_BITS].toInt() shr (position % Byte.SIZE_BITS)) and 1
        position += 1
        return bit
    }
}

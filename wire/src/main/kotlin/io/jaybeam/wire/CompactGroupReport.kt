/*
 * A group's report in a few bytes a rank, as the report of a large group is the largest frame that entries pass on regularly.
 *
 * Ranks follow one another in fixed fields: the difference of rank number, address, port and memory size from those of the rank
 * before, then requests, memory in use and slowness. Numbers take seven bits a byte, so a rank of which little is unusual takes
 * about eleven bytes.
 */
package io.jaybeam.wire

import io.jaybeam.core.fleet.GroupReport
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.RankLoad
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import java.io.ByteArrayOutputStream
import kotlin.math.roundToInt

// Memory in use is stated in this many parts of all memory, slowness in parts of that of a sound rank.
private const val MEMORY_LEVELS = 127L
private const val SLOWNESS_LEVELS = 16
private const val MAX_SLOWNESS_LEVEL = 1_600
private const val MAX_RANKS = 4_096
private const val MAX_MEMORY_TOKENS = 1L shl 40
private const val IPV4_BYTES = 4
private const val MAX_PART = 0xff
private const val MAX_IPV4 = 0xffff_ffffL

// A byte of a number holds seven of its bits, and whether another byte follows.
private const val BITS_PER_BYTE = 7
private const val LOW_BITS = 0x7fL
private const val CONTINUES = 0x80L

/** A [GroupReport] whose [ranks] are packed into bytes. */
@Serializable
public class CompactGroupReport(
    @CborLabel(1) public val service: String,
    @CborLabel(2) public val group: String,
    @CborLabel(3) public val epoch: Long,
    @CborLabel(4) public val term: Long,
    @CborLabel(5) public val sequence: Long,
    @CborLabel(6) public val isOpen: Boolean,
    @CborLabel(7) public val rankCount: Int,
    @CborLabel(8) public val passMillis: Long,
    @CborLabel(9) @ByteString public val ranks: ByteArray = ByteArray(0),
) {
    /** Returns the report; throws [IllegalArgumentException] if its ranks cannot be read. */
    public fun toReport(): GroupReport =
        GroupReport(service, group, epoch, term, sequence, isOpen, rankCount, passMillis, unpackRanks(ranks))
}

/** Returns [report] in a form whose size is about [approximateBytes]. */
public fun compactGroupReportOf(report: GroupReport): CompactGroupReport =
    CompactGroupReport(
        report.service,
        report.group,
        report.epoch,
        report.term,
        report.sequence,
        report.isOpen,
        report.rankCount,
        report.passMillis,
        packRanks(report.ranks),
    )

/** Bytes of the frame that carries this report. */
public val CompactGroupReport.approximateBytes: Int get() = FRAME_BYTES + service.length + group.length + ranks.size

private const val FRAME_BYTES = 45

private fun packRanks(ranks: List<RankLoad>): ByteArray {
    val writer = NumberWriter()
    var previous: RankLoad? = null
    ranks.forEach { load ->
        writer.writeSigned(load.rank.toLong() - (previous?.rank ?: 0))
        writer.writeHost(load.address.host, previous?.address?.host)
        writer.writeSigned(load.address.port.toLong() - (previous?.address?.port ?: 0))
        writer.writeSigned(load.totalMemoryTokens - (previous?.totalMemoryTokens ?: 0))
        writer.write(load.running.toLong())
        writer.write(load.waiting.toLong())
        writer.write(memoryLevelOf(load))
        writer.write((load.slowness * SLOWNESS_LEVELS).coerceIn(1.0, MAX_SLOWNESS_LEVEL.toDouble()).roundToInt().toLong())
        previous = load
    }
    return writer.toByteArray()
}

private fun memoryLevelOf(load: RankLoad): Long =
    if (load.totalMemoryTokens <=
        0
    ) {
        0
    } else {
        (load.usedMemoryTokens.coerceIn(0, load.totalMemoryTokens) * MEMORY_LEVELS / load.totalMemoryTokens)
    }

private fun unpackRanks(bytes: ByteArray): List<RankLoad> {
    val reader = NumberReader(bytes)
    val ranks = mutableListOf<RankLoad>()
    while (reader.hasMore) {
        require(ranks.size < MAX_RANKS) { "a report contains more than $MAX_RANKS ranks" }
        val previous = ranks.lastOrNull()
        val rank = (previous?.rank ?: 0) + reader.readSigned()
        val host = reader.readHost(previous?.address?.host)
        val port = (previous?.address?.port ?: 0) + reader.readSigned()
        val totalMemoryTokens = (previous?.totalMemoryTokens ?: 0) + reader.readSigned()
        val running = reader.read()
        val waiting = reader.read()
        val memoryLevel = reader.read()
        require(totalMemoryTokens in 0..MAX_MEMORY_TOKENS && memoryLevel in 0..MEMORY_LEVELS) { "a rank's memory is out of range" }
        val usedMemoryTokens = memoryLevel * totalMemoryTokens / MEMORY_LEVELS
        val slowness = reader.read().toDouble() / SLOWNESS_LEVELS
        ranks +=
            RankLoad(
                HostPort(host, port.toIntOrFail()),
                rank.toIntOrFail(),
                running.toIntOrFail(),
                waiting.toIntOrFail(),
                usedMemoryTokens,
                totalMemoryTokens,
                slowness,
            )
    }
    return ranks
}

private fun Long.toIntOrFail(): Int {
    require(this in Int.MIN_VALUE..Int.MAX_VALUE) { "$this is not a number of a rank's load" }
    return toInt()
}

/** Writes numbers of seven bits a byte; negative ones alternate with positive ones. */
private class NumberWriter {
    private val bytes = ByteArrayOutputStream()

    fun write(number: Long) {
        var rest = number
        while (rest !in 0..LOW_BITS) {
            bytes.write((rest and LOW_BITS or CONTINUES).toInt())
            rest = rest ushr BITS_PER_BYTE
        }
        bytes.write(rest.toInt())
    }

    fun writeSigned(number: Long) = write((number shl 1) xor (number shr Long.SIZE_BITS - 1))

    /** Writes an IPv4 address as the difference from [previous], and any other one as text after its length. */
    fun writeHost(host: String, previous: String?) {
        val number = ipv4OrNull(host)
        write(if (number == null) host.length.toLong() else 0)
        if (number == null) bytes.writeBytes(host.encodeToByteArray()) else writeSigned(number - (previous?.let(::ipv4OrNull) ?: 0))
    }

    fun toByteArray(): ByteArray = bytes.toByteArray()
}

/** Reads what a [NumberWriter] wrote; throws [IllegalArgumentException] at the end of [bytes]. */
private class NumberReader(
    private val bytes: ByteArray,
) {
    private var position = 0

    val hasMore: Boolean get() = position < bytes.size

    fun read(): Long {
        var number = 0L
        var shift = 0
        while (true) {
            require(position < bytes.size && shift < Long.SIZE_BITS) { "${bytes.size} bytes of ranks end within a number" }
            val next = bytes[position++].toLong()
            number = number or ((next and LOW_BITS) shl shift)
            if (next >= 0) return number
            shift += BITS_PER_BYTE
        }
    }

    fun readSigned(): Long = read().let { (it ushr 1) xor -(it and 1) }

    fun readHost(previous: String?): String {
        val length = read()
        if (length == 0L) return hostOf((previous?.let(::ipv4OrNull) ?: 0) + readSigned())
        require(length in 1..bytes.size - position) { "${bytes.size} bytes of ranks end within an address" }
        return bytes.decodeToString(position, position + length.toInt()).also { position += length.toInt() }
    }
}

private fun ipv4OrNull(host: String): Long? {
    val parts = host.split('.').map { it.toIntOrNull()?.takeIf { part -> part in 0..MAX_PART && "$part" == it } ?: return null }
    if (parts.size != IPV4_BYTES) return null
    return parts.fold(0L) { number, part -> (number shl Byte.SIZE_BITS) + part }
}

private fun hostOf(number: Long): String {
    require(number in 0..MAX_IPV4) { "$number is not an IPv4 address" }
    return (IPV4_BYTES - 1 downTo 0).joinToString(".") { "${(number shr it * Byte.SIZE_BITS) and MAX_PART.toLong()}" }
}

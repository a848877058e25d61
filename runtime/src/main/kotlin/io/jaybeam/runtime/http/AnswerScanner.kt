/*
 * Follows the bytes of the answers on one connection to find where each answer ends.
 *
 * An HTTP client reads ahead: bytes that come right behind an answer stay in its buffer, and it takes them for the beginning of the next
 * answer on the connection. So the bytes are followed as they come from the socket.
 *
 * A server that breaks off within a body of known length and then sends another answer fills the rest of the length with the beginning of
 * that answer, and its end comes behind the body. So a status line that begins within the body is a fault if bytes follow the body, also
 * if its own end is among them.
 */
package io.jaybeam.runtime.http

private const val MAX_LINE_LENGTH = 256
private const val HTTP_SWITCHING_PROTOCOLS = 101
private const val HTTP_LOWEST_FINAL_STATUS = 200
private const val HTTP_NO_CONTENT = 204
private const val HTTP_NOT_MODIFIED = 304
private const val HEX_RADIX = 16

/** A status line with a status that HTTP defines (RFC 9110, section 15). The reason may be missing. */
private val statusLine = Regex("HTTP/1\\.[0-9] ([1-5][0-9]{2})(?: .*)?")

/** Finds the ends of answers. Not thread-safe. */
internal class AnswerScanner {
    private enum class Part {
        /** No request is in progress. */
        NONE,
        STATUS_LINE,
        HEADER,
        BODY_OF_KNOWN_LENGTH,

        /** The rest of the connection, or bytes that cannot be followed. */
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
    }

    private var part = Part.NONE
    private val line = StringBuilder()
    private var isHeadRequest = false
    private var status = 0
    private var isChunked = false
    private var lengthBytes: Long? = null
    private var remainingBytes = 0L
    private val statusLines = StatusLineFinder()
    private var hasStatusLineInBody = false

    /** Whether the body ended within what may be a status line, and all that came since continues it. */
    private var isStatusLineOpen = false

    /** Whether bytes came that belong to no answer. */
    var hasSurplus = false
        private set

    /** Why the end of the answer in progress cannot be found; null if it can. */
    var fault: String? = null
        private set

    /** Whether the last answer has ended and nothing came behind it, so that the connection can carry another request. */
    val isBetweenAnswers: Boolean get() = part == Part.NONE && !hasSurplus

    /** Whether the end of the answer in progress has not been read. */
    val isInAnswer: Boolean get() = part != Part.NONE

    /** Starts to follow the answer to the next request; [isHead] if its method is HEAD. */
    fun onRequestStart(isHead: Boolean) {
        isHeadRequest = isHead
        startHead()
    }

    /** Follows [count] [bytes] from [offset] on. */
    fun add(bytes: ByteArray, offset: Int, count: Int) {
        var position = offset
        val end = offset + count
        while (position < end) {
            position +=
                when (part) {
                    Part.NONE -> followSurplus(bytes, position, end)
                    Part.BODY_UNTIL_CLOSE -> end - position
                    Part.BODY_OF_KNOWN_LENGTH -> followBody(bytes, position, end)
                    Part.CHUNK -> skipBody(end - position)
                    else -> 1.also { addToLine(bytes[position]) }
                }
        }
    }

    /** Looks for a status line in the bytes of a body; returns how many of those from [position] to [end] belong to it. */
    private fun followBody(bytes: ByteArray, position: Int, end: Int): Int {
        val count = skipBody(end - position)
        for (index in position until position + count) {
            if (statusLines.add(bytes[index].toInt().toChar())) hasStatusLineInBody = true
        }
        isStatusLineOpen = part == Part.NONE && statusLines.matchedCount > 0
        return count
    }

    /** Looks whether bytes behind a body show that another answer begins within it; returns how many bytes were looked at. */
    private fun followSurplus(bytes: ByteArray, position: Int, end: Int): Int {
        hasSurplus = true
        var index = position
        while (!hasStatusLineInBody && isStatusLineOpen && index < end) {
            val previousCount = statusLines.matchedCount
            hasStatusLineInBody = statusLines.add(bytes[index++].toInt().toChar())
            isStatusLineOpen = statusLines.matchedCount == previousCount + 1
        }
        if (hasStatusLineInBody) fail("another answer begins within the body")
        return end - position
    }

    private fun skipBody(availableCount: Int): Int {
        val count = minOf(remainingBytes, availableCount.toLong()).toInt()
        remainingBytes -= count
        if (remainingBytes == 0L) part = if (part == Part.CHUNK) Part.CHUNK_END else Part.NONE
        return count
    }

    private fun addToLine(byte: Byte) {
        if (byte != '\n'.code.toByte()) {
            if (line.length < MAX_LINE_LENGTH) line.append(byte.toInt().toChar())
            return
        }
        val text = line.removeSuffix("\r").toString()
        line.clear()
        onLine(text)
    }

    private fun onLine(text: String) {
        when (part) {
            Part.STATUS_LINE -> onStatusLine(text)
            Part.HEADER -> if (text.isEmpty()) onHeadEnd() else onHeader(text)
            Part.CHUNK_SIZE -> onChunkSize(text)
            Part.CHUNK_END -> if (text.isEmpty()) part = Part.CHUNK_SIZE else fail("a chunk does not end with a line break")
            Part.TRAILER -> if (text.isEmpty()) part = Part.NONE else checkTrailer(text)
            Part.NONE, Part.BODY_OF_KNOWN_LENGTH, Part.BODY_UNTIL_CLOSE, Part.CHUNK -> Unit
        }
    }

    private fun startHead() {
        part = Part.STATUS_LINE
        line.clear()
        isChunked = false
        lengthBytes = null
        statusLines.reset()
        hasStatusLineInBody = false
        isStatusLineOpen = false
    }

    private fun onStatusLine(text: String) {
        val match = statusLine.matchEntire(text) ?: return fail("\"${printableExcerpt(text)}\" is no status line")
        status = match.groupValues[1].toInt()
        part = Part.HEADER
    }

    private fun onHeader(text: String) {
        val value = text.substringAfter(':').trim()
        when (text.substringBefore(':').lowercase()) {
            "content-length" -> lengthBytes = value.toLongOrNull()
            "transfer-encoding" -> isChunked = value.equals("chunked", ignoreCase = true)
        }
    }

    private fun onHeadEnd() {
        val length = lengthBytes
        when {
            status < HTTP_LOWEST_FINAL_STATUS && status != HTTP_SWITCHING_PROTOCOLS -> startHead()
            isHeadRequest || status == HTTP_NO_CONTENT || status == HTTP_NOT_MODIFIED -> part = Part.NONE
            isChunked -> part = Part.CHUNK_SIZE
            length == null || length < 0 -> part = Part.BODY_UNTIL_CLOSE
            else -> skipTo(Part.BODY_OF_KNOWN_LENGTH, length)
        }
    }

    private fun onChunkSize(text: String) {
        val size = text.substringBefore(';').trim().toLongOrNull(HEX_RADIX)
        when {
            hasStatusLine(text) -> fail("another answer begins within the size of a chunk")
            size == null || size < 0 -> part = Part.BODY_UNTIL_CLOSE
            size == 0L -> part = Part.TRAILER
            else -> skipTo(Part.CHUNK, size)
        }
    }

    private fun checkTrailer(text: String) {
        if (!isToken(text.substringBefore(':')) || ':' !in text || hasStatusLine(text)) fail("a line behind the last chunk is no header")
    }

    private fun fail(reason: String) {
        fault = reason
        part = Part.BODY_UNTIL_CLOSE
    }

    private fun skipTo(body: Part, byteCount: Long) {
        remainingBytes = byteCount
        part = if (byteCount == 0L) Part.NONE else body
    }
}

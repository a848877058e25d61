/*
 * Reader of HTTP/1.1 messages that accepts nothing but well-formed heads and bodies.
 */
package io.jaybeam.soak

import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.InputStream

/** Bytes that are no message in the protocol. */
internal class MalformedMessageException(
    message: String,
) : Exception(message)

/** A head: its first line, and its headers with names in lower case. */
internal class Head(
    val firstLine: String,
    val headers: Map<String, String>,
)

/** Reads messages from [input]. An [EOFException] means that the connection ended before the message did. */
internal class StrictReader(
    private val input: InputStream,
) {
    val hasBytes: Boolean get() = input.available() > 0

    fun readHead(): Head {
        val firstLine = readLine()
        val headers = mutableMapOf<String, String>()
        while (true) {
            val line = readLine()
            if (line.isEmpty()) return Head(firstLine, headers)
            if (!headerLine.matches(line)) throw MalformedMessageException("header line \"${line.take(EXCERPT_CHARS)}\"")
            val name = line.substringBefore(':').lowercase()
            val previous = headers.put(name, line.substringAfter(':').trim())
            if (previous != null && name in singleHeaders) throw MalformedMessageException("header $name twice")
        }
    }

    /** Reads the body of an answer or request with [headers]; without a length it ends with the connection if [mayEndWithConnection]. */
    fun readBody(headers: Map<String, String>, mayEndWithConnection: Boolean): ByteArray {
        val length = headers["content-length"]
        val isChunked = headers["transfer-encoding"]?.lowercase() == "chunked"
        if (length != null && isChunked) throw MalformedMessageException("a length and chunks")
        return when {
            isChunked -> readChunks()
            length != null -> readExactly(length.toIntOrNull() ?: throw MalformedMessageException("length \"$length\""))
            mayEndWithConnection -> input.readAllBytes()
            else -> ByteArray(0)
        }
    }

    private fun readChunks(): ByteArray {
        val body = ByteArrayOutputStream()
        while (true) {
            val line = readLine()
            val size = line.toIntOrNull(radix = 16) ?: throw MalformedMessageException("chunk size \"${line.take(EXCERPT_CHARS)}\"")
            body.write(readExactly(size))
            if (readLine().isNotEmpty()) throw MalformedMessageException("no line end after a chunk")
            if (size == 0) return body.toByteArray()
        }
    }

    private fun readExactly(size: Int): ByteArray = input.readNBytes(size).also { if (it.size < size) throw EOFException() }

    private fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) throw EOFException()
            if (byte == '\n'.code) return takeLine(line)
            line.append(byte.toChar())
            if (line.length > MAX_LINE_CHARS) throw MalformedMessageException("a line without end")
        }
    }

    private fun takeLine(line: StringBuilder): String {
        if (!line.endsWith('\r')) throw MalformedMessageException("line \"${line.take(EXCERPT_CHARS)}\" ends without a carriage return")
        return line.dropLast(1).toString()
    }
}

private val headerLine = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[ \t]*[\\x20-\\x7e\t]*")
private val singleHeaders = setOf("content-length", "transfer-encoding", "request-id", "response-seal", "not-run")
private const val EXCERPT_CHARS = 80
private const val MAX_LINE_CHARS = 16_384

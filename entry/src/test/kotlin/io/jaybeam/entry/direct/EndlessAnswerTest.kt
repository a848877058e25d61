/*
 * A target that sends bytes that are no answer, without end, must not fill the memory of the entry, on which all its callers depend.
 */
package io.jaybeam.entry.direct

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

// An entry may buffer this much of one answer, with what the sockets of both ends hold.
private const val MAX_BYTES_TAKEN = 16L * 1_024 * 1_024
private const val BLOCK_BYTES = 65_536

internal class EndlessAnswerTest : EntryFixture() {
    private val bytesTaken = AtomicLong()

    /** Sends [head] and then [block] again and again until the entry closes the connection. */
    private fun endlessTarget(head: String, block: String) =
        scriptedTarget { _, out ->
            out.write(head.encodeToByteArray())
            sendEndlessly(out, block.repeat(BLOCK_BYTES / block.length).encodeToByteArray())
        }

    private fun sendEndlessly(out: OutputStream, block: ByteArray) {
        try {
            while (true) {
                out.write(block)
                bytesTaken.addAndGet(block.size.toLong())
            }
        } catch (e: IOException) {
            // The entry has closed the connection.
        }
    }

    private fun assertNotKept(path: String, head: String, block: String) {
        val target = endlessTarget(head, block)
        val port = startEntry(target)
        val answer = connectCaller(port).call("POST", path)
        assertTrue(bytesTaken.get() < MAX_BYTES_TAKEN, "the entry took ${bytesTaken.get()} bytes")
        if (answer.status == 200) assertTrue(!answer.isComplete, "the answer passes for a complete one")
        assertNotEquals(503, answer.status, "the request may have run")
    }

    @Test
    fun `a line of the head without end`() = assertNotKept("/once/x", "HTTP/1.1 200 OK\r\nX: ", "x")

    @Test
    fun `a head with lines without end`() = assertNotKept("/once/x", "HTTP/1.1 200 OK\r\n", "X: y\r\n")

    @Test
    fun `bytes without a line end in place of a head`() = assertNotKept("/once/x", "", "x")

    @Test
    fun `interim answers without end`() = assertNotKept("/once/x", "", "HTTP/1.1 100 Continue\r\n\r\n")

    @Test
    fun `an event without end`() = assertNotKept("/stream/x", CHUNKED_STREAM, "10\r\ndata: 0123456789\r\n")

    @Test
    fun `the size of a chunk without end in a stream`() = assertNotKept("/stream/x", "${CHUNKED_STREAM}5;", "x")

    @Test
    fun `the size of a chunk without end in an answer`() = assertNotKept("/once/x", "${CHUNKED_ANSWER}5;", "x")

    @Test
    fun `the line after a chunk without end in an answer`() = assertNotKept("/once/x", "${CHUNKED_ANSWER}5\r\nabcde", "x")

    private companion object {
        const val CHUNKED_STREAM =
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        const val CHUNKED_ANSWER = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    }
}

/*
 * A server that sends without end must not fill the memory of a client that decodes whole answers.
 */
package io.jaybeam.runtime.http

import okhttp3.Request
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

private const val MAX_BODY_BYTES = 100_000L
private const val BLOCK_BYTES = 65_536

internal class BoundedAnswersTest {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    private val client = singleAttemptClient(HttpTimeouts(callMillis = 5_000), maxBodyBytes = MAX_BODY_BYTES)

    @AfterTest
    fun close() = server.close()

    /** Answers the next request with [start], and then with [block] until the client closes the connection, if that is not empty. */
    private fun answerWith(start: String, block: String = "") {
        thread(isDaemon = true) {
            server.accept().use { socket ->
                val input = socket.getInputStream().bufferedReader()
                while (input.readLine().isNotEmpty()) Unit
                val out = socket.getOutputStream()
                out.write(start.encodeToByteArray())
                val bytes = block.repeat(if (block.isEmpty()) 0 else BLOCK_BYTES / block.length).encodeToByteArray()
                try {
                    while (bytes.isNotEmpty()) out.write(bytes)
                } catch (e: IOException) {
                    // The client has closed the connection.
                }
            }
        }
    }

    private fun readBody(): String {
        val request = Request.Builder().url("http://127.0.0.1:${server.localPort}/").build()
        return client.newCall(request).execute().use { it.body.string() }
    }

    @Test
    fun `a body of the largest size is read`() {
        val text = "x".repeat(MAX_BODY_BYTES.toInt())
        answerWith("HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n$text")
        assertEquals(text, readBody())
    }

    @Test
    fun `a body without end fails`() {
        answerWith("HTTP/1.1 200 OK\r\n\r\n", "x")
        assertFailsWith<AnswerTooLargeException> { readBody() }
    }

    @Test
    fun `the size of a chunk without end fails`() {
        answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x")
        assertFailsWith<AnswerTooLargeException> { readBody() }
    }

    @Test
    fun `a body in chunks of one byte is read`() {
        answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(90_000) + "0\r\n\r\n")
        assertEquals(90_000, readBody().length)
    }
}

package io.jaybeam.runtime.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Answers to a GET request, each complete. */
private val answers =
    listOf(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\ncontent-length:0\n\n",
        "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nContent-Length: 3\r\n\r\n" +
            "2;a=b\r\n\r\n\r\nA\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nX-Long: ${"y".repeat(5_000)}\r\nContent-Length: 2\r\n\r\nab",
    )

internal class AnswerScannerTest {
    private val scanner = AnswerScanner()

    private fun add(text: String) {
        val bytes = "..$text".encodeToByteArray()
        scanner.add(bytes, 2, bytes.size - 2)
    }

    @Test
    fun `an answer has ended after its last byte and not before`() {
        for (answer in answers) {
            for (cut in 0 until answer.length) {
                scanner.onRequestStart(isHead = false)
                add(answer.take(cut))
                assertFalse(scanner.isBetweenAnswers, "after $cut bytes of $answer")
                add(answer.drop(cut))
                assertTrue(scanner.isBetweenAnswers, answer)
            }
        }
    }

    @Test
    fun `an answer that comes byte by byte ends where it ends in one piece`() {
        for (answer in answers) {
            scanner.onRequestStart(isHead = false)
            answer.forEach { add("$it") }
            assertTrue(scanner.isBetweenAnswers, answer)
        }
    }

    @Test
    fun `any byte behind an answer belongs to none`() {
        for (answer in answers) {
            val behind = AnswerScanner()
            behind.onRequestStart(isHead = false)
            val bytes = "$answer\n".encodeToByteArray()
            behind.add(bytes, 0, bytes.size)
            assertFalse(behind.isBetweenAnswers, answer)
        }
    }

    @Test
    fun `bytes before the first request belong to no answer`() {
        add("HTTP/1.1 408 Request Timeout\r\n\r\n")
        assertFalse(scanner.isBetweenAnswers)
    }

    @Test
    fun `the answer to a HEAD request has no body`() {
        scanner.onRequestStart(isHead = true)
        add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        assertTrue(scanner.isBetweenAnswers)
    }

    @Test
    fun `an answer that ends with its connection or cannot be followed does not end before`() {
        val endless =
            listOf(
                "HTTP/1.1 200 OK\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\nx",
                "SSH-2.0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
            )
        val ends =
            endless.map { text ->
                scanner.onRequestStart(isHead = false)
                add(text)
                scanner.isBetweenAnswers
            }
        assertEquals(endless.map { false }, ends)
    }

    @Test
    fun `an answer that begins within the body of another is a fault in however many pieces it comes`() {
        val bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhHTTP/1.1 500 Oops\r\n\r\n"
        for (pieceLength in listOf(1, 2, 7, bytes.length)) {
            val joined = AnswerScanner()
            joined.onRequestStart(isHead = false)
            bytes.chunked(pieceLength).forEach { joined.add(it.encodeToByteArray(), 0, it.length) }
            assertEquals("another answer begins within the body", joined.fault, "pieces of $pieceLength")
        }
    }

    @Test
    fun `an answer that begins within the size of a chunk is a fault`() {
        scanner.onRequestStart(isHead = false)
        add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9;x=HTTP/1.1 500 Oops\r\n")
        assertEquals("another answer begins within the size of a chunk", scanner.fault)
    }

    @Test
    fun `an answer behind a body that ends like the beginning of a status line is none of its bytes`() {
        scanner.onRequestStart(isHead = false)
        add("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nHHTTP/1.1 500 Oops\r\n\r\n")
        assertEquals(null, scanner.fault)
    }

    @Test
    fun `a status line whose status is none is a fault`() {
        val invalid =
            listOf(
                "HTTP/1.1 000 OK",
                "HTTP/1.1 99 Odd",
                "HTTP/1.1 600 Odd",
                "HTTP/1.1 -20 Odd",
                "HTTP/1.1 2000 OK",
                "ICY 200 OK",
                "",
                "HTTP/1.1",
            )
        for (text in invalid) {
            val scanner = AnswerScanner()
            scanner.onRequestStart(isHead = false)
            "$text\r\n".encodeToByteArray().let { scanner.add(it, 0, it.size) }
            assertEquals("\"$text\" is no status line", scanner.fault)
        }
    }
}

/*
 * An answer that was broken off must not look complete to its caller, however the answer is framed.
 */
package io.jaybeam.entry.direct

import java.io.OutputStream
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val FIRST_EVENT = "id: 0\ndata: a\n\n"

internal class TruncatedAnswerTest : EntryFixture() {
    private val interrupted = { request: ReceivedRequest, out: OutputStream ->
        out.startStream(request, seal = "s")
        if (request.headers["last-event-id"] == null) out.writeChunk(FIRST_EVENT)
        request.socket.close()
    }

    @Test
    fun `a stream that broke off does not look complete to a caller that asks for the connection to be closed`() {
        val caller = connectCaller(startEntry(scriptedTarget(interrupted), scriptedTarget(interrupted)))
        caller.send("POST", "/stream/x", headers = listOf("Connection: close"))
        assertFalse(caller.read().isComplete)
    }

    @Test
    fun `a stream that broke off does not look complete to an HTTP 1_0 caller`() {
        val caller = connectCaller(startEntry(scriptedTarget(interrupted), scriptedTarget(interrupted)))
        caller.send("POST", "/stream/x", version = "HTTP/1.0")
        assertFalse(caller.read().isComplete)
    }

    @Test
    fun `a complete stream looks complete to an HTTP 1_0 caller`() {
        val streaming =
            scriptedTarget { request, out ->
                out.startStream(request, seal = "s")
                out.writeChunk(FIRST_EVENT)
                out.write("0\r\n\r\n".encodeToByteArray())
            }
        val caller = connectCaller(startEntry(streaming))
        caller.send("POST", "/stream/x", version = "HTTP/1.0")
        val answer = caller.read()
        assertTrue(answer.isComplete)
        assertEquals(FIRST_EVENT, answer.body)
    }

    @Test
    fun `a stream that broke off while the entry stops does not look complete`() {
        val port = startEntry(scriptedTarget(interrupted), scriptedTarget(interrupted), graceMillis = 4_000)
        val caller = connectCaller(port)
        val stopThread = thread { entries.single().stop() }
        Thread.sleep(100)
        val answer = caller.call("POST", "/stream/x")
        assertTrue("Connection: close" in answer.headers)
        assertFalse(answer.isComplete)
        stopThread.join()
    }

    @Test
    fun `a stream that is still running when the entry closes its connections does not look complete`() {
        val endless =
            scriptedTarget { request, out ->
                out.startStream(request, seal = "s")
                out.writeChunk(FIRST_EVENT)
                request.awaitClose(5_000)
            }
        val caller = connectCaller(startEntry(endless, graceMillis = 1_200))
        caller.send("POST", "/stream/x")
        while (endless.requests.isEmpty()) Thread.sleep(5)
        val stopThread = thread { entries.single().stop() }
        val answer = caller.read()
        assertEquals(200, answer.status)
        assertFalse(answer.isComplete)
        stopThread.join()
    }

    @Test
    fun `a long answer that broke off does not look complete to a caller that asks for the connection to be closed`() {
        val broken =
            scriptedTarget { request, out ->
                out.startStream(request, seal = "s")
                out.writeChunk("x".repeat(100_000))
                request.socket.close()
            }
        val caller = connectCaller(startEntry(broken))
        caller.send("GET", "/safe/x", headers = listOf("Connection: close"))
        assertFalse(caller.read().isComplete)
    }

    @Test
    fun `a caller that ends only its sending side does not receive a truncated answer that looks complete`() {
        val slow =
            scriptedTarget { request, out ->
                out.startStream(request, seal = "s")
                out.writeChunk(FIRST_EVENT)
                Thread.sleep(300)
                out.writeChunk("id: 1\ndata: b\n\n")
                out.write("0\r\n\r\n".encodeToByteArray())
            }
        val caller = connectCaller(startEntry(slow))
        caller.send("POST", "/stream/x")
        Thread.sleep(100)
        caller.socket.shutdownOutput()
        val answer = caller.read()
        assertTrue(answer.body.endsWith("data: b\n\n") || !answer.isComplete, "complete with ${answer.body}")
    }

    @Test
    fun `a resumed stream whose first target stated a length is relayed whole`() {
        val streaming = { request: ReceivedRequest, out: OutputStream ->
            val rest = "id: 1\nweight-versions: 2\ndata: b\n\n"
            if (request.headers["last-event-id"] == null) {
                val length = FIRST_EVENT.length + "id: 1\ndata: b\n\n".length
                out.write(
                    (
                        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n" +
                            "Content-Length: $length\r\n\r\n$FIRST_EVENT"
                    ).encodeToByteArray(),
                )
                out.flush()
                request.socket.close()
            } else {
                out.startStream(request, seal = "t")
                out.writeChunk(rest)
                out.write("0\r\n\r\n".encodeToByteArray())
            }
        }
        val answer = connectCaller(startEntry(scriptedTarget(streaming), scriptedTarget(streaming))).call("POST", "/stream/x")
        assertTrue(answer.isComplete)
        assertEquals(FIRST_EVENT + "id: 1\nweight-versions: 2\ndata: b\n\n", answer.body)
    }

    @Test
    fun `a chunked answer that also states a length is not cut to that length`() {
        val ambiguous =
            scriptedTarget { request, out ->
                val head =
                    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n" +
                        "Content-Length: 81920\r\nTransfer-Encoding: chunked\r\n\r\n"
                out.write(head.encodeToByteArray())
                repeat(20) { out.writeChunk("x".repeat(8_192)) }
                out.write("0\r\n\r\n".encodeToByteArray())
                request.awaitClose(2_000)
            }
        val answer = connectCaller(startEntry(ambiguous)).call("GET", "/safe/x")
        assertTrue(answer.body.length == 163_840 || !answer.isComplete, "complete with ${answer.body.length} bytes")
    }

    @Test
    fun `an answer with an interim status is not relayed`() {
        val switching =
            scriptedTarget { request, out ->
                val head = "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: r1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
                out.write(head.encodeToByteArray())
                out.flush()
                request.awaitClose(2_000)
            }
        assertEquals(502, connectCaller(startEntry(switching)).call("POST", "/once/x").status)
    }
}

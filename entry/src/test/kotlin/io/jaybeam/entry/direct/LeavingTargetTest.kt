/*
 * A target that says in an answer that it leaves gets no other request, whatever the store lists.
 */
package io.jaybeam.entry.direct

import java.io.OutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val CALLS = 20
private const val LEAVING = "Server-Leaving: 1"
private const val SEAL = "Response-Seal: s"

internal class LeavingTargetTest : EntryFixture() {
    private val staying = { request: ReceivedRequest, out: OutputStream -> out.answer(request, "200 OK", "stays", SEAL) }

    /** Sends requests until the leaving target has answered one with [answer], and others after it; returns how many reached it. */
    private fun requestsAfter(method: String = "GET", path: String = "/safe/x", answer: (ReceivedRequest, OutputStream) -> Unit): Int {
        val leaving = scriptedTarget(answer)
        val entry = startEntry(leaving, scriptedTarget(staying))
        while (leaving.requests.isEmpty()) send(entry, method, path)
        repeat(CALLS) { send(entry, method, path) }
        return leaving.requests.size - 1
    }

    private fun send(entry: Int, method: String, path: String) {
        val caller = connectCaller(entry)
        caller.send(method, path)
        if (method == "HEAD") caller.readHead() else caller.read()
    }

    @Test
    fun `a target that leaves gets no request after a complete answer`() =
        assertEquals(0, requestsAfter { request, out -> out.answer(request, "200 OK", "leaves", SEAL, LEAVING) })

    @Test
    fun `a target that leaves gets no request after an answer without a body`() =
        assertEquals(0, requestsAfter("HEAD") { request, out -> out.answer(request, "200 OK", "", SEAL, LEAVING) })

    @Test
    fun `a target that leaves gets no request after it has turned one away`() =
        assertEquals(0, requestsAfter { request, out -> out.answer(request, "503 Service Unavailable", "", "Not-Run: 1", LEAVING) })

    @Test
    fun `a target that leaves gets no request after a misdirected one`() =
        assertEquals(0, requestsAfter { request, out -> out.answer(request, "421 Misdirected Request", "", LEAVING) })

    @Test
    fun `a target that leaves gets no request after a failure`() =
        assertEquals(0, requestsAfter { request, out -> out.answer(request, "500 Internal Server Error", "", SEAL, LEAVING) })

    @Test
    fun `a target that leaves gets no request after it has begun a stream`() =
        assertEquals(
            0,
            requestsAfter("POST", "/stream/x") { request, out ->
                val head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n$SEAL\r\n$LEAVING\r\nTransfer-Encoding: chunked\r\n\r\n"
                out.write(head.encodeToByteArray())
                out.writeChunk("id: 0\ndata: a\n\n")
                out.write("0\r\n\r\n".encodeToByteArray())
            },
        )

    @Test
    fun `a target that leaves gets no retry of a request that another one lost`() {
        val leaving = scriptedTarget { request, out -> out.answer(request, "200 OK", "leaves", SEAL, LEAVING) }
        val failing = scriptedTarget { request, out -> out.answer(request, "500 Internal Server Error", "", SEAL) }
        val entry = startEntry(leaving, failing)
        while (leaving.requests.isEmpty()) send(entry, "GET", "/safe/x")
        repeat(CALLS) { send(entry, "GET", "/safe/x") }
        assertEquals(1, leaving.requests.size)
    }

    @Test
    fun `an interrupted stream is not resumed at a target that leaves`() {
        val leaving = scriptedTarget { request, out -> out.answer(request, "200 OK", "leaves", SEAL, LEAVING) }
        val interrupted =
            scriptedTarget { request, out ->
                out.startStream(request, seal = "s")
                out.writeChunk("id: 0\ndata: a\n\n")
                request.socket.close()
            }
        val entry = startEntry(leaving, interrupted)
        while (leaving.requests.isEmpty()) send(entry, "GET", "/safe/x")
        assertFalse(connectCaller(entry).call("POST", "/stream/x").isComplete)
        assertEquals(1, leaving.requests.size)
    }

    @Test
    fun `a request is refused immediately when all targets leave`() {
        val leaving = scriptedTarget { request, out -> out.answer(request, "200 OK", "leaves", SEAL, LEAVING) }
        val entry = startEntry(leaving)
        assertEquals(200, connectCaller(entry).call("POST", "/once/x").status)
        val startedNanos = System.nanoTime()
        val answer = connectCaller(entry).call("POST", "/stream/x")
        assertEquals(503, answer.status)
        assertTrue((System.nanoTime() - startedNanos) / NANOS_PER_MILLI < ROUTE_TIMEOUT_MILLIS / 2)
        assertEquals(1, leaving.requests.size)
    }
}

/*
 * An answer on a kept connection may belong to an earlier request. It must not be taken for the answer to the current one.
 */
package io.jaybeam.entry.direct

import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotSame
import kotlin.test.assertSame
import kotlin.test.assertTrue

internal class ForeignAnswerTest : EntryFixture() {
    /** A target that answers its first request properly and all later ones with [head]. */
    private fun targetWithLaterAnswer(vararg head: String): ScriptedTarget {
        var isFirst = true
        return scriptedTarget { request, out ->
            if (isFirst) out.answer(request, "200 OK", "hold", "Response-Seal: s") else out.writeAnswer(*head)
            isFirst = false
        }
    }

    private fun OutputStream.writeAnswer(vararg head: String) {
        write((head.toList() + "Content-Length: 0").joinToString("\r\n", postfix = "\r\n\r\n").encodeToByteArray())
        flush()
    }

    private fun assertSecondCallFails(target: ScriptedTarget) {
        val port = startEntry(target)
        assertEquals(200, connectCaller(port).call("POST", "/once/x", requestId = "r1").status)
        assertEquals(502, connectCaller(port).call("POST", "/once/x", requestId = "r2").status)
        assertSame(target.requests[0].socket, target.requests[1].socket)
        assertTrue(target.awaitEnd(target.requests[1].socket, 300), "the connection must not be reused")
    }

    @Test
    fun `a refusal without an id on a kept connection does not prove that the request did not run`() =
        assertSecondCallFails(targetWithLaterAnswer("HTTP/1.1 503 Service Unavailable", "Not-Run: 1"))

    @Test
    fun `a 421 without an id on a kept connection does not prove that the request did not run`() =
        assertSecondCallFails(targetWithLaterAnswer("HTTP/1.1 421 Misdirected Request"))

    @Test
    fun `a refusal of another request does not prove that the request did not run`() =
        assertSecondCallFails(targetWithLaterAnswer("HTTP/1.1 503 Service Unavailable", "Not-Run: 1", "Request-Id: r1"))

    @Test
    fun `a success without an id on a kept connection is not relayed`() =
        assertSecondCallFails(targetWithLaterAnswer("HTTP/1.1 200 OK", "Response-Seal: s"))

    @Test
    fun `a refusal without an id as the first answer on a connection belongs to its request`() {
        val refusing = scriptedTarget { _, out -> out.writeAnswer("HTTP/1.1 503 Service Unavailable", "Not-Run: 1") }
        assertEquals(503, connectCaller(startEntry(refusing)).call("POST", "/once/x").status)
    }

    @Test
    fun `an answer with an id does not belong to a request without one`() {
        val mismatched = scriptedTarget { _, out -> out.writeAnswer("HTTP/1.1 200 OK", "Response-Seal: s", "Request-Id: r0") }
        assertEquals(502, connectCaller(startEntry(mismatched)).call("POST", "/once/x", requestId = null).status)
    }

    @Test
    fun `a request without an id is sent over a connection of its own`() {
        val target = scriptedTarget { _, out -> out.writeAnswer("HTTP/1.1 200 OK", "Response-Seal: s") }
        val port = startEntry(target)
        repeat(2) { assertEquals(200, connectCaller(port).call("POST", "/once/x", requestId = null).status) }
        assertNotSame(target.requests[0].socket, target.requests[1].socket)
    }

    @Test
    fun `a request is sent over a new connection if the kept one has bytes that belong to no request`() {
        for ((method, path) in listOf("POST" to "/once/x", "GET" to "/safe/x")) {
            val target =
                scriptedTarget { request, out ->
                    out.answer(request, "200 OK", "hold", "Response-Seal: s")
                    thread {
                        Thread.sleep(50)
                        out.answer(request, "503 Service Unavailable", "", "Not-Run: 1")
                    }
                }
            val port = startEntry(target)
            assertEquals(200, connectCaller(port).call(method, path, requestId = "r1").status)
            Thread.sleep(150)
            assertEquals(200, connectCaller(port).call(method, path, requestId = "r2").status, method)
            assertEquals(listOf("r1", "r2"), target.requests.map { it.headers["request-id"] })
            assertTrue(target.requests[0].awaitClose(300), "the connection must not be reused")
        }
    }

    // Guards against taking the answer to an earlier sending of a request, which has the same id, for that to a later one.
    @Test
    fun `a second copy of the refusal of a request is not taken for the answer when the request is sent again`() {
        val refusedSockets = CopyOnWriteArrayList<Socket>()
        val runCount = AtomicInteger()
        val restarted =
            scriptedTarget { request, out ->
                if (request.headers["expect-instance"] == "t0") {
                    out.answer(request, "421 Misdirected Request", "")
                    refusedSockets += request.socket
                } else {
                    if (request.socket in refusedSockets) out.answer(request, "421 Misdirected Request", "")
                    runCount.incrementAndGet()
                    out.answer(request, "200 OK", "done", "Response-Seal: s")
                }
            }
        val port = startEntry(restarted)
        thread(isDaemon = true) {
            Thread.sleep(150)
            announce("new", "plain", restarted.port)
        }
        val answer = connectCaller(port).call("POST", "/long/once/x")
        assertEquals(200 to 1, answer.status to runCount.get())
    }

    @Test
    fun `a request that is sent to a target again is sent over another connection`() {
        val target = scriptedTarget { request, out -> out.answer(request, "200 OK", "done", "Response-Seal: s") }
        val port = startEntry(target)
        for (id in listOf("r1", "r2", "r1")) assertEquals(200, connectCaller(port).call("POST", "/once/x", requestId = id).status)
        val sockets = target.requests.map { it.socket }
        assertSame(sockets[0], sockets[1])
        assertNotSame(sockets[0], sockets[2])
    }

    @Test
    fun `a status that promises that a request did not run is relayed only if the target states so`() {
        for (status in listOf("408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable")) {
            val failing = scriptedTarget { request, out -> out.answer(request, status, "no", "Response-Seal: s") }
            val answer = connectCaller(startEntry(failing)).call("POST", "/once/x")
            assertEquals(502, answer.status, status)
            assertFalse(answer.headers.any { it.startsWith("Response-Seal") })
        }
    }
}

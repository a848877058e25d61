/*
 * A target in trouble may send a status that is none. Callers never get it as an answer.
 */
package io.jaybeam.entry.direct

import kotlin.test.Test
import kotlin.test.assertEquals

private const val LENGTH = "Content-Length: 4\r\n"
private const val CHUNKS = "Transfer-Encoding: chunked\r\n"

internal class InvalidStatusTest : EntryFixture() {
    private val statusLines =
        listOf("HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 099 Odd", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 600 Odd") +
            listOf("HTTP/1.1 999 Odd", "HTTP/1.1 \u0662\u0660\u0660 OK", "ICY 200 OK", "ICY 000 OK")

    /** The bodies of answers, by what the last part of a request's path asks for: a framing, or the end of the connection. */
    private val bodies = mapOf("length" to "${LENGTH}\r\nbody", "chunks" to "${CHUNKS}\r\n4\r\nbody\r\n0\r\n\r\n", "close" to "\r\nbody")

    private fun targetWith(statusLine: String) =
        scriptedTarget { request, out ->
            val kind = bodies.keys.single { "/$it " in request.requestLine }
            val head = "$statusLine\r\nRequest-Id: ${request.headers["request-id"]}\r\nResponse-Seal: s\r\n"
            out.write((head + bodies.getValue(kind)).encodeToByteArray())
            out.flush()
            if (kind == "close") request.socket.close()
        }

    // Guards against the relay of an answer whose status is none, and against a failure of the entry itself by one.
    @Test
    fun `an answer with an invalid status is of unknown outcome`() {
        val received =
            statusLines.flatMap { statusLine ->
                val port = startEntry(targetWith(statusLine))
                val routes = listOf("POST" to "/once", "GET" to "/safe", "POST" to "/stream")
                routes.flatMap { (method, prefix) ->
                    bodies.keys.mapIndexed { index, kind ->
                        val answer = connectCaller(port).call(method, "$prefix/$kind", requestId = "$prefix$index")
                        val isSealed = answer.headers.any { it.startsWith("Response-Seal") }
                        "$statusLine, $prefix, $kind: ${answer.status}${if (isSealed) ", sealed" else ""}"
                    }
                }
            }
        assertEquals(emptyList(), received.filterNot { it.endsWith(": 502") })
    }

    @Test
    fun `a request that may be repeated is answered by another target than the one with an invalid status`() {
        val sound = scriptedTarget { request, out -> out.answer(request, "200 OK", "done", "Response-Seal: s") }
        val statuses =
            statusLines.associateWith { statusLine ->
                val port = startEntry(targetWith(statusLine), sound)
                List(4) { connectCaller(port).call("GET", "/safe/length", requestId = "r$it").status }
            }
        assertEquals(statusLines.associateWith { listOf(200, 200, 200, 200) }, statuses)
    }
}

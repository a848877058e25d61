/*
 * The answer to HEAD has the headers of the answer to GET and no body.
 */
package io.jaybeam.entry.direct

import kotlin.test.Test
import kotlin.test.assertEquals

internal class HeadAnswerTest : EntryFixture() {
    /** Returns the answers to HEAD and to a POST that follows on the same connection; the target answers HEAD with [framing]. */
    private fun answersTo(path: String, framing: String): List<CallerAnswer> {
        val target =
            scriptedTarget { request, out ->
                if (!request.requestLine.startsWith("HEAD")) return@scriptedTarget out.answer(request, "200 OK", "body", "Response-Seal: s")
                val head = listOf("HTTP/1.1 200 OK", "Request-Id: ${request.headers["request-id"]}", "Response-Seal: s", framing)
                out.write((head.joinToString("\r\n") + "\r\n\r\n").encodeToByteArray())
                out.flush()
            }
        val caller = connectCaller(startEntry(target))
        caller.send("HEAD", path)
        return listOf(caller.readHead(), caller.call("POST", "/once/x"))
    }

    @Test
    fun `the answer to HEAD states the length that the target states`() {
        val (head, next) = answersTo("/safe/x", "Content-Length: 123456")
        assertEquals(200, head.status)
        assertEquals(listOf("Content-Length: 123456"), head.headers.filter { it.startsWith("Content-Length:") })
        assertEquals("body", next.body)
    }

    @Test
    fun `the answer to HEAD states no length if the target states none`() {
        val (head, next) = answersTo("/safe/x", "Transfer-Encoding: chunked")
        assertEquals(200, head.status)
        assertEquals(emptyList(), head.headers.filter { it.startsWith("Content-Length:") })
        assertEquals("body", next.body)
    }

    @Test
    fun `the answer to HEAD on a route for streams is complete without an event`() {
        val (head, next) = answersTo("/stream/x", "Content-Type: text/event-stream")
        assertEquals(200, head.status)
        assertEquals("body", next.body)
    }
}

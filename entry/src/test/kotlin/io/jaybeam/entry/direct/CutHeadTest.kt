/*
 * A target that stops in the middle of the head of its answer and closes has not answered: its caller receives no success.
 */
package io.jaybeam.entry.direct

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val HEAD =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 52\r\nX-Last: value\r\n"

internal class CutHeadTest : EntryFixture() {
    private fun statusAfter(path: String, sent: String): Int {
        val cut = {
            scriptedTarget { request, out ->
                out.write(sent.encodeToByteArray())
                out.flush()
                request.socket.close()
            }
        }
        return connectCaller(startEntry(cut(), cut())).call("POST", path).status
    }

    @Test
    fun `a head that is cut at any byte yields no success`() {
        val lengths =
            listOf(0, 5, 12, 14, 17) + HEAD.indices.filter { HEAD.substring(0, it).endsWith("\r\n") } + (HEAD.length - 10..HEAD.length)
        lengths.distinct().forEach { length ->
            val statuses = listOf("/once/x", "/stream/x").map { statusAfter(it, HEAD.take(length)) }
            assertTrue(statuses.all { it >= 500 }, "cut after $length bytes: $statuses")
        }
    }

    @Test
    fun `a head that is cut in the middle of its length does not yield a short answer`() {
        val cut = HEAD.substringBefore("2\r\nX-Last")
        assertEquals(502, statusAfter("/once/x", cut))
        assertEquals(502, statusAfter("/once/x", "$cut\r\n"))
    }

    @Test
    fun `a head without a length that is cut is not taken for an answer that ends with its connection`() {
        val head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
        assertEquals(listOf(502, 502), listOf(head, head + "Content-Le").map { statusAfter("/once/x", it) })
    }
}

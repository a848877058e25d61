/*
 * A request that the HTTP client cannot send unchanged is refused with a status that tells the caller not to repeat it.
 */
package io.jaybeam.entry.direct

import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals

internal class UnsendableRequestTest : EntryFixture() {
    private val noteValues = CopyOnWriteArrayList<String?>()

    private fun startTarget() =
        scriptedTarget { request, out ->
            noteValues += request.headers["note"]
            out.answer(request, "200 OK", "", "Response-Seal: s")
        }

    /** Returns the status for a request whose header `Note` has [value], sent as the bytes of its characters up to U+00FF. */
    private fun statusFor(port: Int, value: String): Int {
        val caller = connectCaller(port)
        val head = "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n"
        caller.socket.getOutputStream().write((head + "Note: $value\r\n\r\n").toByteArray(Charsets.ISO_8859_1))
        return caller.read().status
    }

    @Test
    fun `a header value in UTF-8 reaches the target byte for byte`() {
        val port = startEntry(startTarget())
        // The target reads each byte as one character.
        val value = "caf\u00e9 \u6f22\ud83d\ude00".encodeToByteArray().toString(Charsets.ISO_8859_1)
        assertEquals(200, statusFor(port, value))
        assertEquals(listOf<String?>(value), noteValues)
    }

    @Test
    fun `a request id in UTF-8 is recognised in the answer`() {
        val target =
            scriptedTarget { request, out ->
                val id = "Request-Id: ${request.headers["request-id"]}"
                val head = listOf("HTTP/1.1 200 OK", id, "Response-Seal: s", "Content-Length: 0")
                out.write((head.joinToString("\r\n") + "\r\n\r\n").toByteArray(Charsets.ISO_8859_1))
                out.flush()
            }
        assertEquals(200, connectCaller(startEntry(target)).call("POST", "/once/x", requestId = "caf\u00e9").status)
    }

    @Test
    fun `a header value that is not UTF-8 is refused as malformed`() {
        val target = startTarget()
        assertEquals(400, statusFor(startEntry(target), "caf\u00e9"))
        assertEquals(0, target.requests.size)
    }

    @Test
    fun `a GET or HEAD request with a body is refused as malformed`() {
        val target = startTarget()
        val port = startEntry(target)
        assertEquals(400, connectCaller(port).call("GET", "/safe/x", body = "a body").status)
        connectCaller(port).let { caller ->
            caller.send("HEAD", "/safe/x", body = "a body")
            assertEquals(400, caller.readHead().status)
        }
        assertEquals(0, target.requests.size)
    }
}

package io.jaybeam.scenarios

import io.cucumber.datatable.DataTable
import io.cucumber.java.en.Then
import java.net.InetAddress
import java.net.Socket
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private const val OVERSIZE_BODY_BYTES = 2_000_000
private const val READ_TIMEOUT_MILLIS = 3_000

/** Steps that send malformed and oversize input. */
internal class BadInputSteps {
    private val caller = Caller()

    @Then("these requests to entry {int} are refused as not run")
    fun assertRefused(entry: Int, table: DataTable) {
        table.asMaps().forEach { row ->
            val body = row.getValue("body").let { if (it == "2 MB") "x".repeat(OVERSIZE_BODY_BYTES) else it }
            val options = CallOptions(organisation = row["organisation"].orEmpty())
            val reply = assertIs<Reply.Refused>(caller.post(Site.entry(entry).url + row.getValue("path"), body, options), "$row")
            assertEquals(row.getValue("status").toInt(), reply.status, reply.body)
            assertEquals("not run", reply.outcome)
            assertTrue(row.getValue("detail") in reply.body, reply.body)
            assertTrue("\"remedy\":\"" in reply.body, reply.body)
        }
    }

    @Then("garbage, an oversize header and half a request on raw connections to entry {int} harm nobody")
    fun assertRawGarbageHarmless(entry: Int) {
        val port = Site.entry(entry).callerPort
        assertTrue(" 400 " in statusLineOf(port, "GARBAGE \u0001\u0002\r\n\r\n"))
        assertTrue(" 431 " in statusLineOf(port, "GET / HTTP/1.1\r\nHost: x\r\nX-Big: ${"y".repeat(100_000)}\r\n\r\n"))
        Socket(InetAddress.getLoopbackAddress(), port).use { it.getOutputStream().write("POST /v1/chat".encodeToByteArray()) }
        assertServed(entry)
    }

    @Then("garbage on the link port of {string} harms nobody")
    fun assertLinkGarbageHarmless(instance: String) {
        repeat(20) {
            Socket(InetAddress.getLoopbackAddress(), Site.target(instance).linkPort).use { socket ->
                socket.getOutputStream().write(byteArrayOf(0, 0, 0, 9) + ByteArray(9) { (it * 37).toByte() })
            }
        }
        assertServed(1)
    }

    private fun assertServed(entry: Int) {
        assertIs<Reply.Whole>(caller.chat(Site.entry(entry).url, "still there", 3))
    }

    private fun statusLineOf(port: Int, text: String): String =
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            socket.getOutputStream().write(text.encodeToByteArray())
            socket.getInputStream().readNBytes(STATUS_LINE_BYTES).decodeToString()
        }
}

private const val STATUS_LINE_BYTES = 16

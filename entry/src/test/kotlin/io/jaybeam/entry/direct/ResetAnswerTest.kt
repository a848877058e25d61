/*
 * An answer that has neither a length nor chunks is complete if its connection ends regularly, and incomplete if it is reset.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.Route
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.fleet.WeightedService
import io.jaybeam.entry.answer.AnswerFraming
import io.jaybeam.platform.CallerRequest
import io.jaybeam.platform.Header
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

private const val FIRST_PART = "the first part"

// Larger than the buffers of a connection, so that the body is still being sent when the connection is reset.
private const val LARGE_BODY_BYTES = 33_554_432

internal class ResetAnswerTest {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))

    @AfterTest
    fun close() = server.close()

    @Test
    fun `an answer is complete when its connection ends regularly`() {
        answerAndThen { it.close() }
        assertEquals(FIRST_PART, readAnswer(bodyBytes = 0))
    }

    @Test
    fun `an answer is not complete when its connection is reset`() {
        answerAndThen(::reset)
        assertNotEquals(FIRST_PART, readAnswer(bodyBytes = 0))
    }

    @Test
    fun `an answer is not complete when the reset ended the sending of the request first`() {
        answerAndThen(::reset)
        assertNotEquals(FIRST_PART, readAnswer(LARGE_BODY_BYTES))
    }

    private fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Answers the next request without reading its body, and calls [end] a moment later. */
    private fun answerAndThen(end: (Socket) -> Unit) {
        thread(isDaemon = true) {
            val socket = server.accept()
            val lines = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1).lineSequence()
            lines.takeWhile { it.isNotEmpty() }.count()
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n\r\n$FIRST_PART".encodeToByteArray())
            Thread.sleep(200)
            end(socket)
        }
    }

    /** Sends a request with [bodyBytes] to the target; returns the body of its answer if it looks complete, or null. */
    private fun readAnswer(bodyBytes: Int): String? {
        val outcome = TargetSender().send(newCall(bodyBytes), newTarget(), lastEventId = null, response = UnusedResponse)
        val response = (outcome as? SendOutcome.Answered)?.response ?: return null
        return try {
            response.use { it.body.string() }
        } catch (e: IOException) {
            null
        }
    }

    private fun newTarget() =
        FleetTarget(
            "t0",
            "plain",
            "127.0.0.1",
            server.localPort,
            "north",
            8,
            isDraining = false,
            remainingColdStartMillis = 0,
            startedAtEpochMillis = 0,
        )

    private fun newCall(bodyBytes: Int) =
        DirectCall(
            method = "POST",
            pathAndQuery = "/x",
            headers = emptyList(),
            connectionHeader = null,
            body = ByteArray(bodyBytes).takeIf { it.isNotEmpty() },
            caller = CallerRequest("r1", null, null, null),
            route =
                Route("x", "x", "/", RouteKind.AT_MOST_ONCE, 5_000, 100, 1, listOf(WeightedService("plain", 1)), 1, true, false, 0),
            service = "plain",
            organisation = null,
            configVersion = 1,
            arrivedNanos = System.nanoTime(),
            deadlineNanos = System.nanoTime() + 5_000 * NANOS_PER_MILLI,
        )

    private object UnusedResponse : DirectResponse {
        override val isCallerGone = false
        override val isCommitted = false
        override val isRequestSent = false
        override val framing = AnswerFraming.CHUNKS

        override fun watch(onGone: () -> Unit) = Unit

        override fun onRequestSent() = Unit

        override fun sendHead(status: Int, headers: List<Header>) = error("not expected")

        override fun write(bytes: ByteArray, count: Int) = error("not expected")

        override fun complete() = error("not expected")

        override fun refuse(refusal: Refusal, retryAfterMillis: Long?) = error("not expected")
    }
}

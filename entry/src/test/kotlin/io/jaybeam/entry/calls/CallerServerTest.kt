package io.jaybeam.entry.calls

import io.jaybeam.core.config.Bundle
import io.jaybeam.core.config.ExpertPlacementLimits
import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.config.RequestLimits
import io.jaybeam.core.config.ServiceKind
import io.jaybeam.core.config.ServiceSpec
import io.jaybeam.core.config.SlowStartLimits
import io.jaybeam.core.config.TierClass
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class CallerServerTest {
    private val bundle =
        Bundle(
            "b",
            listOf(PriceTier("counter", TierClass.URGENT, 1_000, 1)),
            listOf(ServiceSpec("plain", ServiceKind.PLAIN)),
            listOf("pdx"),
            SlowStartLimits(1, 1, 0),
            ExpertPlacementLimits(1, 0, 0),
            RequestLimits(1, 0, 100),
        )

    private val failures = CopyOnWriteArrayList<Exception>()

    /** Returns all that a caller receives on its connection if [handle] serves its request. */
    private fun answerOf(handle: (Call, CallerResponse) -> CallResult): String {
        val server =
            CallerServer("127.0.0.1", 0, 16, 5_000, { bundle }, { _, _ -> null }, handle, { _, _ -> }, onFailure = { failures += it })
        try {
            Socket("127.0.0.1", server.port).use { socket ->
                socket.soTimeout = 2_000
                socket.getOutputStream().write(
                    "GET /services/plain/x HTTP/1.1\r\nHost: h\r\nJaybeam-Organisation: o\r\nConnection: close\r\n\r\n".encodeToByteArray(),
                )
                return socket.getInputStream().readAllBytes().decodeToString()
            }
        } finally {
            server.drain(0)
        }
    }

    private fun CallerResponse.sendPart() {
        sendHead(200, emptyList())
        sendChunk("a part".encodeToByteArray())
    }

    @Test
    fun `a problem after the head does not complete the answer`() {
        val answer =
            answerOf { _, response ->
                response.sendPart()
                CallResult.Failed(noTarget("none"))
            }
        assertTrue("a part" in answer, answer)
        assertFalse("none" in answer || answer.endsWith("0\r\n\r\n"), answer)
    }

    @Test
    fun `an unexpected exception before the head is answered as perhaps run`() {
        assertTrue(answerOf { _, _ -> error("unexpected") }.startsWith("HTTP/1.1 502"))
        assertTrue(answerOf { _, _ -> throw InterruptedException() }.startsWith("HTTP/1.1 502"))
        assertEquals(2, failures.size)
    }

    @Test
    fun `an unexpected exception after the head does not complete the answer`() {
        val answer =
            answerOf { _, response ->
                response.sendPart()
                error("unexpected")
            }
        assertTrue("a part" in answer && !answer.endsWith("0\r\n\r\n"), answer)
    }
}

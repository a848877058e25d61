/*
 * A target whose machine is suspended accepts connections and reads nothing. Requests whose callers have left meanwhile must not reach it
 * once it reads again.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.runtime.http.WithdrawingSocket
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

// The sender's buffer takes the whole request, and the target's only a part of it.
private const val BODY_BYTES = 65_536
private const val SEND_BUFFER_BYTES = 200_000
private const val RECEIVE_BUFFER_BYTES = 4_096
private const val WAIT_MILLIS = 5_000L
private const val SHORT_LIMIT_MILLIS = 300L

internal class FrozenTargetTest {
    private val server =
        ServerSocket().apply {
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
        }
    private val target: FleetTarget get() = newTarget(server.localPort)
    private val caller = LeavingCaller()

    @AfterTest
    fun close() = server.close()

    /** What the target reads once it goes on: the number of bytes, and whether the connection ended regularly. */
    private class Read(
        val byteCount: Int,
        val isRegularEnd: Boolean,
    )

    private fun readAll(socket: Socket): Read {
        socket.soTimeout = WAIT_MILLIS.toInt()
        val chunk = ByteArray(8_192)
        var byteCount = 0
        while (true) {
            val count =
                try {
                    socket.getInputStream().read(chunk)
                } catch (e: IOException) {
                    return Read(byteCount, isRegularEnd = false)
                }
            if (count < 0) return Read(byteCount, isRegularEnd = true)
            byteCount += count
        }
    }

    private fun sender() = TargetSender(newSocket = { WithdrawingSocket().apply { sendBufferSize = SEND_BUFFER_BYTES } })

    private fun sendInBackground(call: DirectCall): CompletableFuture<SendOutcome> =
        CompletableFuture<SendOutcome>().also { future ->
            thread(isDaemon = true) { future.complete(sender().send(call, target, lastEventId = null, response = caller)) }
        }

    @Test
    fun `a request is withdrawn when its caller leaves`() {
        val outcome = sendInBackground(newCall(BODY_BYTES))
        val socket = server.accept()
        Thread.sleep(SHORT_LIMIT_MILLIS)
        caller.leave()
        assertIs<SendOutcome.Unknown>(outcome.get(WAIT_MILLIS, TimeUnit.MILLISECONDS))
        assertWithdrawn(readAll(socket))
    }

    @Test
    fun `a request is withdrawn when its time is over`() {
        val outcome = sendInBackground(newCall(BODY_BYTES, SHORT_LIMIT_MILLIS))
        val socket = server.accept()
        assertIs<SendOutcome.Unknown>(outcome.get(WAIT_MILLIS, TimeUnit.MILLISECONDS))
        assertWithdrawn(readAll(socket))
    }

    @Test
    fun `a connection ends regularly after a complete answer`() {
        val outcome = sendInBackground(newCall(bodyBytes = 0, requestId = null))
        val socket = server.accept()
        val lines = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (lines.readLine().isNotEmpty()) continue
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok".encodeToByteArray())
        // Such a connection is not kept.
        assertIs<SendOutcome.Answered>(outcome.get(WAIT_MILLIS, TimeUnit.MILLISECONDS)).response.use { it.body.string() }
        assertEquals(-1, lines.read())
    }

    @Test
    fun `a connection ends regularly after an answer that ended with it`() {
        val outcome = sendInBackground(newCall(bodyBytes = 0))
        val socket = server.accept()
        val lines = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (lines.readLine().isNotEmpty()) continue
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n\r\nok".encodeToByteArray())
        socket.shutdownOutput()
        assertIs<SendOutcome.Answered>(outcome.get(WAIT_MILLIS, TimeUnit.MILLISECONDS)).response.use {
            assertEquals("ok", it.body.string())
        }
        assertEquals(-1, lines.read())
    }

    private fun assertWithdrawn(read: Read) {
        assertTrue(read.byteCount < BODY_BYTES, "the target read ${read.byteCount} bytes of the request after its caller had left")
        assertTrue(!read.isRegularEnd, "the connection ended regularly")
    }
}

/** A caller that closes its connection with [leave]. */
private class LeavingCaller : DirectResponse by UnusedResponse {
    private var onGone: () -> Unit = {}

    override fun watch(onGone: () -> Unit) {
        this.onGone = onGone
    }

    fun leave() = onGone()
}

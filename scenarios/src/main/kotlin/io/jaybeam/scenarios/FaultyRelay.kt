/*
 * A TCP relay on loopback with which scenarios cut connections or make them silent.
 */
package io.jaybeam.scenarios

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

private const val BACKLOG = 50
private const val BUFFER_BYTES = 16_384
private const val SILENT_POLL_MILLIS = 20L

/** Relays connections to [targetPort]. */
public class FaultyRelay(
    private val targetPort: Int,
) : AutoCloseable {
    private class Pair(
        val near: Socket,
        val far: Socket,
    ) {
        @Volatile
        var silent = false
    }

    private val server = ServerSocket(freePort(), BACKLOG, InetAddress.getLoopbackAddress())
    private val pairs = CopyOnWriteArrayList<Pair>()

    @Volatile
    private var cut = false

    /** Port to connect to. */
    public val port: Int get() = server.localPort

    init {
        thread(name = "relay", isDaemon = true) { accept() }
    }

    /** Open connections pass nothing more in either direction and stay open; new ones work. */
    public fun silenceOpenConnections() {
        pairs.forEach { it.silent = true }
    }

    /** Closes open connections; new ones work. */
    public fun resetOpenConnections() {
        pairs.forEach(::close)
    }

    /** Closes open connections and refuses new ones until [heal]. */
    public fun cut() {
        cut = true
        resetOpenConnections()
    }

    /** Lets new connections through again. */
    public fun heal() {
        cut = false
    }

    override fun close() {
        server.close()
        resetOpenConnections()
    }

    private fun accept() {
        while (!server.isClosed) {
            try {
                val near = server.accept()
                if (cut) near.close() else open(near)
            } catch (e: IOException) {
                Thread.yield()
            }
        }
    }

    private fun open(near: Socket) {
        val far =
            try {
                Socket(InetAddress.getLoopbackAddress(), targetPort)
            } catch (e: IOException) {
                near.close()
                return
            }
        near.tcpNoDelay = true
        far.tcpNoDelay = true
        val pair = Pair(near, far)
        pairs += pair
        thread(isDaemon = true) { pump(pair, near, far) }
        thread(isDaemon = true) { pump(pair, far, near) }
    }

    private fun pump(pair: Pair, from: Socket, to: Socket) {
        try {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val read = from.getInputStream().read(buffer)
                if (read < 0) break
                while (pair.silent && !from.isClosed) Thread.sleep(SILENT_POLL_MILLIS)
                to.getOutputStream().write(buffer, 0, read)
            }
        } catch (e: IOException) {
            // Either end closed; both are closed below.
        }
        close(pair)
    }

    private fun close(pair: Pair) {
        pair.near.close()
        pair.far.close()
        pairs -= pair
    }
}

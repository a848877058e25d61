/*
 * TCP relay on the loopback interface with which scenarios close connections, refuse them or let them go silent.
 */
package io.jaybeam.scenarios

import io.jaybeam.standins.freePort
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

private const val BACKLOG = 50
private const val BUFFER_BYTES = 16_384
private const val SILENT_POLL_INTERVAL_MILLIS = 20L

/** Forwards connections to [upstreamPort] on the loopback interface. */
public class FaultyRelay(
    private val upstreamPort: Int,
) : AutoCloseable {
    private class RelayedConnection(
        val downstream: Socket,
        val upstream: Socket,
    ) {
        @Volatile
        var isSilent = false
    }

    private val server = ServerSocket(freePort(), BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<RelayedConnection>()

    @Volatile
    private var isCut = false

    /** Port on which the relay accepts connections. */
    public val port: Int get() = server.localPort

    init {
        thread(name = "relay", isDaemon = true) { acceptConnections() }
    }

    /** Stops forwarding on open connections in both directions without closing them; new connections work. */
    public fun silenceOpenConnections() {
        connections.forEach { it.isSilent = true }
    }

    /** Closes open connections; new connections work. */
    public fun resetOpenConnections() {
        connections.forEach(::close)
    }

    /** Closes open connections, and closes new ones at once until [heal] is called. */
    public fun cut() {
        isCut = true
        resetOpenConnections()
    }

    /** Forwards new connections again after [cut]. */
    public fun heal() {
        isCut = false
    }

    override fun close() {
        server.close()
        resetOpenConnections()
    }

    private fun acceptConnections() {
        while (!server.isClosed) {
            try {
                val downstream = server.accept()
                if (isCut) downstream.close() else open(downstream)
            } catch (e: IOException) {
                Thread.yield()
            }
        }
    }

    private fun open(downstream: Socket) {
        val upstream =
            try {
                Socket(InetAddress.getLoopbackAddress(), upstreamPort)
            } catch (e: IOException) {
                downstream.close()
                return
            }
        downstream.tcpNoDelay = true
        upstream.tcpNoDelay = true
        val connection = RelayedConnection(downstream, upstream)
        connections += connection
        thread(isDaemon = true) { forward(connection, downstream, upstream) }
        thread(isDaemon = true) { forward(connection, upstream, downstream) }
    }

    private fun forward(connection: RelayedConnection, from: Socket, to: Socket) {
        try {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                while (connection.isSilent && !from.isClosed) Thread.sleep(SILENT_POLL_INTERVAL_MILLIS)
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (e: IOException) {
            // One side closed its connection; both are closed below.
        }
        close(connection)
    }

    private fun close(connection: RelayedConnection) {
        connection.downstream.close()
        connection.upstream.close()
        connections -= connection
    }
}

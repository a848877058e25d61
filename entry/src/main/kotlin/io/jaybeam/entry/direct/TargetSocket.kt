/*
 * Sockets that notice bytes that a target sends while no request is in progress on its connection.
 *
 * Such bytes belong to no request, but would be read as the answer to the next one on the connection. OkHttp does not notice
 * them, and may read them into a buffer of its own when it checks an idle connection, so the socket records what is read.
 */
package io.jaybeam.entry.direct

import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/** The connection has bytes that belong to no request. No request was written. */
internal class UnexpectedBytesException : IOException("the target sent bytes while no request was in progress")

/** Socket of a connection to a target. */
internal class TargetSocket : Socket() {
    @Volatile
    private var isIdle = false

    @Volatile
    private var hasReadWhileIdle = false

    private val input by lazy { RecordingStream(super.getInputStream()) }

    override fun getInputStream(): InputStream = input

    /** Records that no request is in progress. */
    fun onIdle() {
        hasReadWhileIdle = false
        isIdle = true
    }

    /**
     * Records that a request is about to be written.
     *
     * @throws UnexpectedBytesException if the target has sent bytes since the connection became idle.
     */
    fun onRequestStart() {
        if (isIdle && (hasReadWhileIdle || input.available() > 0)) throw UnexpectedBytesException()
        isIdle = false
    }

    private inner class RecordingStream(
        stream: InputStream,
    ) : FilterInputStream(stream) {
        override fun read(): Int = super.read().also { if (isIdle && it >= 0) hasReadWhileIdle = true }

        override fun read(bytes: ByteArray, offset: Int, length: Int): Int =
            super.read(bytes, offset, length).also { if (isIdle && it > 0) hasReadWhileIdle = true }
    }
}

/** Creates the sockets of an HTTP client, which connects them by itself. */
internal object TargetSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = TargetSocket()

    override fun createSocket(host: String, port: Int): Socket = throw UnsupportedOperationException(CONNECTED_SOCKETS)

    override fun createSocket(
        host: String,
        port: Int,
        localHost: InetAddress,
        localPort: Int,
    ): Socket = throw UnsupportedOperationException(CONNECTED_SOCKETS)

    override fun createSocket(host: InetAddress, port: Int): Socket = throw UnsupportedOperationException(CONNECTED_SOCKETS)

    override fun createSocket(
        address: InetAddress,
        port: Int,
        localAddress: InetAddress,
        localPort: Int,
    ): Socket = throw UnsupportedOperationException(CONNECTED_SOCKETS)

    private const val CONNECTED_SOCKETS = "sockets are connected by the HTTP client; use createSocket()"
}

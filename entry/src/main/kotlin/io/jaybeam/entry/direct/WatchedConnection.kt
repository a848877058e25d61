/*
 * Notices that a caller has closed its connection while its request is being served. Jetty does not read a connection
 * during that time; here a read stays outstanding, and bytes that arrive early are handed to the next request.
 */
package io.jaybeam.entry.direct

import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.AbstractConnectionFactory
import org.eclipse.jetty.server.ConnectionFactory
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.net.SocketAddress
import java.nio.ByteBuffer

private const val EARLY_BYTES = 4_096

/** Makes the connections of [next] over end points that can be watched. */
internal class WatchedConnectionFactory(
    private val next: ConnectionFactory,
) : AbstractConnectionFactory(next.protocol) {
    override fun newConnection(connector: Connector, endPoint: EndPoint): Connection =
        next.newConnection(connector, WatchedEndPoint(endPoint))
}

/** An end point that keeps a read outstanding on [inner] while it is watched. */
internal class WatchedEndPoint(
    private val inner: EndPoint,
) : EndPoint by inner,
    EndPoint.Wrapper {
    private val lock = Any()
    private var onClosed: (() -> Unit)? = null
    private var waiting: Callback? = null
    private var early: ByteBuffer = BufferUtil.EMPTY_BUFFER
    private var isReading = false
    private var isEnded = false

    /** Calls [onClosed] once if the caller closes the connection before [unwatch]. */
    fun watch(onClosed: () -> Unit) {
        synchronized(lock) {
            if (!isEnded) {
                this.onClosed = onClosed
                readIfIdle()
                return
            }
        }
        onClosed()
    }

    /** Stops watching; the outstanding read serves the next request. */
    fun unwatch() {
        synchronized(lock) { onClosed = null }
    }

    override fun unwrap(): EndPoint = inner

    override fun fill(buffer: ByteBuffer): Int =
        synchronized(lock) {
            when {
                early.hasRemaining() -> moveEarlyBytes(buffer)
                isEnded -> -1
                else -> inner.fill(buffer)
            }
        }

    override fun fillInterested(callback: Callback) {
        check(tryFillInterested(callback)) { "a read of the connection is pending already" }
    }

    override fun tryFillInterested(callback: Callback): Boolean {
        synchronized(lock) {
            if (waiting != null) return false
            if (isReading) {
                waiting = callback
                return true
            }
            if (!early.hasRemaining() && !isEnded) return inner.tryFillInterested(callback)
        }
        callback.succeeded()
        return true
    }

    override fun isFillInterested(): Boolean = synchronized(lock) { waiting != null || (!isReading && inner.isFillInterested) }

    private fun readIfIdle() {
        if (isReading || isEnded || early.hasRemaining()) return
        isReading = inner.tryFillInterested(reading)
    }

    private fun moveEarlyBytes(buffer: ByteBuffer): Int {
        val position = BufferUtil.flipToFill(buffer)
        val moved = BufferUtil.put(early, buffer)
        BufferUtil.flipToFlush(buffer, position)
        return moved
    }

    private val reading =
        object : Callback {
            override fun succeeded() = readable()?.succeeded() ?: Unit

            override fun failed(cause: Throwable) = failedRead()?.failed(cause) ?: Unit
        }

    /** Returns the connection's own callback if it waits for a read; else reads what came early. */
    private fun readable(): Callback? {
        val closed: (() -> Unit)?
        synchronized(lock) {
            isReading = false
            waiting?.let {
                waiting = null
                return it
            }
            closed = if (readEarly()) null else takeOnClosed()
        }
        closed?.invoke()
        return null
    }

    private fun failedRead(): Callback? {
        val closed: (() -> Unit)?
        synchronized(lock) {
            isReading = false
            waiting?.let {
                waiting = null
                return it
            }
            closed = takeOnClosed()
        }
        closed?.invoke()
        return null
    }

    /** Reads without waiting; returns false at the end of the connection. */
    private fun readEarly(): Boolean {
        val buffer = BufferUtil.allocate(EARLY_BYTES)
        val count =
            try {
                inner.fill(buffer)
            } catch (e: IOException) {
                // A reset is the end of the connection like any other.
                -1
            }
        if (count > 0) early = buffer
        if (count == 0) readIfIdle()
        return count >= 0
    }

    private fun takeOnClosed(): (() -> Unit)? {
        isEnded = true
        return onClosed.also { onClosed = null }
    }

    // Kotlin's delegation leaves Java's default methods to the interface, so each is passed on here.

    override fun getLocalSocketAddress(): SocketAddress? = inner.localSocketAddress

    override fun getRemoteSocketAddress(): SocketAddress? = inner.remoteSocketAddress

    override fun close() = inner.close()

    override fun receive(buffer: ByteBuffer): SocketAddress? = inner.receive(buffer)

    override fun flush(vararg buffers: ByteBuffer): Boolean = inner.flush(*buffers)

    override fun send(address: SocketAddress?, vararg buffers: ByteBuffer): Boolean = inner.send(address, *buffers)

    override fun write(callback: Callback, vararg buffers: ByteBuffer) = inner.write(callback, *buffers)

    override fun write(callback: Callback, address: SocketAddress?, vararg buffers: ByteBuffer) = inner.write(callback, address, *buffers)

    override fun write(last: Boolean, buffer: ByteBuffer?, callback: Callback) = inner.write(last, buffer, callback)

    override fun getSslSessionData(): EndPoint.SslSessionData? = inner.sslSessionData

    override fun isSecure(): Boolean = inner.isSecure
}

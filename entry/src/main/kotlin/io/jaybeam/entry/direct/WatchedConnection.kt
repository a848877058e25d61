/*
 * Detects that a caller closes its connection while its request is being served. Jetty does not read from a connection during
 * that time, so this end point keeps a read pending. Bytes that arrive meanwhile are buffered for the next request.
 *
 * A stopping entry closes connections only while they are idle, so that no request that was read is left without an answer.
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
import java.util.concurrent.ConcurrentHashMap

private const val READ_BUFFER_BYTES = 4_096

/** Creates the connections of [next] over end points that can be watched. */
internal class WatchedConnectionFactory(
    private val next: ConnectionFactory,
) : AbstractConnectionFactory(next.protocol) {
    private val endPoints = ConcurrentHashMap.newKeySet<WatchedEndPoint>()

    override fun newConnection(connector: Connector, endPoint: EndPoint): Connection {
        val watched = WatchedEndPoint(endPoint)
        endPoints += watched
        return next.newConnection(connector, watched).also { it.addEventListener(ClosedListener(watched)) }
    }

    /** Closes the connections on which no request is being read or served; returns whether none is left. */
    fun closeIdle(): Boolean {
        endPoints.removeIf { it.closeIfIdle() }
        return endPoints.isEmpty()
    }

    private inner class ClosedListener(
        private val endPoint: WatchedEndPoint,
    ) : Connection.Listener {
        override fun onClosed(connection: Connection) {
            endPoints -= endPoint
        }
    }
}

/** An end point that keeps a read pending on [inner] while it is watched. */
internal class WatchedEndPoint(
    private val inner: EndPoint,
) : EndPoint by inner,
    EndPoint.Wrapper {
    private val lock = Any()
    private var onClosed: (() -> Unit)? = null
    private var pendingCallback: Callback? = null
    private var buffered: ByteBuffer = BufferUtil.EMPTY_BUFFER
    private var isReadPending = false
    private var isInputEnded = false
    private var isServing = false

    /** Records that a request is being served. Its answer may still be on its way when [unwatch] is called. */
    fun onRequestStart() {
        synchronized(lock) { isServing = true }
    }

    /** Closes the connection if no request is being read or served on it; returns whether it is closed. */
    fun closeIfIdle(): Boolean {
        synchronized(lock) {
            if (!inner.isOpen) return true
            if (isServing || !isFillInterested || buffered.hasRemaining()) return false
            // A request that arrives from now on is not read.
            isInputEnded = true
        }
        inner.close()
        return true
    }

    /** Calls [onClosed] once if the caller closes the connection before [unwatch], or immediately if it is closed already. */
    fun watch(onClosed: () -> Unit) {
        val isClosed =
            synchronized(lock) {
                // The caller may have left while its request waited for a thread, so the connection is read at once.
                if (!isInputEnded && !isReadPending && !buffered.hasRemaining()) isInputEnded = !readIntoBuffer()
                if (!isInputEnded) this.onClosed = onClosed
                isInputEnded
            }
        if (isClosed) onClosed()
    }

    /** Stops watching, as the request has been served; the pending read serves the next one. */
    fun unwatch() {
        synchronized(lock) {
            onClosed = null
            isServing = false
        }
    }

    override fun unwrap(): EndPoint = inner

    override fun fill(buffer: ByteBuffer): Int =
        synchronized(lock) {
            when {
                buffered.hasRemaining() -> moveBufferedBytes(buffer)
                isInputEnded -> -1
                else -> inner.fill(buffer)
            }
        }

    override fun fillInterested(callback: Callback) {
        check(tryFillInterested(callback)) { "a read of the connection is already pending" }
    }

    override fun tryFillInterested(callback: Callback): Boolean {
        synchronized(lock) {
            if (pendingCallback != null) return false
            if (isReadPending) {
                pendingCallback = callback
                return true
            }
            if (!buffered.hasRemaining() && !isInputEnded) return inner.tryFillInterested(callback)
        }
        callback.succeeded()
        return true
    }

    override fun isFillInterested(): Boolean = synchronized(lock) { pendingCallback != null || (!isReadPending && inner.isFillInterested) }

    private fun readIfIdle() {
        if (isReadPending || isInputEnded || buffered.hasRemaining()) return
        isReadPending = inner.tryFillInterested(readCallback)
    }

    private fun moveBufferedBytes(buffer: ByteBuffer): Int {
        val position = BufferUtil.flipToFill(buffer)
        val movedBytes = BufferUtil.put(buffered, buffer)
        BufferUtil.flipToFlush(buffer, position)
        return movedBytes
    }

    private val readCallback =
        object : Callback {
            override fun succeeded() = onReadable()?.succeeded() ?: Unit

            override fun failed(cause: Throwable) = onReadFailed()?.failed(cause) ?: Unit
        }

    /** Returns the connection's callback if it waits for a read; otherwise buffers the bytes that have arrived and returns null. */
    private fun onReadable(): Callback? {
        val closeListener: (() -> Unit)?
        synchronized(lock) {
            isReadPending = false
            pendingCallback?.let {
                pendingCallback = null
                return it
            }
            closeListener = if (readIntoBuffer()) null else endInput()
        }
        closeListener?.invoke()
        return null
    }

    private fun onReadFailed(): Callback? {
        val closeListener: (() -> Unit)?
        synchronized(lock) {
            isReadPending = false
            pendingCallback?.let {
                pendingCallback = null
                return it
            }
            closeListener = endInput()
        }
        closeListener?.invoke()
        return null
    }

    /** Reads into the buffer without blocking; returns false if the connection has ended. */
    private fun readIntoBuffer(): Boolean {
        val buffer = BufferUtil.allocate(READ_BUFFER_BYTES)
        val byteCount =
            try {
                inner.fill(buffer)
            } catch (e: IOException) {
                // A reset ends the connection like a regular close.
                -1
            }
        if (byteCount > 0) buffered = buffer
        if (byteCount == 0) readIfIdle()
        return byteCount >= 0
    }

    private fun endInput(): (() -> Unit)? {
        isInputEnded = true
        return onClosed.also { onClosed = null }
    }

    // Kotlin's delegation does not forward Java's default methods, so each is forwarded here.

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

/*
 * Sockets of HTTP clients, which bound what one answer can make a client keep in memory, and keep the answers on a connection apart.
 *
 * A faulty server may send bytes without end that never become a head, a chunk or a body. OkHttp limits the lines of a head, but it
 * reads the line with the size of a chunk, and the one after it, up to their end. So the socket counts the bytes that are read for one
 * step of an answer: its head, or the next bytes of its body. Clients that decode whole bodies limit these as well. A server may also send
 * bytes that belong to no answer. They would be read as the answer to the next request, so none is sent over that connection.
 */
package io.jaybeam.runtime.http

import okhttp3.Interceptor
import okhttp3.Response
import okhttp3.ResponseBody.Companion.asResponseBody
import okio.Buffer
import okio.ForwardingSource
import okio.Source
import okio.buffer
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

// OkHttp accepts 256 KiB of headers, and a step of a body yields 8 KiB.
private const val MAX_STEP_BYTES = 320 * 1_024

/** The server sent more bytes than an answer, or a step of it, may have. */
public class AnswerTooLargeException(
    message: String,
) : IOException(message)

/** The status line, the chunks of the body or the lines behind them are malformed, so it is not known where the answer ends. */
public class MalformedAnswerException(
    message: String,
) : IOException(message)

/** The connection, which is new if [isNewConnection], cannot carry the request. Nothing of it was written. */
public sealed class UnusableConnectionException(
    message: String,
    internal val isNewConnection: Boolean,
) : IOException(message)

/** The connection has bytes that belong to no answer. */
public class UnexpectedBytesException internal constructor(
    isNewConnection: Boolean,
) : UnusableConnectionException("the server sent bytes that belong to no answer", isNewConnection)

/** A request with the same id was sent over the connection before, so that answers to it could not be told apart. */
public class RepeatedRequestIdException internal constructor() :
    UnusableConnectionException("a request with the same id was sent over the connection before", isNewConnection = false)

/**
 * A socket that fails if one step of an answer takes too many bytes, and before a request whose answer could not be told from other bytes
 * or answers.
 */
public open class BoundedSocket : Socket() {
    @Volatile
    private var stepBytes = 0

    // Guarded by itself: the HTTP client may check an idle connection in another thread.
    private val scanner = AnswerScanner()
    private val sentRequestIds = RecentRequestIds()
    private var isHeadUnchecked = false

    @Volatile
    private var isInputEnded = false
    private val input by lazy { CountingStream(super.getInputStream()) }

    /** Number of requests that were begun on this connection. */
    @Volatile
    public var requestCount: Int = 0
        private set

    /** Whether a request was begun on this connection whose answer has not ended. */
    protected val isAnswerPending: Boolean get() = !isInputEnded && synchronized(scanner) { scanner.isInAnswer }

    override fun getInputStream(): InputStream = input

    /**
     * Records that a request is about to be written, with the method HEAD if [isHead] and with [requestId] if that is not null.
     *
     * @throws UnexpectedBytesException if bytes came behind the last answer, or if that has not ended.
     * @throws RepeatedRequestIdException if a request with the same id was sent over this connection before.
     */
    internal fun onRequestStart(isHead: Boolean, requestId: RequestId? = null) {
        synchronized(scanner) {
            val isClean = !isHeadUnchecked && scanner.isBetweenAnswers && input.available() == 0
            if (!isClean) throw UnexpectedBytesException(isNewConnection = requestCount == 0)
            if (requestId != null && !sentRequestIds.add(requestId)) throw RepeatedRequestIdException()
            scanner.onRequestStart(isHead)
            isHeadUnchecked = true
        }
        requestCount++
    }

    /** Starts the next step of an answer. */
    internal fun onStepStart() {
        stepBytes = 0
    }

    /**
     * Records that the head of the answer is well formed. Until then, no other request is sent: an answer without a body returns its
     * connection to the pool before its head has been checked.
     */
    internal fun onHeadAccepted() {
        synchronized(scanner) { isHeadUnchecked = false }
    }

    private fun onRead(bytes: ByteArray, offset: Int, count: Int) {
        if (count < 0) isInputEnded = true
        if (count <= 0) return
        val fault =
            synchronized(scanner) {
                scanner.add(bytes, offset, count)
                scanner.fault
            }
        if (fault != null) throw MalformedAnswerException(fault)
        stepBytes += count
        if (stepBytes > MAX_STEP_BYTES) throw AnswerTooLargeException("more than $MAX_STEP_BYTES bytes with neither a head nor a body")
    }

    private inner class CountingStream(
        stream: InputStream,
    ) : FilterInputStream(stream) {
        override fun read(): Int = super.read().also { onRead(byteArrayOf(it.toByte()), 0, if (it < 0) -1 else 1) }

        override fun read(bytes: ByteArray, offset: Int, length: Int): Int =
            super.read(bytes, offset, length).also { onRead(bytes, offset, it) }
    }
}

/** Creates sockets with [newSocket], which the HTTP client connects by itself. */
public class UnconnectedSocketFactory(
    private val newSocket: () -> Socket,
) : SocketFactory() {
    override fun createSocket(): Socket = newSocket()

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

    private companion object {
        const val CONNECTED_SOCKETS = "sockets are connected by the HTTP client; use createSocket()"
    }
}

/**
 * Sends requests only over connections on which their answers can be recognised, splits the reading of an answer into steps and limits
 * its body to [maxBodyBytes]. A network interceptor.
 */
internal class AnswerLimit(
    private val maxBodyBytes: Long,
) : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val socket = chain.connection()?.socket() as? BoundedSocket
        val request = chain.request()
        socket?.onRequestStart(isHead = request.method == "HEAD", request.tag(RequestId::class.java))
        socket?.onStepStart()
        val response = chain.proceed(request)
        val body = response.body
        val limited = LimitedSource(body.source(), socket).buffer().asResponseBody(body.contentType(), body.contentLength())
        return response.newBuilder().body(limited).build()
    }

    private inner class LimitedSource(
        source: Source,
        private val socket: BoundedSocket?,
    ) : ForwardingSource(source) {
        private var bodyBytes = 0L

        override fun read(sink: Buffer, byteCount: Long): Long {
            socket?.onStepStart()
            val count = super.read(sink, byteCount)
            if (count > 0) bodyBytes += count
            if (bodyBytes > maxBodyBytes) throw AnswerTooLargeException("the body has more than $maxBodyBytes bytes")
            return count
        }
    }
}

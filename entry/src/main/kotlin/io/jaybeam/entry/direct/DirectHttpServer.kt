/*
 * HTTP server of an entry that sends requests to targets directly. It has one port for callers, one for readiness checks of
 * the load balancer and one for operators.
 */
package io.jaybeam.entry.direct

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import io.javalin.http.HandlerType
import io.javalin.router.Endpoint
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.entry.answer.AnswerFraming
import io.jaybeam.entry.answer.CallerConnection
import io.jaybeam.platform.Header
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

// Each request in flight occupies a thread. With stacks of 256 KB, an entry with 430 MB of memory can run this many.
private const val MAX_THREADS = 400
private const val MIN_THREADS = 8
private const val IDLE_THREAD_TIMEOUT_MILLIS = 20_000
private const val MAX_HEADER_BYTES = 32_768
private const val ACCEPT_BACKLOG = 1_024
private const val SELECTOR_COUNT = 1

// The platform states an idle timeout of 15 s, and callers reuse a connection that has been idle for up to four fifths of
// it. This longer timeout avoids closing a connection that is about to be reused.
private const val IDLE_CONNECTION_TIMEOUT_MILLIS = 60_000L

// Long enough for refusals of the requests that were read last, while streams that are still running end with the process.
private const val CLOSE_LIMIT_MILLIS = 200L
private const val CLOSE_CHECK_INTERVAL_MILLIS = 5L
private const val MILLIS_PER_SECOND = 1_000.0
private const val READY_PATH = "/v1/ready"

private val supportedMethods =
    listOf(HandlerType.GET, HandlerType.HEAD, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE, HandlerType.OPTIONS)

/**
 * Opens the port for callers at [address]. Connections wait in its backlog until the server accepts them. An entry opens the
 * port before anything else, so that no connection is refused while it starts.
 *
 * @throws java.io.IOException if the port cannot be opened.
 */
internal fun openCallerSocket(address: HostPort): ServerSocketChannel {
    val socket = ServerSocketChannel.open()
    socket.setOption(StandardSocketOptions.SO_REUSEADDR, true)
    return socket.bind(InetSocketAddress(address.host, address.port), ACCEPT_BACKLOG)
}

/** Serves callers, which connect to [callerSocket], and the readiness and operator ports until closed. */
internal class DirectHttpServer(
    private val callerSocket: ServerSocketChannel,
    readinessAddress: HostPort?,
    private val operatorAddress: HostPort?,
    private val serve: (Context, ServletResponse) -> Unit,
    private val serveOperators: (Context) -> Unit,
    private val isReady: () -> Boolean,
    private val isStopping: () -> Boolean,
) {
    private val callerConnections = ArrayList<WatchedConnectionFactory>()
    private val readinessPort = readinessAddress?.port?.takeIf { it != callerSocket.socket().localPort }
    private val server =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.http.compressionStrategy = CompressionStrategy.NONE
            config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS, IDLE_THREAD_TIMEOUT_MILLIS)
            config.jetty.addConnector { server, http -> newConnector(server, http).also { it.open(callerSocket) } }
            if (readinessAddress != null &&
                readinessPort != null
            ) {
                config.jetty.addConnector { server, http -> newConnector(server, http).bindTo(readinessAddress) }
            }
            if (operatorAddress != null) config.jetty.addConnector { server, http -> newConnector(server, http).bindTo(operatorAddress) }
            config.jetty.modifyHttpConfiguration(::configureHttp)
            supportedMethods.forEach { config.routes.addEndpoint(Endpoint.create(it, "*").handler(::handle)) }
        }

    fun start() {
        server.start()
    }

    /**
     * Closes the server. Connections of callers close once the request that was read on them has been answered, or after
     * [CLOSE_LIMIT_MILLIS].
     */
    fun close() {
        callerSocket.close()
        val startedNanos = System.nanoTime()
        while (!callerConnections.map { it.closeIdle() }.all { it } &&
            System.nanoTime() - startedNanos < CLOSE_LIMIT_MILLIS * NANOS_PER_MILLI
        ) {
            Thread.sleep(CLOSE_CHECK_INTERVAL_MILLIS)
        }
        server.stop()
    }

    private fun configureHttp(http: HttpConfiguration) {
        http.requestHeaderSize = MAX_HEADER_BYTES
        http.sendServerVersion = false
        http.sendDateHeader = false
        http.uriCompliance = UriCompliance.UNSAFE
    }

    private fun newConnector(server: Server, http: HttpConfiguration): ServerConnector {
        val connectionFactory = WatchedConnectionFactory(HttpConnectionFactory(http)).also { callerConnections += it }
        val connector = ServerConnector(server, null, null, null, 0, SELECTOR_COUNT, connectionFactory)
        connector.acceptQueueSize = ACCEPT_BACKLOG
        connector.idleTimeout = IDLE_CONNECTION_TIMEOUT_MILLIS
        return connector
    }

    private fun ServerConnector.bindTo(address: HostPort): ServerConnector {
        host = address.host
        port = address.port
        return this
    }

    private fun handle(context: Context) {
        if (context.req().localPort == readinessPort) {
            context.status(if (context.req().requestURI == READY_PATH && isReady()) 200 else 503)
            return
        }
        if (context.req().localPort == operatorAddress?.port) return serveOperators(context)
        val response = ServletResponse(context, isStopping)
        response.open()
        try {
            serve(context, response)
        } finally {
            response.close()
        }
    }
}

/** Writes the answer to the servlet response of [context]. */
internal class ServletResponse(
    private val context: Context,
    private val isStopping: () -> Boolean,
) : DirectResponse {
    private val request = ServletContextRequest.getServletContextRequest(context.req())
    private val endPoint = request.connectionMetaData.connection.endPoint as WatchedEndPoint
    private val connection = CallerConnection(context)
    private var onGone: (() -> Unit)? = null

    /** Time at which the first byte of the request was read, on the monotonic clock. */
    val arrivedNanos: Long = request.beginNanoTime

    @Volatile
    override var isCallerGone: Boolean = false
        private set

    override var isCommitted: Boolean = false
        private set

    override var isRequestSent: Boolean = false
        private set

    override val framing: AnswerFraming get() = connection.framing

    override fun watch(onGone: () -> Unit) {
        endPoint.watch {
            isCallerGone = true
            onGone()
        }
    }

    /** States that the request is being served, until [close]. */
    fun open() = endPoint.onRequestStart()

    /** Ends the answer. Stops watching the connection, which the next request may reuse if the answer is complete. */
    fun close() {
        endPoint.unwatch()
        connection.closeUnlessComplete()
    }

    override fun onRequestSent() {
        isRequestSent = true
    }

    override fun sendHead(status: Int, headers: List<Header>) {
        val servletResponse = context.res()
        servletResponse.status = status
        headers.forEach { servletResponse.addHeader(it.name, it.value) }
        addCloseHeaderIfStopping()
        connection.prepareHead()
        isCommitted = true
        servletResponse.flushBuffer()
    }

    override fun write(bytes: ByteArray, count: Int) {
        val output = context.res().outputStream
        output.write(bytes, 0, count)
        output.flush()
    }

    override fun complete() = connection.complete()

    override fun refuse(refusal: Refusal, retryAfterMillis: Long?) {
        val servletResponse = context.res()
        servletResponse.status = refusal.status
        servletResponse.contentType = "application/json"
        val retryAfterSeconds = retryAfterMillis?.let { "${it / MILLIS_PER_SECOND}" } ?: refusal.retryAfterSeconds
        retryAfterSeconds?.let { servletResponse.setHeader("Retry-After", it) }
        addCloseHeaderIfStopping()
        isCommitted = true
        servletResponse.outputStream.write("""{"error":"${refusal.name}","remedy":"${refusal.remedy}"}""".encodeToByteArray())
        complete()
    }

    private fun addCloseHeaderIfStopping() {
        if (isStopping()) context.res().setHeader("Connection", "close")
    }
}

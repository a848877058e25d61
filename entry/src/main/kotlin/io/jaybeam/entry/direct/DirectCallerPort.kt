/*
 * The HTTP ports of an entry that sends to targets directly: one for callers, one for the balancer's readiness question
 * and one for operators.
 */
package io.jaybeam.entry.direct

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import io.javalin.http.HandlerType
import io.javalin.router.Endpoint
import io.jaybeam.core.fleet.HostPort
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

// Each request under way has a thread; an entry of 430 MB bears these with stacks of 256 KB.
private const val MAX_THREADS = 400
private const val MIN_THREADS = 8
private const val IDLE_THREAD_MILLIS = 20_000
private const val MAX_HEADER_BYTES = 32_768
private const val ACCEPT_BACKLOG = 1_024
private const val SELECTORS = 1

// Callers reuse a connection that has been idle for up to four fifths of the 15 s that the platform states.
private const val IDLE_CONNECTION_MILLIS = 60_000L
private const val MILLIS_PER_SECOND = 1_000.0
private const val READY_PATH = "/v1/ready"

private val methods =
    listOf(HandlerType.GET, HandlerType.HEAD, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE, HandlerType.OPTIONS)

/**
 * Opens the port for callers at [address]. Connections wait in its backlog until it is served, so an entry opens it before
 * all else and callers find no closed port while it starts.
 */
internal fun openCallerSocket(address: HostPort): ServerSocketChannel {
    val socket = ServerSocketChannel.open()
    socket.setOption(StandardSocketOptions.SO_REUSEADDR, true)
    return socket.bind(InetSocketAddress(address.host, address.port), ACCEPT_BACKLOG)
}

/** Serves callers, who connect to [callerSocket], until closed. */
internal class DirectCallerPort(
    private val callerSocket: ServerSocketChannel,
    readiness: HostPort?,
    private val operators: HostPort?,
    private val serve: (Context, ServletResponse) -> Unit,
    private val serveOperators: (Context) -> Unit,
    private val isReady: () -> Boolean,
    private val isStopping: () -> Boolean,
) {
    private val readinessPort = readiness?.port?.takeIf { it != callerSocket.socket().localPort }
    private val server =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.http.compressionStrategy = CompressionStrategy.NONE
            config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS, IDLE_THREAD_MILLIS)
            config.jetty.addConnector { server, http -> connector(server, http).also { it.open(callerSocket) } }
            if (readiness != null &&
                readinessPort != null
            ) {
                config.jetty.addConnector { server, http -> connector(server, http).at(readiness) }
            }
            if (operators != null) config.jetty.addConnector { server, http -> connector(server, http).at(operators) }
            config.jetty.modifyHttpConfiguration(::configure)
            methods.forEach { config.routes.addEndpoint(Endpoint.create(it, "*").handler(::handle)) }
        }

    fun start() {
        server.start()
    }

    fun close() {
        server.stop()
    }

    private fun configure(http: HttpConfiguration) {
        http.requestHeaderSize = MAX_HEADER_BYTES
        http.sendServerVersion = false
        http.sendDateHeader = false
        http.uriCompliance = UriCompliance.UNSAFE
    }

    private fun connector(server: Server, http: HttpConfiguration): ServerConnector {
        val connector = ServerConnector(server, null, null, null, 0, SELECTORS, WatchedConnectionFactory(HttpConnectionFactory(http)))
        connector.acceptQueueSize = ACCEPT_BACKLOG
        connector.idleTimeout = IDLE_CONNECTION_MILLIS
        return connector
    }

    private fun ServerConnector.at(address: HostPort): ServerConnector {
        host = address.host
        port = address.port
        return this
    }

    private fun handle(context: Context) {
        if (context.req().localPort == readinessPort) {
            context.status(if (context.req().requestURI == READY_PATH && isReady()) 200 else 503)
            return
        }
        if (context.req().localPort == operators?.port) return serveOperators(context)
        val response = ServletResponse(context, isStopping)
        try {
            serve(context, response)
        } finally {
            response.unwatch()
        }
    }
}

/** Writes an answer to the caller of [context]. */
internal class ServletResponse(
    private val context: Context,
    private val isStopping: () -> Boolean,
) : DirectResponse {
    private val endPoint =
        ServletContextRequest
            .getServletContextRequest(context.req())
            .connectionMetaData.connection.endPoint as WatchedEndPoint
    private var onGone: (() -> Unit)? = null

    @Volatile
    override var isCallerGone: Boolean = false
        private set

    override var isCommitted: Boolean = false
        private set

    override fun watch(onGone: () -> Unit) {
        endPoint.watch {
            isCallerGone = true
            onGone()
        }
    }

    /** Stops watching the connection, which the next request may use. */
    fun unwatch() {
        endPoint.unwatch()
    }

    override fun head(status: Int, headers: List<Header>) {
        val servlet = context.res()
        servlet.status = status
        headers.forEach { servlet.addHeader(it.name, it.value) }
        announceClose()
        isCommitted = true
        servlet.flushBuffer()
    }

    override fun write(bytes: ByteArray, count: Int) {
        val output = context.res().outputStream
        output.write(bytes, 0, count)
        output.flush()
    }

    override fun abort() {
        // Closing the socket before the end of the body is the only way to show that the body is not whole.
        endPoint.close()
    }

    override fun refuse(refusal: Refusal, retryAfterMillis: Long?) {
        val servlet = context.res()
        servlet.status = refusal.status
        servlet.contentType = "application/json"
        val retryAfterSeconds = retryAfterMillis?.let { "${it / MILLIS_PER_SECOND}" } ?: refusal.retryAfterSeconds
        retryAfterSeconds?.let { servlet.setHeader("Retry-After", it) }
        announceClose()
        isCommitted = true
        servlet.outputStream.write("""{"error":"${refusal.name}","remedy":"${refusal.text}"}""".encodeToByteArray())
    }

    private fun announceClose() {
        if (isStopping()) context.res().setHeader("Connection", "close")
    }
}

/*
 * The callers' HTTP port of an entry.
 */
package io.jaybeam.entry.calls

import arrow.core.Either
import io.javalin.Javalin
import io.javalin.apibuilder.ApiBuilder
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import io.javalin.http.Handler
import io.jaybeam.core.config.Bundle
import io.jaybeam.core.ticket.encode
import io.jaybeam.entry.forward.TicketMint
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.concurrent.atomic.AtomicInteger

private const val ACCEPT_BACKLOG_CHECK = 20L
private const val MAX_HEADER_BYTES = 32_768
private const val IDLE_THREAD_MILLIS = 10_000
private const val MIN_THREADS = 8

/** Serves callers until closed. */
internal class CallerServer(
    host: String,
    port: Int,
    threads: Int,
    private val defaultDeadlineMillis: Long,
    private val bundle: () -> Bundle?,
    private val mint: TicketMint,
    private val handle: (Call, CallerResponse) -> CallResult,
    private val onResult: (CallResult, Long) -> Unit,
) {
    private val inFlight = AtomicInteger()

    @Volatile
    private var draining = false

    private val server =
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.http.compressionStrategy = CompressionStrategy.NONE
                config.jetty.threadPool = QueuedThreadPool(threads, MIN_THREADS, IDLE_THREAD_MILLIS)
                config.jetty.modifyHttpConfiguration {
                    it.requestHeaderSize = MAX_HEADER_BYTES
                    it.sendServerVersion = false
                    it.sendDateHeader = false
                }
                config.routes.apiBuilder { routes() }
            }.start(host, port)

    /** The bound port. */
    val port: Int get() = server.port()

    /** Calls under way. */
    val callsInFlight: Int get() = inFlight.get()

    /** Lets calls under way and late arrivals finish for at least [graceMillis], then closes the port. */
    fun drain(graceMillis: Long) {
        draining = true
        val until = System.nanoTime() + graceMillis * 1_000_000
        while (System.nanoTime() < until || inFlight.get() > 0) Thread.sleep(ACCEPT_BACKLOG_CHECK)
        server.stop()
    }

    private fun routes() {
        ApiBuilder.post("/v1/chat/completions", served { it.chat(this) })
        ApiBuilder.post("/jaybeam/tickets", ::ticket)
        val plain = served { reader -> reader.plain(this, pathParam("service"), servicePath(this)) }
        listOf("/services/{service}", "/services/{service}/<path>").forEach { path ->
            ApiBuilder.get(path, plain)
            ApiBuilder.head(path, plain)
            ApiBuilder.post(path, plain)
            ApiBuilder.put(path, plain)
            ApiBuilder.patch(path, plain)
            ApiBuilder.delete(path, plain)
        }
    }

    private fun served(read: Context.(CallReader) -> Either<Problem, Call>): Handler =
        Handler { context ->
            val response = HttpCallerResponse(context) { draining }
            val startNanos = System.nanoTime()
            inFlight.incrementAndGet()
            try {
                val current = bundle()
                val result = if (current == null) CallResult.Refusal(notReady()) else serve(context, current, response, read)
                finish(context, result, response)
                onResult(result, System.nanoTime() - startNanos)
            } finally {
                inFlight.decrementAndGet()
            }
        }

    private fun serve(
        context: Context,
        bundle: Bundle,
        response: CallerResponse,
        read: Context.(CallReader) -> Either<Problem, Call>,
    ): CallResult =
        context.read(CallReader(bundle, defaultDeadlineMillis)).fold(
            { CallResult.Refusal(it) },
            { handle(it, response) },
        )

    private fun finish(context: Context, result: CallResult, response: HttpCallerResponse) {
        when (result) {
            is CallResult.Refusal -> response.refuse(if (context.mayBeResend()) result.problem.forResend() else result.problem)
            is CallResult.CutOff -> response.abort(result.detail)
            is CallResult.Relayed, CallResult.CallerGone -> Unit
        }
    }

    private fun Context.mayBeResend() = header(CallerHeaders.TICKET) != null || header(CallerHeaders.IDEMPOTENCY_KEY) != null

    /** Gives out a ticket, with which a caller may send a request again and again and have it run at most once. */
    private fun ticket(context: Context) {
        val response = HttpCallerResponse(context) { draining }
        val current = bundle() ?: return response.refuse(notReady())
        CallReader(current, defaultDeadlineMillis).organisation(context).fold(response::refuse) { organisation ->
            val service = context.queryParam("service")
            if (service == null || current.serviceOrNull(service) == null) {
                return response.refuse(badRequest("query parameter service is missing or unknown", "name a service of the bundle", 404))
            }
            val ticket = mint.mintOrNull(service, organisation) ?: return response.refuse(noTarget("no target of $service takes work"))
            context.header(CallerHeaders.TICKET, ticket.encode())
            context.result(ticket.encode())
        }
    }

    private fun notReady() = noTarget("this entry has no configuration yet")

    private fun servicePath(context: Context): String {
        val prefix = "/services/${context.pathParam("service")}"
        val path =
            context
                .req()
                .requestURI
                .removePrefix(prefix)
                .ifEmpty { "/" }
        return context.queryString()?.let { "$path?$it" } ?: path
    }
}

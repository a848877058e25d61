/*
 * The HTTP server of an entry for callers.
 */
package io.jaybeam.entry.calls

import arrow.core.Either
import io.javalin.Javalin
import io.javalin.apibuilder.ApiBuilder
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import io.javalin.http.Handler
import io.jaybeam.core.config.Bundle
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.core.ticket.encode
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

private const val DRAIN_POLL_MILLIS = 20L
private const val MAX_REQUEST_HEADER_BYTES = 32_768
private const val THREAD_IDLE_TIMEOUT_MILLIS = 10_000
private const val MIN_THREADS = 8

/**
 * Serves callers until [drain] is called.
 *
 * @property bundle returns the bundle in force, or null if this entry has no configuration yet.
 * @property handle runs a call and blocks until it has ended.
 * @property issueTicketOrNull returns a new ticket for a service and an organisation, or null if no target accepts work.
 * @property onFailure receives each exception that ended a call unexpectedly.
 * @property onResult receives the result of each call and its duration in nanoseconds.
 */
internal class CallerServer(
    host: String,
    port: Int,
    maxThreads: Int,
    private val defaultDeadlineMillis: Long,
    private val bundle: () -> Bundle?,
    private val issueTicketOrNull: (String, String) -> Ticket?,
    private val handle: (Call, CallerResponse) -> CallResult,
    private val onResult: (CallResult, Long) -> Unit,
    private val onFailure: (Exception) -> Unit,
) {
    private val inFlight = AtomicInteger()

    @Volatile
    private var isDraining = false

    private val server =
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.http.compressionStrategy = CompressionStrategy.NONE
                config.jetty.threadPool = QueuedThreadPool(maxThreads, MIN_THREADS, THREAD_IDLE_TIMEOUT_MILLIS)
                config.jetty.modifyHttpConfiguration {
                    it.requestHeaderSize = MAX_REQUEST_HEADER_BYTES
                    it.sendServerVersion = false
                    it.sendDateHeader = false
                }
                config.routes.apiBuilder { routes() }
            }.start(host, port)

    /** The port on which the server listens. */
    val port: Int get() = server.port()

    /** Number of calls in flight. */
    val callsInFlight: Int get() = inFlight.get()

    /** Keeps serving for at least [graceMillis] and until no call is in flight, then closes the port. */
    fun drain(graceMillis: Long) {
        isDraining = true
        val graceEndNanos = System.nanoTime() + graceMillis * 1_000_000
        while (System.nanoTime() < graceEndNanos || inFlight.get() > 0) Thread.sleep(DRAIN_POLL_MILLIS)
        server.stop()
    }

    private fun routes() {
        ApiBuilder.post("/v1/chat/completions", callHandler { it.readChat(this) })
        ApiBuilder.post("/jaybeam/tickets", ::issueTicket)
        val plainHandler = callHandler { reader -> reader.readPlain(this, pathParam("service"), servicePath(this)) }
        listOf("/services/{service}", "/services/{service}/<path>").forEach { path ->
            ApiBuilder.get(path, plainHandler)
            ApiBuilder.head(path, plainHandler)
            ApiBuilder.post(path, plainHandler)
            ApiBuilder.put(path, plainHandler)
            ApiBuilder.patch(path, plainHandler)
            ApiBuilder.delete(path, plainHandler)
        }
    }

    private fun callHandler(read: Context.(CallReader) -> Either<Problem, Call>): Handler =
        Handler { context ->
            val response = HttpCallerResponse(context) { isDraining }
            val startNanos = System.nanoTime()
            inFlight.incrementAndGet()
            try {
                val result = resultOf(context, response, read)
                complete(context, result, response)
                onResult(result, System.nanoTime() - startNanos)
            } finally {
                response.close()
                inFlight.decrementAndGet()
            }
        }

    /** Serves a call. After an unexpected exception, which an interrupt is too, the call may have run. */
    private fun resultOf(context: Context, response: CallerResponse, read: Context.(CallReader) -> Either<Problem, Call>): CallResult =
        try {
            bundle()?.let { serve(context, it, response, read) } ?: CallResult.Failed(notReady())
        } catch (e: IOException) {
            // The caller's connection failed while its request was read.
            CallResult.CallerDisconnected
        } catch (e: Exception) {
            onFailure(e)
            CallResult.Failed(outcomeUnknown("this entry failed while it served the request", "send it again if it may run twice"))
        }

    private fun serve(
        context: Context,
        bundle: Bundle,
        response: CallerResponse,
        read: Context.(CallReader) -> Either<Problem, Call>,
    ): CallResult =
        context.read(CallReader(bundle, defaultDeadlineMillis)).fold(
            { CallResult.Failed(it) },
            { handle(it, response) },
        )

    private fun complete(context: Context, result: CallResult, response: HttpCallerResponse) {
        when (result) {
            is CallResult.Failed -> response.sendProblem(if (context.hasTicketOrKey()) result.problem.forResend() else result.problem)
            is CallResult.Truncated -> response.explainTruncation(result.detail)
            is CallResult.Relayed -> response.complete()
            is CallResult.CallerDisconnected -> Unit
        }
    }

    private fun Context.hasTicketOrKey() = header(CallerHeaders.TICKET) != null || header(CallerHeaders.IDEMPOTENCY_KEY) != null

    /** Issues a ticket. A request that is repeated with the same ticket runs at most once. */
    private fun issueTicket(context: Context) {
        val response = HttpCallerResponse(context) { isDraining }
        val currentBundle = bundle() ?: return response.sendProblem(notReady())
        CallReader(currentBundle, defaultDeadlineMillis).readOrganisation(context).fold(response::sendProblem) { organisation ->
            val service = context.queryParam("service")
            if (service == null || currentBundle.serviceOrNull(service) == null) {
                return response.sendProblem(
                    badRequest("query parameter service is missing or names no service", "name a service of the bundle", 404),
                )
            }
            val ticket =
                issueTicketOrNull(service, organisation)
                    ?: return response.sendProblem(noTarget("no target of service $service accepts work"))
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

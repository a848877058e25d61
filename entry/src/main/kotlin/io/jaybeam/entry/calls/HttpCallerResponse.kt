/*
 * Writes an answer to a caller's HTTP connection.
 */
package io.jaybeam.entry.calls

import io.javalin.http.Context
import io.jaybeam.wire.HeaderField
import org.eclipse.jetty.ee10.servlet.ServletContextRequest

private const val EVENT_STREAM = "text/event-stream"

/** The answer to the request of [context]. */
internal class HttpCallerResponse(
    private val context: Context,
    private val closing: () -> Boolean,
) : CallerResponse {
    private var eventStream = false

    override fun head(status: Int, headers: List<HeaderField>) {
        val servlet = context.res()
        servlet.status = status
        headers.forEach { servlet.addHeader(it.name, it.value) }
        eventStream = servlet.contentType?.startsWith(EVENT_STREAM) == true
        announceClose()
        servlet.flushBuffer()
    }

    override fun chunk(bytes: ByteArray) {
        val output = context.res().outputStream
        output.write(bytes)
        output.flush()
    }

    override fun abort(detail: String) {
        if (eventStream) {
            val problem = outcomeUnknown(detail, "the answer is not whole; send the request again")
            runCatching { chunk("\nevent: error\ndata: ${problem.toJson()}\n\n".encodeToByteArray()) }
        }
        // Closing the socket without the last chunk is the only way to show that the body is not whole.
        ServletContextRequest
            .getServletContextRequest(context.req())
            ?.connectionMetaData
            ?.connection
            ?.endPoint
            ?.close()
    }

    /** Sends [problem] in place of an answer. */
    fun refuse(problem: Problem) {
        val servlet = context.res()
        servlet.status = problem.status
        servlet.contentType = "application/problem+json"
        servlet.setHeader(CallerHeaders.OUTCOME, problem.outcome.text)
        problem.retryAfterSeconds?.let { servlet.setHeader("Retry-After", "$it") }
        problem.ticket?.let { servlet.setHeader(CallerHeaders.TICKET, it) }
        announceClose()
        servlet.outputStream.write(problem.toJson().encodeToByteArray())
    }

    private fun announceClose() {
        if (closing()) context.res().setHeader("Connection", "close")
    }
}

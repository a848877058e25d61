/*
 * Writes answers to callers' HTTP connections.
 */
package io.jaybeam.entry.calls

import io.javalin.http.Context
import io.jaybeam.wire.HeaderField
import org.eclipse.jetty.ee10.servlet.ServletContextRequest

private const val EVENT_STREAM = "text/event-stream"

/**
 * The answer to the request of [context].
 *
 * @property isClosing whether the server is about to close its connections.
 */
internal class HttpCallerResponse(
    private val context: Context,
    private val isClosing: () -> Boolean,
) : CallerResponse {
    private var isEventStream = false

    override fun sendHead(status: Int, headers: List<HeaderField>) {
        val servletResponse = context.res()
        servletResponse.status = status
        headers.forEach { servletResponse.addHeader(it.name, it.value) }
        isEventStream = servletResponse.contentType?.startsWith(EVENT_STREAM) == true
        setConnectionHeader()
        servletResponse.flushBuffer()
    }

    override fun sendChunk(bytes: ByteArray) {
        val output = context.res().outputStream
        output.write(bytes)
        output.flush()
    }

    override fun abort(detail: String) {
        if (isEventStream) {
            val problem = outcomeUnknown(detail, "the answer is incomplete; send the request again")
            runCatching { sendChunk("\nevent: error\ndata: ${problem.toJson()}\n\n".encodeToByteArray()) }
        }
        // Closing the socket without the terminating chunk is the only way to show that the body is incomplete.
        ServletContextRequest
            .getServletContextRequest(context.req())
            ?.connectionMetaData
            ?.connection
            ?.endPoint
            ?.close()
    }

    /** Sends [problem] instead of an answer. */
    fun sendProblem(problem: Problem) {
        val servletResponse = context.res()
        servletResponse.status = problem.status
        servletResponse.contentType = "application/problem+json"
        servletResponse.setHeader(CallerHeaders.OUTCOME, problem.outcome.text)
        problem.retryAfterSeconds?.let { servletResponse.setHeader("Retry-After", "$it") }
        problem.ticket?.let { servletResponse.setHeader(CallerHeaders.TICKET, it) }
        setConnectionHeader()
        servletResponse.outputStream.write(problem.toJson().encodeToByteArray())
    }

    private fun setConnectionHeader() {
        if (isClosing()) context.res().setHeader("Connection", "close")
    }
}

/*
 * Writes answers to callers' HTTP connections.
 */
package io.jaybeam.entry.calls

import io.javalin.http.Context
import io.jaybeam.entry.answer.CallerConnection
import io.jaybeam.wire.HeaderField

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
    private val connection = CallerConnection(context)
    private var isHeadSent = false
    private var isEventStream = false

    override fun sendHead(status: Int, headers: List<HeaderField>) {
        val servletResponse = context.res()
        servletResponse.status = status
        headers.forEach { servletResponse.addHeader(it.name, it.value) }
        isEventStream = servletResponse.contentType?.startsWith(EVENT_STREAM) == true
        setConnectionHeader()
        connection.prepareHead()
        isHeadSent = true
        servletResponse.flushBuffer()
    }

    override fun sendChunk(bytes: ByteArray) {
        val output = context.res().outputStream
        output.write(bytes)
        output.flush()
    }

    override fun explainTruncation(detail: String) {
        if (isEventStream) {
            val problem = outcomeUnknown(detail, "the answer is incomplete; send the request again")
            runCatching { sendChunk("\nevent: error\ndata: ${problem.toJson()}\n\n".encodeToByteArray()) }
        }
    }

    /** States that all of the answer has been written. */
    fun complete() = connection.complete()

    /** Ends the answer; closes the connection if the answer is not complete, so that it does not look complete. */
    fun close() = connection.closeUnlessComplete()

    /** Sends [problem] instead of an answer. If part of an answer was sent, that answer stays incomplete. */
    fun sendProblem(problem: Problem) {
        if (isHeadSent) return explainTruncation(problem.detail)
        val servletResponse = context.res()
        servletResponse.status = problem.status
        servletResponse.contentType = "application/problem+json"
        servletResponse.setHeader(CallerHeaders.OUTCOME, problem.outcome.text)
        problem.retryAfterSeconds?.let { servletResponse.setHeader("Retry-After", "$it") }
        problem.ticket?.let { servletResponse.setHeader(CallerHeaders.TICKET, it) }
        setConnectionHeader()
        servletResponse.outputStream.write(problem.toJson().encodeToByteArray())
        complete()
    }

    private fun setConnectionHeader() {
        if (isClosing()) context.res().setHeader("Connection", "close")
    }
}

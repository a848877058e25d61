/*
 * Ends answers on callers' connections.
 *
 * An answer is incomplete until its sender states that it is complete. Whatever else ends it, an exception, a stopping server or
 * the end of the process, therefore leaves an answer that its caller recognises as incomplete: one in chunks lacks the last chunk,
 * one with a length is too short, and the connection of one that ends with its connection is reset.
 */
package io.jaybeam.entry.answer

import io.javalin.http.Context
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.EndPoint
import java.net.StandardSocketOptions
import java.nio.channels.SocketChannel

// SO_LINGER of 0 s resets the connection when it is closed, even by the end of the process.
private const val RESET_ON_CLOSE = 0
private const val REGULAR_CLOSE = -1

/** The connection on which the answer to the request of [context] is sent. Used by the thread that serves the request. */
internal class CallerConnection(
    private val context: Context,
) {
    private val endPoint: EndPoint =
        ServletContextRequest
            .getServletContextRequest(context.req())
            .connectionMetaData.connection.endPoint
    private var isResetOnClose = false
    private var isComplete = false

    /** Framing of an answer of unknown length. */
    val framing: AnswerFraming get() = framingOf(context.req())

    /** Prepares the head of an answer, whose headers have been set, so that the end of its body can be recognised. */
    fun prepareHead() {
        val servletResponse = context.res()
        if (servletResponse.containsHeader("Content-Length")) return
        when (framing) {
            // Without this header, Jetty ends the body with the connection if either side asks for the connection to be closed.
            AnswerFraming.CHUNKS -> servletResponse.setHeader("Transfer-Encoding", "chunked")
            AnswerFraming.CONNECTION -> resetOnClose(true)
            AnswerFraming.LENGTH -> Unit
        }
    }

    /** States that the answer is complete. */
    fun complete() {
        if (isResetOnClose) resetOnClose(false)
        isComplete = true
    }

    /** Closes the connection unless the answer is complete. */
    fun closeUnlessComplete() {
        if (!isComplete) endPoint.close()
    }

    private fun resetOnClose(isReset: Boolean) {
        val channel = endPoint.transport as? SocketChannel ?: return
        channel.setOption(StandardSocketOptions.SO_LINGER, if (isReset) RESET_ON_CLOSE else REGULAR_CLOSE)
        isResetOnClose = isReset
    }
}

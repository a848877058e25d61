/*
 * Ends answers on callers' connections.
 *
 * An answer is incomplete until its sender states that it is complete. Whatever else ends it, an exception, a stopping server or
 * the end of the process, therefore leaves an answer that its caller recognises as incomplete: one in chunks lacks the last chunk,
 * and one with a length is too short.
 */
package io.jaybeam.entry.answer

import io.javalin.http.Context
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.EndPoint

/** The connection on which the answer to the request of [context] is sent. Used by the thread that serves the request. */
internal class CallerConnection(
    private val context: Context,
) {
    private val endPoint: EndPoint =
        ServletContextRequest
            .getServletContextRequest(context.req())
            .connectionMetaData.connection.endPoint
    private var isComplete = false

    /** States that the answer is complete. */
    fun complete() {
        isComplete = true
    }

    /** Closes the connection unless the answer is complete. */
    fun closeUnlessComplete() {
        if (!isComplete) endPoint.close()
    }
}

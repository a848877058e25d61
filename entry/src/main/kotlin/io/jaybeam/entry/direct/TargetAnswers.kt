/*
 * Properties of targets' answers.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.entry.answer.AnswerFraming
import okhttp3.Response

/** How the target marks the end of the answer. */
internal val Response.framing: AnswerFraming
    get() =
        when {
            header("Content-Length") != null -> AnswerFraming.LENGTH
            header("Transfer-Encoding") != null -> AnswerFraming.CHUNKS
            else -> AnswerFraming.CONNECTION
        }

/** Whether the answer states no content type or that of an event stream. */
internal val Response.mayBeEventStream: Boolean
    get() {
        val contentType = body.contentType() ?: return true
        return contentType.type == "text" && contentType.subtype == "event-stream"
    }

/** Whether [received] is the event stream that this call asks for. */
internal fun DirectCall.expectsEventsIn(received: Response): Boolean =
    route.kind == RouteKind.STREAM && method != "HEAD" && received.code == HTTP_OK && received.mayBeEventStream

private const val HTTP_OK = 200

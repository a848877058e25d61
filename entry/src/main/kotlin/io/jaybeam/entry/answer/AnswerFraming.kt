/*
 * How the end of an answer is marked.
 */
package io.jaybeam.entry.answer

import jakarta.servlet.http.HttpServletRequest

private const val HTTP_1_1 = "HTTP/1.1"

/** Way in which the receiver of an answer recognises its end. */
internal enum class AnswerFraming {
    /** The head states the length of the body. */
    LENGTH,

    /** The body ends with an empty chunk. */
    CHUNKS,

    /** The body ends with the connection, so that a regular close means that the answer is complete. */
    CONNECTION,
}

/** Returns the framing of an answer of unknown length to [request]. Callers of HTTP/1.0 do not support chunks. */
internal fun framingOf(request: HttpServletRequest): AnswerFraming =
    if (request.protocol == HTTP_1_1) AnswerFraming.CHUNKS else AnswerFraming.CONNECTION

/*
 * Answers of targets as they are passed on to callers.
 */
package io.jaybeam.entry.direct

import io.jaybeam.platform.Header
import io.jaybeam.platform.isForwardedToCaller
import okhttp3.Response

/** A short answer that was read completely before it is relayed, with the header that states its length. */
internal class BufferedAnswer(
    val status: Int,
    val headers: List<Header>,
    val body: ByteArray,
)

/** Returns [received] with its whole [body]; [isForHead] if it answers a HEAD request, which has no body. */
internal fun bufferedAnswerOf(received: Response, body: ByteArray, isForHead: Boolean): BufferedAnswer {
    val lengthBytes = if (isForHead) statedLengthBytesOrNull(received) else body.size.toLong()
    val lengthHeader = lengthBytes?.let { Header("Content-Length", "$it") }
    return BufferedAnswer(received.code, headersForCaller(received, keepLength = false) + listOfNotNull(lengthHeader), body)
}

/** Returns the length that the body of [received] would have if the request were not HEAD; null if that is not stated. */
private fun statedLengthBytesOrNull(received: Response): Long? {
    if (received.header("Transfer-Encoding") != null) return null
    return received.header("Content-Length")?.toLongOrNull()?.takeIf { it >= 0 }
}

/**
 * Returns the headers of [received] that its caller gets: those whose value is known, and the length of the body if [keepLength] and it
 * is known.
 */
internal fun headersForCaller(received: Response, keepLength: Boolean): List<Header> {
    val forwarded =
        received.headers
            .filter { (name, _) -> isForwardedToCaller(name) }
            .mapNotNull { (name, value) -> callerTextOrNull(value)?.let { Header(name, it) } }
    // Chunks take precedence over a stated length, so the header alone does not tell the length of the body.
    val lengthBytes = received.body.contentLength()
    return if (keepLength && lengthBytes >= 0) forwarded + Header("Content-Length", "$lengthBytes") else forwarded
}

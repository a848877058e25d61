/*
 * Answers that targets make, and the seal by which a caller recognizes them.
 */
package io.jaybeam.soak

import java.security.MessageDigest
import kotlin.random.Random

/** A whole answer to the request with [requestId]. */
internal class Answer(
    val requestId: String,
    val status: Int,
    val body: ByteArray,
    private val isStream: Boolean = false,
) {
    val seal: String = sealOf(requestId, status, body)

    fun bytes(): ByteArray = headWith("HTTP/1.1 $status ${reasons[status]}") + framedBody()

    /** The answer with one status line more, that of an error, in its head. */
    fun bytesWithSecondStatusLine(): ByteArray =
        headWith("HTTP/1.1 $status ${reasons[status]}\r\nHTTP/1.1 500 ${reasons[STATUS_ERROR]}") + framedBody()

    fun headSize(): Int = bytes().size - framedBody().size

    private fun headWith(statusLines: String): ByteArray {
        val framing = if (isStream) "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked" else "Content-Length: ${body.size}"
        val notRun = if (status == STATUS_NOT_RUN) "Not-Run: 1\r\n" else ""
        return "$statusLines\r\nRequest-Id: $requestId\r\nResponse-Seal: $seal\r\n$notRun$framing\r\n\r\n".toByteArray()
    }

    private fun framedBody(): ByteArray {
        if (!isStream) return body
        val events =
            body
                .decodeToString()
                .split("\n\n")
                .filter { it.isNotEmpty() }
                .map { "$it\n\n" }
        return (events.joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" } + "0\r\n\r\n").toByteArray()
    }
}

internal const val STATUS_OK = 200
internal const val STATUS_ERROR = 500
internal const val STATUS_NOT_RUN = 503
private const val HEX = 16
private val reasons = mapOf(STATUS_OK to "OK", STATUS_ERROR to "Internal Server Error", STATUS_NOT_RUN to "Service Unavailable")

internal fun sealOf(requestId: String, status: Int, body: ByteArray): String {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("$requestId $status ".toByteArray())
    return digest.digest(body).take(SEAL_BYTES).joinToString("") { "%02x".format(it) }
}

private const val SEAL_BYTES = 12

/** A body drawn from [random]: mostly short, now and then longer than an entry keeps before it passes it on. */
internal fun drawBody(random: Random, isStream: Boolean): ByteArray {
    if (isStream) return (1..random.nextInt(1, MAX_EVENTS)).joinToString("") { "id: $it\ndata: ${random.nextLong()}\n\n" }.toByteArray()
    val size = if (random.nextInt(LONG_BODY_ONE_IN) == 0) random.nextInt(LONG_BODY_BYTES) else random.nextInt(SHORT_BODY_BYTES)
    return random.nextBytes(size)
}

private const val MAX_EVENTS = 12
private const val LONG_BODY_ONE_IN = 25
private const val LONG_BODY_BYTES = 200_000
private const val SHORT_BODY_BYTES = 3_000

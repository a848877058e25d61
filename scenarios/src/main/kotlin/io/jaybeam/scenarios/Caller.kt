/*
 * HTTP client that acts as a caller: sends streamed chat completions and calls to plain services.
 */
package io.jaybeam.scenarios

import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException

private const val READ_TIMEOUT_MILLIS = 60_000L
private const val NANOS_PER_MILLI = 1_000_000.0

/** Outcome of a call. */
public sealed class Reply {
    /** A complete answer; times are in milliseconds from the start of the call. */
    public data class Whole(
        val status: Int,
        val body: String,
        val firstByteMillis: Double,
        val totalMillis: Double,
    ) : Reply()

    /** A refusal by jaybeam; [outcome] is "not run" or "outcome unknown". */
    public data class Refused(
        val status: Int,
        val outcome: String,
        val body: String,
        val ticket: String?,
    ) : Reply()

    /** The connection failed, or closed before the answer was complete. */
    public data class Cut(
        val detail: String,
        val partial: String,
    ) : Reply()
}

/** Headers of a call; a null value omits the header. */
public data class CallOptions(
    val organisation: String = "north-lens",
    val tier: String? = null,
    val idempotencyKey: String? = null,
    val ticket: String? = null,
    val bookingName: String? = null,
    val deadlineMillis: Long? = null,
    val isNotRepeatable: Boolean = false,
)

/** Sends calls to entries, without retries. Calls block until the answer is complete. */
public class Caller(
    private val client: OkHttpClient = singleAttemptClient(HttpTimeouts(connectMillis = 2_000, readMillis = READ_TIMEOUT_MILLIS)),
) {
    /** Requests a streamed chat completion of [tokens] tokens. */
    public fun chat(
        entryUrl: String,
        prompt: String,
        tokens: Int,
        options: CallOptions = CallOptions(),
    ): Reply = post("$entryUrl/v1/chat/completions", chatRequestBody(prompt, tokens), options)

    /** Sends a booking to the plain service. */
    public fun book(entryUrl: String, options: CallOptions): Reply =
        post("$entryUrl/services/$PLAIN_SERVICE/bookings", """{"item":"lens"}""", options)

    /** Requests a ticket for the plain service; returns null if none is issued. */
    public fun ticketOrNull(entryUrl: String, options: CallOptions = CallOptions()): String? =
        (post("$entryUrl/jaybeam/tickets?service=$PLAIN_SERVICE", "", options) as? Reply.Whole)?.body

    /** Posts the JSON text [body] to [url]. */
    public fun post(url: String, body: String, options: CallOptions): Reply {
        val received = StringBuilder()
        val startNanos = System.nanoTime()
        return try {
            client.newCall(buildRequest(url, body, options)).execute().use { readReply(it, received, startNanos) }
        } catch (e: IOException) {
            Reply.Cut(e.message ?: e.toString(), "$received")
        }
    }

    private fun readReply(response: Response, received: StringBuilder, startNanos: Long): Reply {
        var firstByteNanos = 0L
        val buffer = ByteArray(BUFFER_BYTES)
        val stream = response.body.byteStream()
        while (true) {
            val count = stream.read(buffer)
            if (count < 0) break
            if (firstByteNanos == 0L) firstByteNanos = System.nanoTime()
            received.append(String(buffer, 0, count))
        }
        val outcome = response.header("Jaybeam-Outcome")
        if (outcome != null) return Reply.Refused(response.code, outcome, "$received", response.header("Jaybeam-Ticket"))
        return Reply.Whole(
            response.code,
            "$received",
            millisBetween(startNanos, firstByteNanos),
            millisBetween(startNanos, System.nanoTime()),
        )
    }

    private fun buildRequest(url: String, body: String, options: CallOptions): Request {
        val builder = Request.Builder().url(url).post(body.toRequestBody("application/json".toMediaType()))
        builder.header("Jaybeam-Organisation", options.organisation)
        options.tier?.let { builder.header("Jaybeam-Tier", it) }
        options.idempotencyKey?.let { builder.header("Idempotency-Key", it) }
        options.ticket?.let { builder.header("Jaybeam-Ticket", it) }
        options.bookingName?.let { builder.header("X-Booking", it) }
        options.deadlineMillis?.let { builder.header("Jaybeam-Deadline-Millis", "$it") }
        if (options.isNotRepeatable) builder.header("Jaybeam-Not-Repeatable", "true")
        return builder.build()
    }

    private fun millisBetween(fromNanos: Long, toNanos: Long) = (toNanos - fromNanos) / NANOS_PER_MILLI
}

private const val BUFFER_BYTES = 8_192

private const val END_EVENT = "data: [DONE]\n\n"

/** Returns the request body for a streamed answer of [tokens] tokens. */
private fun chatRequestBody(prompt: String, tokens: Int) =
    """{"model":"$MODEL_SERVICE","messages":[{"role":"user","content":"$prompt"}],"max_tokens":$tokens,"stream":true}"""

/**
 * Returns whether this is the stand-in engine's complete answer to exactly this request: the echo of the request, every token in
 * order and the end event.
 */
public fun Reply.Whole.isCompleteStream(prompt: String, tokens: Int): Boolean {
    val request = chatRequestBody(prompt, tokens)
    val echo = "data: {\"echo\":${request.length},\"hash\":${request.hashCode()}}\n\n"
    val content = (0 until tokens).joinToString("") { "data: {\"choices\":[{\"delta\":{\"content\":\"t$it \"}}]}\n\n" }
    return body == echo + content + END_EVENT
}

/*
 * A caller as the sites' own applications are: streamed chat completions and plain calls over HTTP.
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

private const val READ_MILLIS = 60_000L
private const val NANOS_PER_MILLI = 1_000_000.0

/** What a caller got. */
public sealed class Reply {
    /** A whole answer. */
    public data class Whole(
        val status: Int,
        val body: String,
        val firstByteMillis: Double,
        val totalMillis: Double,
    ) : Reply()

    /** A problem from jaybeam; [outcome] is "not run" or "outcome unknown". */
    public data class Refused(
        val status: Int,
        val outcome: String,
        val body: String,
        val ticket: String?,
    ) : Reply()

    /** The connection failed or the answer ended early. */
    public data class Cut(
        val detail: String,
        val partial: String,
    ) : Reply()
}

/** Headers of a call. */
public data class CallOptions(
    val organisation: String = "north-lens",
    val tier: String? = null,
    val key: String? = null,
    val ticket: String? = null,
    val booking: String? = null,
    val deadlineMillis: Long? = null,
    val notRepeatable: Boolean = false,
)

/** Sends calls to entries. Calls block. */
public class Caller(
    private val client: OkHttpClient = singleAttemptClient(HttpTimeouts(connectMillis = 2_000, readMillis = READ_MILLIS)),
) {
    /** Sends a streamed chat completion of [tokens] tokens. */
    public fun chat(
        entryUrl: String,
        prompt: String,
        tokens: Int,
        options: CallOptions = CallOptions(),
    ): Reply = post("$entryUrl/v1/chat/completions", chatBody(prompt, tokens), options)

    /** Sends a booking. */
    public fun book(entryUrl: String, options: CallOptions): Reply =
        post("$entryUrl/services/$PLAIN_SERVICE/bookings", """{"item":"lens"}""", options)

    /** Asks for a ticket for the plain service; null if none is given. */
    public fun ticketOrNull(entryUrl: String, options: CallOptions = CallOptions()): String? =
        (post("$entryUrl/jaybeam/tickets?service=$PLAIN_SERVICE", "", options) as? Reply.Whole)?.body

    /** Sends [body] to [url]. */
    public fun post(url: String, body: String, options: CallOptions): Reply {
        val received = StringBuilder()
        val startNanos = System.nanoTime()
        return try {
            client.newCall(request(url, body, options)).execute().use { read(it, received, startNanos) }
        } catch (e: IOException) {
            Reply.Cut(e.message ?: e.toString(), "$received")
        }
    }

    private fun read(response: Response, received: StringBuilder, startNanos: Long): Reply {
        var firstNanos = 0L
        val buffer = ByteArray(BUFFER_BYTES)
        val stream = response.body.byteStream()
        while (true) {
            val read = stream.read(buffer)
            if (read < 0) break
            if (firstNanos == 0L) firstNanos = System.nanoTime()
            received.append(String(buffer, 0, read))
        }
        val outcome = response.header("Jaybeam-Outcome")
        if (outcome != null) return Reply.Refused(response.code, outcome, "$received", response.header("Jaybeam-Ticket"))
        return Reply.Whole(response.code, "$received", millis(startNanos, firstNanos), millis(startNanos, System.nanoTime()))
    }

    private fun request(url: String, body: String, options: CallOptions): Request {
        val builder = Request.Builder().url(url).post(body.toRequestBody("application/json".toMediaType()))
        builder.header("Jaybeam-Organisation", options.organisation)
        options.tier?.let { builder.header("Jaybeam-Tier", it) }
        options.key?.let { builder.header("Idempotency-Key", it) }
        options.ticket?.let { builder.header("Jaybeam-Ticket", it) }
        options.booking?.let { builder.header("X-Booking", it) }
        options.deadlineMillis?.let { builder.header("Jaybeam-Deadline-Millis", "$it") }
        if (options.notRepeatable) builder.header("Jaybeam-Not-Repeatable", "true")
        return builder.build()
    }

    private fun millis(fromNanos: Long, toNanos: Long) = (toNanos - fromNanos) / NANOS_PER_MILLI
}

private const val BUFFER_BYTES = 8_192

private const val LAST_EVENT = "data: [DONE]\n\n"

/** Returns the body of a request for a streamed answer of [tokens] tokens. */
private fun chatBody(prompt: String, tokens: Int) =
    """{"model":"$MODEL_SERVICE","messages":[{"role":"user","content":"$prompt"}],"max_tokens":$tokens,"stream":true}"""

/** Returns whether this is the stand-in engine's answer to exactly this request: its echo, every token in order, the end. */
public fun Reply.Whole.isWholeStream(prompt: String, tokens: Int): Boolean {
    val request = chatBody(prompt, tokens)
    val echo = "data: {\"echo\":${request.length},\"hash\":${request.hashCode()}}\n\n"
    val content = (0 until tokens).joinToString("") { "data: {\"choices\":[{\"delta\":{\"content\":\"t$it \"}}]}\n\n" }
    return body == echo + content + LAST_EVENT
}

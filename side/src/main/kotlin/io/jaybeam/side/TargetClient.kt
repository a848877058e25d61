/*
 * HTTP client of the target. Each request is sent at most once.
 */
package io.jaybeam.side

import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.UNLIMITED_BODY
import io.jaybeam.runtime.http.endsWithConnection
import io.jaybeam.runtime.http.singleAttemptClient
import io.jaybeam.wire.Frame
import io.jaybeam.wire.HeaderField
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Headers
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okhttp3.internal.http.HttpMethod
import java.io.IOException

/** Health reported by a target. The defaults apply to members that the target does not report. */
@Serializable
internal data class TargetHealth(
    val incarnation: String = "",
    @SerialName("warm")
    val isWarm: Boolean = true,
)

/** Outcome of a call to the target. */
internal sealed class CallOutcome {
    /** The complete answer was received. */
    data object Complete : CallOutcome()

    /** No part of the request was sent. */
    data class NotSent(
        val detail: String,
    ) : CallOutcome()

    /** At least part of the request was sent, but the complete answer was not received. */
    data class Lost(
        val detail: String,
    ) : CallOutcome()
}

private val hopByHopHeaders =
    setOf("connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "host", "content-length", "proxy-connection")
private val healthJson = Json { ignoreUnknownKeys = true }
private const val READ_BUFFER_BYTES = 4_096
private const val LOWEST_FINAL_STATUS = 200
private const val EVENT_STREAM = "text/event-stream"
private const val HEALTH_TIMEOUT_MILLIS = 500L

/** Client of the target at [baseUrl]. Calls block. */
internal class TargetClient(
    private val baseUrl: String,
) {
    private val callClient =
        singleAttemptClient(HttpTimeouts(readMillis = 0), maxBodyBytes = UNLIMITED_BODY)
            .newBuilder()
            .eventListener(SendListener)
            .build()
    private val healthClient = singleAttemptClient(HttpTimeouts(HEALTH_TIMEOUT_MILLIS, HEALTH_TIMEOUT_MILLIS, HEALTH_TIMEOUT_MILLIS))

    /**
     * Returns the health of the target, or null if the target does not answer or its answer is not a success.
     *
     * A report that cannot be decoded yields the defaults of [TargetHealth].
     */
    fun healthOrNull(): TargetHealth? =
        try {
            healthClient.newCall(Request.Builder().url("$baseUrl/health").build()).execute().use { response ->
                if (!response.isSuccessful) null else healthJson.decodeFromString(TargetHealth.serializer(), response.body.string())
            }
        } catch (e: IOException) {
            null
        } catch (e: SerializationException) {
            TargetHealth()
        }

    /** Closes idle connections. A target that has restarted no longer accepts requests on them. */
    fun dropIdleConnections() {
        callClient.connectionPool.evictAll()
    }

    /** Returns a call for [execute] that is not started yet. */
    fun newCall(execute: Frame.Execute): TargetCall {
        val progress = SendProgress()
        return TargetCall(callClient.newCall(buildRequest(execute, progress)), progress)
    }

    private fun buildRequest(execute: Frame.Execute, progress: SendProgress): Request {
        val headers = Headers.Builder()
        execute.headers.filter { it.name.lowercase() !in hopByHopHeaders }.forEach { headers.addUnsafeNonAscii(it.name, it.value) }
        execute.tier?.let { headers["Jaybeam-Tier"] = it }
        headers["Jaybeam-Request-Id"] = execute.ticket?.id ?: execute.requestId
        val contentType =
            execute.headers
                .firstOrNull { it.name.equals("content-type", ignoreCase = true) }
                ?.value
                ?.toMediaTypeOrNull()
        val body = if (HttpMethod.permitsRequestBody(execute.method)) execute.body.toRequestBody(contentType) else null
        return Request
            .Builder()
            .url(baseUrl + execute.path)
            .headers(headers.build())
            .method(execute.method, body)
            .tag(SendProgress::class.java, progress)
            .build()
    }
}

/** How far the request of one call has been sent. */
internal class SendProgress {
    /** Whether sending has started. */
    @Volatile
    var hasStarted = false

    /** Whether sending has failed; the target may have answered nevertheless. */
    @Volatile
    var hasFailed = false
}

/** Records the [SendProgress] of calls. */
private object SendListener : EventListener() {
    override fun requestHeadersStart(call: Call) {
        call.request().tag(SendProgress::class.java)?.hasStarted = true
    }

    override fun requestFailed(call: Call, ioe: IOException) {
        call.request().tag(SendProgress::class.java)?.hasFailed = true
    }
}

/** One call to the target, which records how far its request has been sent in [progress]. */
internal class TargetCall(
    private val call: Call,
    private val progress: SendProgress,
) {
    /** Runs the call until it ends. [onHead] and [onBytes] receive the parts of the answer as they arrive. */
    fun run(onHead: (Int, List<HeaderField>) -> Unit, onBytes: (ByteArray) -> Unit): CallOutcome =
        try {
            call.execute().use { response -> readAnswer(response, onHead, onBytes) }
            CallOutcome.Complete
        } catch (e: IOException) {
            val detail = e.message ?: e.toString()
            if (progress.hasStarted) CallOutcome.Lost(detail) else CallOutcome.NotSent(detail)
        }

    /** Cancels the call, so that [run] returns. */
    fun cancel() {
        call.cancel()
    }

    /** @throws IOException if the answer is incomplete. */
    private fun readAnswer(response: Response, onHead: (Int, List<HeaderField>) -> Unit, onBytes: (ByteArray) -> Unit) {
        checkHead(response)
        val headers = response.headers.filter { it.first.lowercase() !in hopByHopHeaders }.map { HeaderField(it.first, it.second) }
        onHead(response.code, headers)
        val boundary = if (response.header("Content-Type").orEmpty().startsWith(EVENT_STREAM, ignoreCase = true)) EventBoundary() else null
        val source = response.body.byteStream()
        val buffer = ByteArray(READ_BUFFER_BYTES)
        while (true) {
            val byteCount = source.read(buffer)
            if (byteCount < 0) break
            if (byteCount == 0) continue
            val bytes = buffer.copyOf(byteCount)
            boundary?.add(bytes)
            onBytes(bytes)
        }
        if (boundary?.isAfterEvent == false) throw IOException("the stream ended in the middle of an event")
    }

    private fun checkHead(response: Response) {
        if (response.code < LOWEST_FINAL_STATUS) throw IOException("status ${response.code} is not that of a final answer")
        if (progress.hasFailed && response.endsWithConnection) {
            throw IOException("the connection failed while the request was sent, so the end of the answer cannot be recognised")
        }
    }
}

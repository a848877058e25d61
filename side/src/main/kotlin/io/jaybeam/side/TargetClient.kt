/*
 * Calls the target beside this process. Each request is sent at most once.
 */
package io.jaybeam.side

import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import io.jaybeam.wire.Frame
import io.jaybeam.wire.HeaderField
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
import java.util.concurrent.atomic.AtomicBoolean

/** What a target says of itself. */
@Serializable
internal data class TargetHealth(
    val incarnation: String = "",
    val warm: Boolean = true,
)

/** How a call to the target ended. */
internal sealed class CallEnd {
    /** The whole answer came. */
    data object Whole : CallEnd()

    /** No byte of the request was sent. */
    data class NotSent(
        val detail: String,
    ) : CallEnd()

    /** The request was sent, at least in part, and its answer is not whole. */
    data class Lost(
        val detail: String,
    ) : CallEnd()
}

private val hopByHop =
    setOf("connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "host", "content-length", "proxy-connection")
private val healthJson = Json { ignoreUnknownKeys = true }
private const val READ_BYTES = 4_096
private const val HEALTH_TIMEOUT_MILLIS = 500L

/** Calls the target at [baseUrl]. Calls block. */
internal class TargetClient(
    private val baseUrl: String,
) {
    private val calls =
        singleAttemptClient(HttpTimeouts(readMillis = 0))
            .newBuilder()
            .eventListenerFactory { call -> SentListener(call.request().tag(AtomicBoolean::class.java)) }
            .build()
    private val probes = singleAttemptClient(HttpTimeouts(HEALTH_TIMEOUT_MILLIS, HEALTH_TIMEOUT_MILLIS, HEALTH_TIMEOUT_MILLIS))

    /** Returns the target's health, or null if it does not answer. */
    fun healthOrNull(): TargetHealth? =
        try {
            probes.newCall(Request.Builder().url("$baseUrl/health").build()).execute().use { response ->
                if (!response.isSuccessful) null else healthJson.decodeFromString(TargetHealth.serializer(), response.body.string())
            }
        } catch (e: IOException) {
            null
        } catch (e: SerializationException) {
            TargetHealth()
        }

    /** Drops idle connections, which a target that started again has closed. */
    fun dropIdleConnections() {
        calls.connectionPool.evictAll()
    }

    /** Prepares the call for [execute]. */
    fun prepare(execute: Frame.Execute): TargetCall {
        val sent = AtomicBoolean()
        return TargetCall(calls.newCall(request(execute, sent)), sent)
    }

    private fun request(execute: Frame.Execute, sent: AtomicBoolean): Request {
        val headers = Headers.Builder()
        execute.headers.filter { it.name.lowercase() !in hopByHop }.forEach { headers.addUnsafeNonAscii(it.name, it.value) }
        execute.tier?.let { headers["Jaybeam-Tier"] = it }
        headers["Jaybeam-Request-Id"] = execute.ticket?.id ?: execute.requestId
        val type =
            execute.headers
                .firstOrNull { it.name.equals("content-type", ignoreCase = true) }
                ?.value
                ?.toMediaTypeOrNull()
        val body = if (HttpMethod.permitsRequestBody(execute.method)) execute.body.toRequestBody(type) else null
        return Request
            .Builder()
            .url(baseUrl + execute.path)
            .headers(headers.build())
            .method(execute.method, body)
            .tag(AtomicBoolean::class.java, sent)
            .build()
    }
}

/** Notes when a call begins to send its request. */
private class SentListener(
    private val sent: AtomicBoolean?,
) : EventListener() {
    override fun requestHeadersStart(call: Call) {
        sent?.set(true)
    }
}

/** One call to the target; [sent] turns true when its request begins to be sent. */
internal class TargetCall(
    private val call: Call,
    private val sent: AtomicBoolean,
) {
    /** Runs the call to its end; [onHead] and [onBytes] get the answer as it comes. */
    fun run(onHead: (Int, List<HeaderField>) -> Unit, onBytes: (ByteArray) -> Unit): CallEnd =
        try {
            call.execute().use { response -> relay(response, onHead, onBytes) }
            CallEnd.Whole
        } catch (e: IOException) {
            val detail = e.message ?: e.toString()
            if (sent.get()) CallEnd.Lost(detail) else CallEnd.NotSent(detail)
        }

    /** Gives the call up. */
    fun cancel() {
        call.cancel()
    }

    private fun relay(response: Response, onHead: (Int, List<HeaderField>) -> Unit, onBytes: (ByteArray) -> Unit) {
        val headers = response.headers.filter { it.first.lowercase() !in hopByHop }.map { HeaderField(it.first, it.second) }
        onHead(response.code, headers)
        val source = response.body.byteStream()
        val buffer = ByteArray(READ_BYTES)
        while (true) {
            val read = source.read(buffer)
            if (read < 0) return
            if (read > 0) onBytes(buffer.copyOf(read))
        }
    }
}

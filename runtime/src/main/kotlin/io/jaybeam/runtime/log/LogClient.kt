/*
 * Client of the platform's append-only log service.
 */
package io.jaybeam.runtime.log

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException

private val json = Json { ignoreUnknownKeys = true }
private val jsonMediaType = "application/json".toMediaType()

/** Records read from a stream, starting at [startOffset], which is later than the requested offset if records have expired. */
@Serializable
public data class LogPage(
    val firstOffset: Long,
    val startOffset: Long,
    val nextOffset: Long,
    val records: List<String>,
)

/** Offset that the log assigned to an appended record. */
@Serializable
public data class LogPosition(
    val offset: Long,
)

/** Reason why a call to the log service failed. */
public sealed class LogError {
    /** What failed and how to resolve it. */
    public abstract val message: String

    /** The log service gave no valid answer; an append may still have taken effect. */
    public data class NoAnswer(
        val detail: String,
    ) : LogError() {
        override val message: String get() = "the log service gave no valid answer ($detail); read the stream back before appending again"
    }

    /** The log service answered with an error status. */
    public data class ErrorStatus(
        val status: Int,
    ) : LogError() {
        override val message: String get() = "the log service answered status $status; check platform.logUrl and the service's health"
    }
}

/** Reads and appends records of the log service at [baseUrl]. Calls block. */
public class LogClient(
    private val baseUrl: String,
    private val client: OkHttpClient =
        singleAttemptClient(HttpTimeouts(readMillis = CALL_TIMEOUT_MILLIS, callMillis = CALL_TIMEOUT_MILLIS)),
) {
    /** Appends [record] and returns its offset. After [LogError.NoAnswer], the log may or may not contain the record. */
    public fun append(stream: String, record: String): Either<LogError, Long> {
        val url = "$baseUrl/streams/$stream".toHttpUrl()
        val request =
            Request
                .Builder()
                .url(url)
                .post(record.toRequestBody(jsonMediaType))
                .build()
        return call(request, LogPosition.serializer()).map { it.offset }
    }

    /** Reads records from offset [from] on, waiting up to [waitMillis] for the first one. */
    public fun read(stream: String, from: Long, waitMillis: Long): Either<LogError, LogPage> {
        val url =
            "$baseUrl/streams/$stream"
                .toHttpUrl()
                .newBuilder()
                .addQueryParameter("from", "$from")
                .addQueryParameter("waitMillis", "$waitMillis")
                .build()
        return call(Request.Builder().url(url).build(), LogPage.serializer())
    }

    private fun <T> call(request: Request, serializer: KSerializer<T>): Either<LogError, T> =
        try {
            client.newCall(request).execute().use { response ->
                if (response.isSuccessful) {
                    json
                        .decodeFromString(
                            serializer,
                            response.body.string(),
                        ).right()
                } else {
                    LogError.ErrorStatus(response.code).left()
                }
            }
        } catch (e: IOException) {
            LogError.NoAnswer(e.message ?: e.toString()).left()
        } catch (e: SerializationException) {
            LogError.NoAnswer("malformed answer: ${e.message}").left()
        }
}

private const val CALL_TIMEOUT_MILLIS = 4_000L

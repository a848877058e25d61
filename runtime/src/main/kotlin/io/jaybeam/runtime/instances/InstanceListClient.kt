/*
 * Client of the platform's list of live and leaving instances. The list lags.
 */
package io.jaybeam.runtime.instances

import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import java.io.IOException

/** What a process on an instance does. */
@Serializable
public enum class InstanceRole {
    /** Takes callers' requests. */
    ENTRY,

    /** Runs beside a target. */
    SIDE,
}

/** Whether the platform is about to take an instance away. */
@Serializable
public enum class InstancePhase {
    /** Serving. */
    LIVE,

    /** About to stop; it is given no new work. */
    LEAVING,
}

/** One line of the instance list. */
@Serializable
public data class ListedInstance(
    val instance: String,
    val role: InstanceRole,
    val dataCentre: String,
    val host: String,
    val port: Int,
    val service: String? = null,
    val phase: InstancePhase = InstancePhase.LIVE,
)

/** The list as a whole. */
@Serializable
public data class InstanceList(
    val instances: List<ListedInstance>,
)

private const val LIST_TIMEOUT_MILLIS = 2_000L
private val json = Json { ignoreUnknownKeys = true }

/** What a read of the list showed. */
public sealed class ListReading {
    /** The list as it is now. */
    public data class Changed(
        val list: InstanceList,
    ) : ListReading()

    /** The list is as it was at the last read. */
    public data object Unchanged : ListReading()

    /** The list could not be read; [message] says why and what stays in force. */
    public data class Failed(
        val message: String,
    ) : ListReading()
}

/** Reads the instance list at [baseUrl], whole only when its entity tag has changed. Calls block. Not thread-safe. */
public class InstanceListClient(
    private val baseUrl: String,
    private val client: OkHttpClient =
        singleAttemptClient(HttpTimeouts(readMillis = LIST_TIMEOUT_MILLIS, callMillis = LIST_TIMEOUT_MILLIS)),
) {
    private var entityTag: String? = null

    /** Reads the list. */
    public fun read(): ListReading {
        val request = Request.Builder().url("$baseUrl/instances")
        entityTag?.let { request.header("If-None-Match", it) }
        return try {
            client.newCall(request.build()).execute().use(::reading)
        } catch (e: IOException) {
            ListReading.Failed("the instance list did not answer (${e.message}); the last list stays in force")
        } catch (e: SerializationException) {
            ListReading.Failed("the instance list is malformed (${e.message}); the last list stays in force")
        }
    }

    private fun reading(response: Response): ListReading {
        if (response.code == HTTP_NOT_MODIFIED) return ListReading.Unchanged
        if (!response.isSuccessful) {
            return ListReading.Failed("the instance list answered status ${response.code}; check platform.instanceListUrl")
        }
        val list = json.decodeFromString(InstanceList.serializer(), response.body.string())
        entityTag = response.header("ETag")
        return ListReading.Changed(list)
    }
}

private const val HTTP_NOT_MODIFIED = 304

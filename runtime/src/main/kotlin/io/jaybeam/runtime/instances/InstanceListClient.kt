/*
 * Client of the platform's list of live and draining instances. The list lags behind the state of the instances.
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

/** Role of the process on an instance. */
@Serializable
public enum class InstanceRole {
    /** Accepts callers' requests. */
    ENTRY,

    /** Runs beside a target. */
    SIDE,
}

/** Whether the platform is about to remove an instance. */
@Serializable
public enum class InstancePhase {
    /** Serving. */
    LIVE,

    /** Draining: about to stop, and given no new work. */
    LEAVING,
}

/** One instance on the list. */
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

/** The complete list. */
@Serializable
public data class InstanceList(
    val instances: List<ListedInstance>,
)

private const val LIST_TIMEOUT_MILLIS = 2_000L
private val json = Json { ignoreUnknownKeys = true }

/** Result of reading the instance list. */
public sealed class InstanceListResult {
    /** The list has changed, or was read for the first time. */
    public data class Changed(
        val list: InstanceList,
    ) : InstanceListResult()

    /** The list has not changed since the last read. */
    public data object Unchanged : InstanceListResult()

    /** The list could not be read; [message] gives the reason and states which list stays in force. */
    public data class Failed(
        val message: String,
    ) : InstanceListResult()
}

/** Reads the instance list at [baseUrl], and its body only if its entity tag has changed. Calls block. Not thread-safe. */
public class InstanceListClient(
    private val baseUrl: String,
    private val client: OkHttpClient =
        singleAttemptClient(HttpTimeouts(readMillis = LIST_TIMEOUT_MILLIS, callMillis = LIST_TIMEOUT_MILLIS)),
) {
    private var entityTag: String? = null

    /** Reads the list. */
    public fun read(): InstanceListResult {
        val request = Request.Builder().url("$baseUrl/instances")
        entityTag?.let { request.header("If-None-Match", it) }
        return try {
            client.newCall(request.build()).execute().use(::toResult)
        } catch (e: IOException) {
            InstanceListResult.Failed("the instance list did not answer (${e.message}); the last list stays in force")
        } catch (e: SerializationException) {
            InstanceListResult.Failed("the instance list is malformed (${e.message}); the last list stays in force")
        }
    }

    private fun toResult(response: Response): InstanceListResult {
        if (response.code == HTTP_NOT_MODIFIED) return InstanceListResult.Unchanged
        if (!response.isSuccessful) {
            return InstanceListResult.Failed("the instance list answered status ${response.code}; check platform.instanceListUrl")
        }
        val list = json.decodeFromString(InstanceList.serializer(), response.body.string())
        entityTag = response.header("ETag")
        return InstanceListResult.Changed(list)
    }
}

private const val HTTP_NOT_MODIFIED = 304

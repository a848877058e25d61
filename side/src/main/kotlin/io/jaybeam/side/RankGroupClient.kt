/*
 * Orders to and reads of the rank group of a model engine, over the engine's HTTP port.
 */
package io.jaybeam.side

import io.jaybeam.core.rankgroup.RankOrder
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException

/** One rank as its engine reports it; [map] is the expert in each slot of all ranks. */
@Serializable
internal data class ReportedRank(
    val rank: Int,
    val version: Long,
    val prepared: Long,
    val held: Boolean,
    val map: List<Int>,
)

/** A rank group as its engine reports it. */
@Serializable
internal data class ReportedGroup(
    val incarnation: String,
    val ranks: List<ReportedRank>,
)

/** Popularity of experts and speed of ranks as an engine measured them. */
@Serializable
internal data class ReportedExperts(
    val loadByExpert: List<Double>,
    val speedByRank: List<Double>,
    val bytesPerExpert: Long,
)

@Serializable
private data class OrderBody(
    val incarnation: String,
    val fence: Long,
    val expected: Long,
    val version: Long,
    val map: List<Int>,
)

private const val TIMEOUT_MILLIS = 2_000L
private val json = Json { ignoreUnknownKeys = true }

/** Talks to the engine at [baseUrl]. Calls block. */
internal class RankGroupClient(
    private val baseUrl: String,
) {
    private val client = singleAttemptClient(HttpTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS, TIMEOUT_MILLIS))

    /** Reads all ranks; null if the engine has none or does not answer. */
    fun readOrNull(): ReportedGroup? = get("/ranks", ReportedGroup.serializer())

    /** Reads expert popularity; null if the engine does not answer. */
    fun expertsOrNull(): ReportedExperts? = get("/experts", ReportedExperts.serializer())

    /** Gives [order]; whether it was obeyed is seen at the next read. */
    fun give(
        order: RankOrder,
        incarnation: String,
        fence: Long,
        map: List<Int>,
    ) {
        val action =
            when (order) {
                is RankOrder.Prepare -> "prepare"
                is RankOrder.Hold -> "hold"
                is RankOrder.Switch -> "switch"
                is RankOrder.Resume -> "resume"
            }
        val body = OrderBody(incarnation, fence, order.expectedVersion, versionOf(order), map)
        val text = json.encodeToString(OrderBody.serializer(), body)
        val request =
            Request
                .Builder()
                .url(
                    "$baseUrl/ranks/${order.rank}/$action",
                ).post(text.toRequestBody("application/json".toMediaType()))
        try {
            client.newCall(request.build()).execute().close()
        } catch (e: IOException) {
            // An order whose answer is lost may have been obeyed; the next read tells.
        }
    }

    private fun versionOf(order: RankOrder): Long =
        when (order) {
            is RankOrder.Prepare -> order.version
            is RankOrder.Switch -> order.version
            is RankOrder.Hold, is RankOrder.Resume -> order.expectedVersion
        }

    private fun <T> get(path: String, serializer: KSerializer<T>): T? =
        try {
            client.newCall(Request.Builder().url(baseUrl + path).build()).execute().use { response ->
                if (response.isSuccessful) json.decodeFromString(serializer, response.body.string()) else null
            }
        } catch (e: IOException) {
            null
        } catch (e: SerializationException) {
            null
        }
}

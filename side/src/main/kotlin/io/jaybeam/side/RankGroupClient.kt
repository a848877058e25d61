/*
 * HTTP client of the rank group of a model engine: reads the state of its ranks and sends them orders.
 */
package io.jaybeam.side

import io.jaybeam.core.rankgroup.RankOrder
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException

/**
 * State of one rank, as reported by its engine.
 *
 * @property preparedVersion version of the map whose weights the rank has loaded in addition to those in use.
 * @property expertBySlot expert in each slot, starting with the slots of rank 0.
 */
@Serializable
internal data class ReportedRank(
    val rank: Int,
    val version: Long,
    @SerialName("prepared")
    val preparedVersion: Long,
    @SerialName("held")
    val isHeld: Boolean,
    @SerialName("map")
    val expertBySlot: List<Int>,
)

/** State of a rank group, as reported by its engine. */
@Serializable
internal data class ReportedGroup(
    val incarnation: String,
    val ranks: List<ReportedRank>,
)

/**
 * Load of the experts and speed of the ranks, as measured by an engine.
 *
 * @property loadByExpert tokens routed to each expert in a pass.
 * @property speedByRank tokens that each rank processes per unit of time.
 * @property bytesPerExpert size of the weights of one expert.
 */
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
    @SerialName("expected")
    val expectedVersion: Long,
    val version: Long,
    @SerialName("map")
    val expertBySlot: List<Int>,
)

private const val REQUEST_TIMEOUT_MILLIS = 2_000L
private val json = Json { ignoreUnknownKeys = true }

/** Client of the engine at [baseUrl]. Calls block. */
internal class RankGroupClient(
    private val baseUrl: String,
) {
    private val client = singleAttemptClient(HttpTimeouts(REQUEST_TIMEOUT_MILLIS, REQUEST_TIMEOUT_MILLIS, REQUEST_TIMEOUT_MILLIS))

    /** Returns the state of all ranks, or null if the engine has none or does not answer. */
    fun readGroupOrNull(): ReportedGroup? = get("/ranks", ReportedGroup.serializer())

    /** Returns the measured load of the experts, or null if the engine does not answer. */
    fun readExpertsOrNull(): ReportedExperts? = get("/experts", ReportedExperts.serializer())

    /**
     * Sends [order] with the engine's [incarnation] and fencing token [fence]; [expertBySlot] is the desired map, or empty.
     *
     * Whether the engine executed the order is visible only in the next state that is read.
     */
    fun sendOrder(
        order: RankOrder,
        incarnation: String,
        fence: Long,
        expertBySlot: List<Int>,
    ) {
        val action =
            when (order) {
                is RankOrder.Prepare -> "prepare"
                is RankOrder.Hold -> "hold"
                is RankOrder.Switch -> "switch"
                is RankOrder.Resume -> "resume"
            }
        val body = OrderBody(incarnation, fence, order.expectedVersion, versionOf(order), expertBySlot)
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
            // The order may have been executed even if the answer was lost; the state read next shows it.
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

/*
 * Stand-in for the weight store, which limits the rate of its transfers.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import kotlinx.serialization.Serializable

@Serializable
private data class WeightStoreFaults(
    val bytesPerSecond: Long,
)

private const val DEFAULT_BYTES_PER_SECOND = 10_000_000_000L

/** Answers each request after the time that the requested bytes take at the configured rate; transfers do not overlap. */
internal class WeightStoreStandIn {
    @Volatile
    private var bytesPerSecond = DEFAULT_BYTES_PER_SECOND
    private var idleAtNanos = System.nanoTime()

    fun start(port: Int) {
        startStandInServer(port) {
            ApiBuilder.post("/control") { bytesPerSecond = it.bodyAsJson(WeightStoreFaults.serializer()).bytesPerSecond }
            ApiBuilder.get("/weights/{expert}") {
                val bytes = it.queryParam("bytes")?.toLong() ?: 0
                Thread.sleep(reserveTransferMillis(bytes))
                it.result("ok")
            }
        }
    }

    @Synchronized
    private fun reserveTransferMillis(bytes: Long): Long {
        val now = System.nanoTime()
        idleAtNanos = maxOf(idleAtNanos, now) + bytes * 1_000_000_000 / bytesPerSecond
        return (idleAtNanos - now) / 1_000_000
    }
}

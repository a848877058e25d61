/*
 * Stand-in for the rate-limited weight store.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import kotlinx.serialization.Serializable

@Serializable
private data class WeightFaults(
    val bytesPerSecond: Long,
)

private const val DEFAULT_BYTES_PER_SECOND = 10_000_000_000L

/** Answers after the time that the bytes take at its rate. */
internal class WeightStoreStandIn {
    @Volatile
    private var bytesPerSecond = DEFAULT_BYTES_PER_SECOND
    private var freeAtNanos = System.nanoTime()

    fun start(port: Int) {
        serveStandIn(port) {
            ApiBuilder.post("/control") { bytesPerSecond = it.read(WeightFaults.serializer()).bytesPerSecond }
            ApiBuilder.get("/weights/{expert}") {
                val bytes = it.queryParam("bytes")?.toLong() ?: 0
                Thread.sleep(reserve(bytes))
                it.result("ok")
            }
        }
    }

    @Synchronized
    private fun reserve(bytes: Long): Long {
        val now = System.nanoTime()
        freeAtNanos = maxOf(freeAtNanos, now) + bytes * 1_000_000_000 / bytesPerSecond
        return (freeAtNanos - now) / 1_000_000
    }
}

/*
 * Stand-in for a plain service, such as bookings. Counts how often each booking ran, by the name that the caller gave it.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Faults that a plain service injects into its answers.
 *
 * @property delayMillis delay between running a call and answering it.
 * @property cutAfterBytes number of body bytes after which the connection is closed; negative to send complete answers.
 * @property status HTTP status of answers.
 * @property retryAfter value of the Retry-After header, or null to omit it.
 * @property isLeaving whether answers state that the service leaves.
 */
@Serializable
internal data class ServiceFaults(
    val delayMillis: Long = 0,
    val cutAfterBytes: Int = -1,
    val status: Int = 200,
    val retryAfter: String? = null,
    val isLeaving: Boolean = false,
)

@Serializable
private data class RunCounts(
    val runs: Map<String, Int>,
)

@Serializable
internal data class StandInHealth(
    val incarnation: String,
    val warm: Boolean,
)

/** Runs bookings, with faults that are set through `/control`. */
internal class PlainServiceStandIn {
    private val incarnation = UUID.randomUUID().toString()
    private val runCounts = ConcurrentHashMap<String, AtomicInteger>()

    @Volatile
    private var faults = ServiceFaults()

    fun start(port: Int) {
        startStandInServer(port) {
            ApiBuilder.get("/health") { it.respondJson(StandInHealth.serializer(), StandInHealth(incarnation, true)) }
            ApiBuilder.post("/control") { faults = it.bodyAsJson(ServiceFaults.serializer()) }
            ApiBuilder.get("/control/runs") {
                it.respondJson(RunCounts.serializer(), RunCounts(runCounts.mapValues { count -> count.value.get() }))
            }
            ApiBuilder.post("/<path>", ::handleCall)
            ApiBuilder.get("/<path>", ::handleCall)
        }
    }

    private fun handleCall(context: Context) {
        val activeFaults = faults
        val booking = context.header("X-Booking") ?: "unnamed"
        val count = runCounts.computeIfAbsent(booking) { AtomicInteger() }.incrementAndGet()
        if (activeFaults.delayMillis > 0) Thread.sleep(activeFaults.delayMillis)
        val body = """{"booking":"$booking","run":$count,"echo":"${context.body().length} bytes"}"""
        activeFaults.retryAfter?.let { context.header("Retry-After", it) }
        if (activeFaults.isLeaving) context.header("Jaybeam-Leaving", "1")
        context.status(activeFaults.status)
        if (activeFaults.cutAfterBytes < 0) {
            context.contentType("application/json").result(body)
            return
        }
        context.res().setContentLength(body.length)
        context.res().outputStream.write(body.encodeToByteArray(), 0, minOf(activeFaults.cutAfterBytes, body.length))
        context.res().flushBuffer()
        context.closeConnection()
    }
}

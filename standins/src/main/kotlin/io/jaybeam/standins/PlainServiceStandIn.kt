/*
 * Stand-in for a plain service, such as bookings, that counts every run by the caller's own name for it.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Faults of a plain service.
 *
 * @property delayMillis time between a run and its answer.
 * @property cutAfterBytes the answer ends there without being whole; negative for never.
 * @property status status of answers.
 * @property retryAfter value of a Retry-After header, if any.
 */
@Serializable
internal data class ServiceFaults(
    val delayMillis: Long = 0,
    val cutAfterBytes: Int = -1,
    val status: Int = 200,
    val retryAfter: String? = null,
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

/** Runs bookings. */
internal class PlainServiceStandIn {
    private val incarnation = UUID.randomUUID().toString()
    private val runs = ConcurrentHashMap<String, AtomicInteger>()

    @Volatile
    private var faults = ServiceFaults()

    fun start(port: Int) {
        serveStandIn(port) {
            ApiBuilder.get("/health") { it.answer(StandInHealth.serializer(), StandInHealth(incarnation, true)) }
            ApiBuilder.post("/control") { faults = it.read(ServiceFaults.serializer()) }
            ApiBuilder.get("/control/runs") { it.answer(RunCounts.serializer(), RunCounts(runs.mapValues { run -> run.value.get() })) }
            ApiBuilder.post("/<path>", ::run)
            ApiBuilder.get("/<path>", ::run)
        }
    }

    private fun run(context: Context) {
        val current = faults
        val name = context.header("X-Booking") ?: "unnamed"
        val count = runs.computeIfAbsent(name) { AtomicInteger() }.incrementAndGet()
        if (current.delayMillis > 0) Thread.sleep(current.delayMillis)
        val text = """{"booking":"$name","run":$count,"echo":"${context.body().length} bytes"}"""
        current.retryAfter?.let { context.header("Retry-After", it) }
        context.status(current.status)
        if (current.cutAfterBytes < 0) {
            context.contentType("application/json").result(text)
            return
        }
        context.res().setContentLength(text.length)
        context.res().outputStream.write(text.encodeToByteArray(), 0, minOf(current.cutAfterBytes, text.length))
        context.res().flushBuffer()
        context.cutConnection()
    }
}

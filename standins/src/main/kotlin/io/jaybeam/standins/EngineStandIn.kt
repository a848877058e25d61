/*
 * Stand-in for a model engine: a lock-step rank group that emits one token per step (forward pass) to each running stream.
 * It supports few concurrent requests during cold start and crashes when that limit is exceeded.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import java.net.URI
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Behaviour of an engine. Latencies are in milliseconds.
 *
 * @property coldConcurrency concurrent requests supported right after the start.
 * @property warmConcurrency concurrent requests supported once [coldMillis] have passed; the limit rises linearly until then.
 * @property graceMillis time after an unannounced return to cold start during which exceeding the limit does not crash the engine.
 */
@Serializable
internal data class EngineProfile(
    val coldConcurrency: Int = 2,
    val warmConcurrency: Int = 16,
    val coldMillis: Long = 3_000,
    val stepMillis: Long = 5,
    val coldStepFactor: Int = 6,
    val reportLagMillis: Long = 500,
    val graceMillis: Long = 300,
    val prefillMillis: Long = 10,
    val ranks: Int = 4,
    val fenced: Boolean = true,
    val cachedPrefixes: Int = 64,
    val experts: Int = 8,
    val slotsPerRank: Int = 3,
    val bytesPerExpert: Long = 1_000_000,
    val weightsUrl: String? = null,
)

@Serializable
private data class ExpertReport(
    val loadByExpert: List<Double>,
    val speedByRank: List<Double>,
    val bytesPerExpert: Long,
)

@Serializable
private data class ExpertLoad(
    val loadByExpert: List<Double>,
)

@Serializable
private data class EngineFault(
    val fallBackCold: Boolean = false,
    val crash: Boolean = false,
    val stallRank: Int = -1,
    val stallMillis: Long = 0,
)

@Serializable
private data class EngineReport(
    val requests: Int,
    val maxInFlight: Int,
    val inFlight: Int,
    val cacheHits: Int,
    val steps: Long,
    val mixedSteps: Long,
)

private const val KILLER_REQUEST_MARKER = "POISON"
private const val DEFAULT_MAX_TOKENS = 16
private const val PREFIX_CHARACTERS = 256
private const val NANOS_PER_MILLI = 1_000_000L
private const val HELD_POLL_INTERVAL_MILLIS = 1L

/** Serves chat completions and orders to ranks; faults are injected through `/control`. */
internal class EngineStandIn(
    private val profile: EngineProfile,
) {
    private val incarnation = UUID.randomUUID().toString()
    private val initialMap = List(profile.ranks * profile.slotsPerRank) { it % profile.experts }
    private val group = RankGroup(profile.ranks, incarnation, profile.fenced, initialMap, ::loadWeights)

    @Volatile
    private var loadByExpert = List(profile.experts) { 1.0 }
    private val inFlight = AtomicInteger()
    private val maxInFlight = AtomicInteger()
    private val requests = AtomicInteger()
    private val cacheHits = AtomicInteger()
    private val prefixCache =
        object : LinkedHashMap<Int, Unit>(profile.cachedPrefixes, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Int, Unit>) = size > profile.cachedPrefixes
        }

    @Volatile
    private var coldStartNanos = System.nanoTime()

    @Volatile
    private var graceUntilNanos = 0L

    fun start(port: Int) {
        thread(name = "steps", isDaemon = true) { runSteps() }
        startStandInServer(port) {
            ApiBuilder.get("/health") { it.respondJson(StandInHealth.serializer(), StandInHealth(incarnation, isReportedWarm())) }
            ApiBuilder.post("/control") { injectFault(it.bodyAsJson(EngineFault.serializer())) }
            ApiBuilder.get("/control/report") { it.respondJson(EngineReport.serializer(), engineReport()) }
            ApiBuilder.get("/experts") { it.respondJson(ExpertReport.serializer(), expertReport()) }
            ApiBuilder.post("/control/experts") { loadByExpert = it.bodyAsJson(ExpertLoad.serializer()).loadByExpert }
            ApiBuilder.get("/ranks") { it.respondJson(GroupState.serializer(), group.state()) }
            ApiBuilder.post("/ranks/{rank}/prepare") { handleOrder(it, group::prepare) }
            ApiBuilder.post("/ranks/{rank}/hold") { handleOrder(it, group::hold) }
            ApiBuilder.post("/ranks/{rank}/switch") { handleOrder(it, group::switch) }
            ApiBuilder.post("/ranks/{rank}/resume") { handleOrder(it, group::resume) }
            ApiBuilder.post("/v1/chat/completions", ::handleCompletion)
        }
    }

    private fun handleOrder(context: Context, action: (Int, RankOrder) -> Boolean) {
        val isAccepted = action(context.pathParam("rank").toInt(), context.bodyAsJson(RankOrder.serializer()))
        context.status(if (isAccepted) 200 else 409)
    }

    private fun runSteps() {
        while (true) {
            val stallMillis = group.stepOrNull()
            val stepMillis = if (warmFraction() < 1.0) profile.stepMillis * profile.coldStepFactor else profile.stepMillis
            Thread.sleep(if (stallMillis == null) HELD_POLL_INTERVAL_MILLIS else stepMillis + stallMillis)
        }
    }

    private fun handleCompletion(context: Context) {
        recordArrival()
        try {
            val body = standInJson.parseToJsonElement(context.body()) as JsonObject
            if (KILLER_REQUEST_MARKER in context.body()) crash("killer request")
            val tokens = (body["max_tokens"] as? JsonPrimitive)?.intOrNull ?: DEFAULT_MAX_TOKENS
            prefill(context.body())
            if ((body["stream"] as? JsonPrimitive)?.booleanOrNull == true) streamAnswer(context, tokens) else sendAnswer(context, tokens)
        } finally {
            inFlight.decrementAndGet()
        }
    }

    private fun recordArrival() {
        requests.incrementAndGet()
        val running = inFlight.incrementAndGet()
        maxInFlight.accumulateAndGet(running, ::maxOf)
        if (running > requestLimit() && System.nanoTime() > graceUntilNanos) crash("$running requests in flight, limit ${requestLimit()}")
    }

    private fun prefill(text: String) {
        val prefix = text.take(PREFIX_CHARACTERS).hashCode()
        val isCached = synchronized(prefixCache) { prefixCache.put(prefix, Unit) != null }
        if (isCached) cacheHits.incrementAndGet() else Thread.sleep(profile.prefillMillis)
    }

    private fun streamAnswer(context: Context, tokens: Int) {
        val response = context.res()
        response.contentType = "text/event-stream"
        response.outputStream.write(
            "data: {\"echo\":${context.body().length},\"hash\":${context.body().hashCode()}}\n\n".encodeToByteArray(),
        )
        var lastStep = group.stepCount
        repeat(tokens) { index ->
            lastStep = group.awaitStep(lastStep)
            response.outputStream.write("data: {\"choices\":[{\"delta\":{\"content\":\"t$index \"}}]}\n\n".encodeToByteArray())
            response.outputStream.flush()
        }
        response.outputStream.write("data: [DONE]\n\n".encodeToByteArray())
    }

    private fun sendAnswer(context: Context, tokens: Int) {
        var lastStep = group.stepCount
        repeat(tokens) { lastStep = group.awaitStep(lastStep) }
        val content = List(tokens) { "t$it" }.joinToString(" ")
        context.contentType("application/json").result("""{"choices":[{"message":{"role":"assistant","content":"$content"}}]}""")
    }

    private fun requestLimit(): Int {
        val range = profile.warmConcurrency - profile.coldConcurrency
        return profile.coldConcurrency + (range * warmFraction()).toInt()
    }

    private fun warmFraction(): Double {
        if (profile.coldMillis == 0L) return 1.0
        val elapsedMillis = (System.nanoTime() - coldStartNanos) / NANOS_PER_MILLI
        return (elapsedMillis.toDouble() / profile.coldMillis).coerceIn(0.0, 1.0)
    }

    private fun isReportedWarm(): Boolean {
        val reportedNanos = System.nanoTime() - profile.reportLagMillis * NANOS_PER_MILLI
        return reportedNanos < coldStartNanos || reportedNanos - coldStartNanos > profile.coldMillis * NANOS_PER_MILLI
    }

    private fun injectFault(fault: EngineFault) {
        if (fault.crash) crash("requested through /control")
        if (fault.stallRank >= 0) group.setStall(fault.stallRank, fault.stallMillis)
        if (fault.fallBackCold) {
            graceUntilNanos = System.nanoTime() + profile.graceMillis * NANOS_PER_MILLI
            coldStartNanos = System.nanoTime()
        }
    }

    private fun expertReport(): ExpertReport {
        val speedByRank = group.state().lastStepRankMillis.map { 1.0 / it }
        return ExpertReport(loadByExpert, speedByRank, profile.bytesPerExpert)
    }

    private fun loadWeights(slots: Int) {
        val url = profile.weightsUrl ?: return
        URI("$url/weights/slots?bytes=${slots * profile.bytesPerExpert}").toURL().openStream().use { it.readAllBytes() }
    }

    private fun engineReport() =
        EngineReport(requests.get(), maxInFlight.get(), inFlight.get(), cacheHits.get(), group.stepCount, group.state().mixedSteps)

    private fun crash(reason: String) {
        System.err.println("engine falls over: $reason")
        Runtime.getRuntime().halt(1)
    }
}

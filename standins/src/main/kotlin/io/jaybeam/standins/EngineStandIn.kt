/*
 * Stand-in for a model engine: a lock-step rank group that gives each running stream one token a step, bears
 * little while cold and falls over past what it bears.
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
 * How an engine behaves.
 *
 * @property coldConcurrency requests that it bears right after its start.
 * @property warmConcurrency requests that it bears [coldMillis] after its start.
 * @property graceMillis how long after an unannounced fall back into cold start its full load is still borne.
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

private const val KILLER_TEXT = "POISON"
private const val DEFAULT_TOKENS = 16
private const val PREFIX_BYTES = 256
private const val MILLIS_TO_NANOS = 1_000_000L
private const val HELD_POLL_MILLIS = 1L

/** One engine. */
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
    private val prefixes =
        object : LinkedHashMap<Int, Unit>(profile.cachedPrefixes, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Int, Unit>) = size > profile.cachedPrefixes
        }

    @Volatile
    private var coldSinceNanos = System.nanoTime()

    @Volatile
    private var graceUntilNanos = 0L

    fun start(port: Int) {
        thread(name = "steps", isDaemon = true) { step() }
        serveStandIn(port) {
            ApiBuilder.get("/health") { it.answer(StandInHealth.serializer(), StandInHealth(incarnation, reportedWarm())) }
            ApiBuilder.post("/control") { fault(it.read(EngineFault.serializer())) }
            ApiBuilder.get("/control/report") { it.answer(EngineReport.serializer(), report()) }
            ApiBuilder.get("/experts") { it.answer(ExpertReport.serializer(), experts()) }
            ApiBuilder.post("/control/experts") { loadByExpert = it.read(ExpertLoad.serializer()).loadByExpert }
            ApiBuilder.get("/ranks") { it.answer(GroupState.serializer(), group.state()) }
            ApiBuilder.post("/ranks/{rank}/prepare") { order(it, group::prepare) }
            ApiBuilder.post("/ranks/{rank}/hold") { order(it, group::hold) }
            ApiBuilder.post("/ranks/{rank}/switch") { order(it, group::switch) }
            ApiBuilder.post("/ranks/{rank}/resume") { order(it, group::resume) }
            ApiBuilder.post("/v1/chat/completions", ::complete)
        }
    }

    private fun order(context: Context, action: (Int, RankOrder) -> Boolean) {
        val done = action(context.pathParam("rank").toInt(), context.read(RankOrder.serializer()))
        context.status(if (done) 200 else 409)
    }

    private fun step() {
        while (true) {
            val stallMillis = group.stepOrNull()
            val base = if (warmShare() < 1.0) profile.stepMillis * profile.coldStepFactor else profile.stepMillis
            Thread.sleep(if (stallMillis == null) HELD_POLL_MILLIS else base + stallMillis)
        }
    }

    private fun complete(context: Context) {
        arrive()
        try {
            val body = standInJson.parseToJsonElement(context.body()) as JsonObject
            if (KILLER_TEXT in context.body()) die("killer request")
            val tokens = (body["max_tokens"] as? JsonPrimitive)?.intOrNull ?: DEFAULT_TOKENS
            prefill(context.body())
            if ((body["stream"] as? JsonPrimitive)?.booleanOrNull == true) stream(context, tokens) else whole(context, tokens)
        } finally {
            inFlight.decrementAndGet()
        }
    }

    private fun arrive() {
        requests.incrementAndGet()
        val now = inFlight.incrementAndGet()
        maxInFlight.accumulateAndGet(now, ::maxOf)
        if (now > borne() && System.nanoTime() > graceUntilNanos) die("$now requests in flight, ${borne()} borne")
    }

    private fun prefill(text: String) {
        val prefix = text.take(PREFIX_BYTES).hashCode()
        val hit = synchronized(prefixes) { prefixes.put(prefix, Unit) != null }
        if (hit) cacheHits.incrementAndGet() else Thread.sleep(profile.prefillMillis)
    }

    private fun stream(context: Context, tokens: Int) {
        val response = context.res()
        response.contentType = "text/event-stream"
        response.outputStream.write(
            "data: {\"echo\":${context.body().length},\"hash\":${context.body().hashCode()}}\n\n".encodeToByteArray(),
        )
        var seen = group.stepCount
        repeat(tokens) { index ->
            seen = group.awaitStep(seen)
            response.outputStream.write("data: {\"choices\":[{\"delta\":{\"content\":\"t$index \"}}]}\n\n".encodeToByteArray())
            response.outputStream.flush()
        }
        response.outputStream.write("data: [DONE]\n\n".encodeToByteArray())
    }

    private fun whole(context: Context, tokens: Int) {
        var seen = group.stepCount
        repeat(tokens) { seen = group.awaitStep(seen) }
        val content = List(tokens) { "t$it" }.joinToString(" ")
        context.contentType("application/json").result("""{"choices":[{"message":{"role":"assistant","content":"$content"}}]}""")
    }

    private fun borne(): Int {
        val span = profile.warmConcurrency - profile.coldConcurrency
        return profile.coldConcurrency + (span * warmShare()).toInt()
    }

    private fun warmShare(): Double {
        if (profile.coldMillis == 0L) return 1.0
        val sinceMillis = (System.nanoTime() - coldSinceNanos) / MILLIS_TO_NANOS
        return (sinceMillis.toDouble() / profile.coldMillis).coerceIn(0.0, 1.0)
    }

    private fun reportedWarm(): Boolean {
        val asOf = System.nanoTime() - profile.reportLagMillis * MILLIS_TO_NANOS
        return asOf < coldSinceNanos || asOf - coldSinceNanos > profile.coldMillis * MILLIS_TO_NANOS
    }

    private fun fault(fault: EngineFault) {
        if (fault.crash) die("asked to")
        if (fault.stallRank >= 0) group.stall(fault.stallRank, fault.stallMillis)
        if (fault.fallBackCold) {
            graceUntilNanos = System.nanoTime() + profile.graceMillis * MILLIS_TO_NANOS
            coldSinceNanos = System.nanoTime()
        }
    }

    private fun experts(): ExpertReport {
        val speeds = group.state().lastStepRankMillis.map { 1.0 / it }
        return ExpertReport(loadByExpert, speeds, profile.bytesPerExpert)
    }

    private fun loadWeights(slots: Int) {
        val url = profile.weightsUrl ?: return
        URI("$url/weights/slots?bytes=${slots * profile.bytesPerExpert}").toURL().openStream().use { it.readAllBytes() }
    }

    private fun report() =
        EngineReport(requests.get(), maxInFlight.get(), inFlight.get(), cacheHits.get(), group.stepCount, group.state().mixedSteps)

    private fun die(reason: String) {
        System.err.println("engine falls over: $reason")
        Runtime.getRuntime().halt(1)
    }
}

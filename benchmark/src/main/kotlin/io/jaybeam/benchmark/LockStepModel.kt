/*
 * Model of one group of ranks that run passes in lock-step, and of entries that place requests there and see only their own.
 *
 * A pass takes as long as the slowest rank's own part and the slowest rank's part of the experts, whose work all ranks share.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.cost.AgedRankLoad
import io.jaybeam.core.cost.RequestSize
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.RankLoad
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random

internal const val MODEL_SLOTS = 7
private const val TOKENS_PER_EVENT = 5
private const val MAX_EVENTS = 48
private const val MAX_PROMPT_TOKENS = 2_900
private const val MEDIAN_PROMPT_TOKENS = 700.0
private const val PROMPT_SPREAD = 0.62
private const val MEDIAN_EVENTS = 15.0
private const val EVENT_SPREAD = 0.6
private const val ORGANISATIONS = 24
private const val ORGANISATION_SPREAD = 0.5
private const val HINT_SPREAD = 0.8
private const val SLOW_FACTOR = 1.6
private const val EXPERT_SKEW = 0.3
private const val REPORT_MILLIS = 100L
private const val MODEL_MILLIS = 60_000.0
private const val WARM_UP_MILLIS = 6_000.0

/** Figures of an engine like those that operators configure. */
internal fun modelEngine(memoryTokens: Long, expertShare: Double) =
    EngineModel(
        batchSlots = MODEL_SLOTS,
        stepsPerPass = TOKENS_PER_EVENT,
        stepMillis = 4.55,
        stepMillisPerRequest = 1.56,
        expertSets = 12,
        experts = 128,
        slotsPerRank = 5,
        newExpertsPerChange = 2,
        expertMegabytes = 420.0,
        expertShare = expertShare,
        meanAnswerTokens = 97,
        weightMegabitsPerSecond = 92_000.0,
        reportLagMillis = 200,
        readTokensPerSecond = 61_400.0,
        readMillisPerMillionPairs = 0.525,
        readTokensPerStep = 512,
        stepMillisPerThousandTokens = 0.03,
        memoryTokens = memoryTokens,
        meanPromptTokens = 868,
    )

/**
 * The load of a run: [requestsPerSecond] for each rank, [slowRanks] that work slowly, and the memory of each rank, which reports
 * each [reportMillis].
 */
internal data class LockStepLoad(
    val ranks: Int,
    val entries: Int,
    val requestsPerSecond: Double,
    val slowRanks: Int,
    val memoryTokens: Long,
    val expertShare: Double,
    val reportMillis: Long = REPORT_MILLIS,
)

/** A request of the model. */
internal class SizedRequest(
    val arrivedMillis: Double,
    val entry: Int,
    val organisation: String,
    val size: RequestSize,
    val events: Int,
) {
    val promptTokens = checkNotNull(size.promptTokens)
    var toReadTokens = promptTokens.toDouble()
    var writtenEvents = 0
    var firstEventMillis = 0.0
    var lastEventMillis = 0.0
    var longestGapMillis = 0.0
    val contextTokens get() = promptTokens + writtenEvents * TOKENS_PER_EVENT
    val answerTokens get() = events * TOKENS_PER_EVENT
    val work get() = promptTokens + 10 * answerTokens
}

/** A rank of the model. */
internal class ModelRank(
    val slowness: Double,
    val expertSkew: Double,
) {
    val waiting = ArrayDeque<SizedRequest>()
    val running = mutableListOf<SizedRequest>()
    var report: RankLoad? = null
    val requests get() = waiting.size + running.size
}

/** Places requests, and receives their progress and their end. */
internal interface PlacementPolicy {
    fun pick(request: SizedRequest, ranks: List<ModelRank>): Int

    fun onSent(request: SizedRequest, rank: Int) = Unit

    fun onEvent(request: SizedRequest, rank: Int) = Unit

    fun onEnd(request: SizedRequest, rank: Int) = Unit
}

/** What a run has shown. */
internal class LockStepResult {
    val ended = mutableListOf<SizedRequest>()
    val passMillis = mutableListOf<Double>()
    val skews = mutableListOf<Double>()
    var preemptions = 0
}

/** One run of the policy that [createPolicy] makes under [load]; requests depend on [seed] alone. */
internal class LockStepModel(
    private val load: LockStepLoad,
    seed: Long,
    createPolicy: (nowMillis: () -> Long) -> PlacementPolicy,
) {
    val engine = modelEngine(load.memoryTokens, load.expertShare)
    private val random = Random(seed)
    private val ranks =
        List(load.ranks) {
            ModelRank(if (it < load.slowRanks) SLOW_FACTOR else 1.0, 1.0 + EXPERT_SKEW * random.nextDouble())
        }
    private val organisationFactors = List(ORGANISATIONS) { exp(ORGANISATION_SPREAD * gaussian()) }
    private val result = LockStepResult()
    private var nowMillis = 0.0
    private var reportedMillis = 0.0
    private val policy = createPolicy { nowMillis.toLong() }

    fun run(): LockStepResult {
        var next = nextRequest(0.0)
        while (nowMillis < MODEL_MILLIS) {
            if (ranks.all { it.requests == 0 }) nowMillis = maxOf(nowMillis, next.arrivedMillis)
            val passStartMillis = nowMillis
            val passMillis = startPass()
            val passEndMillis = passStartMillis + passMillis
            while (next.arrivedMillis <= passEndMillis) {
                nowMillis = next.arrivedMillis
                reportIfDue()
                val rank = policy.pick(next, ranks)
                ranks[rank].waiting += next
                policy.onSent(next, rank)
                next = nextRequest(next.arrivedMillis)
            }
            nowMillis = passEndMillis
            endPass()
        }
        return result
    }

    private fun reportIfDue() {
        if (nowMillis - reportedMillis < load.reportMillis) return
        reportedMillis = nowMillis
        ranks.forEachIndexed { index, rank ->
            val used = rank.running.sumOf { it.contextTokens.toLong() }
            rank.report =
                RankLoad(HostPort("127.0.0.1", 1), index, rank.running.size, rank.waiting.size, used, load.memoryTokens, rank.slowness)
        }
    }

    /** Age of the reports of all ranks. */
    val reportAgeMillis get() = (nowMillis - reportedMillis).toLong()

    fun reportOf(rank: Int) = ranks[rank].report?.let { AgedRankLoad(it, reportAgeMillis) }

    private fun nextRequest(afterMillis: Double): SizedRequest {
        val arrivedMillis = afterMillis - ln(1 - random.nextDouble()) / (load.ranks * load.requestsPerSecond / 1_000)
        val organisation = random.nextInt(ORGANISATIONS)
        val prompt = (MEDIAN_PROMPT_TOKENS * exp(PROMPT_SPREAD * gaussian())).roundToInt().coerceIn(40, MAX_PROMPT_TOKENS)
        val events =
            (MEDIAN_EVENTS * organisationFactors[organisation] * exp(EVENT_SPREAD * gaussian())).roundToInt().coerceIn(1, MAX_EVENTS)
        val hint = (events * TOKENS_PER_EVENT * exp(HINT_SPREAD * gaussian())).roundToInt().coerceAtLeast(1)
        val size = RequestSize(prompt, MAX_EVENTS * TOKENS_PER_EVENT, hint)
        return SizedRequest(arrivedMillis, random.nextInt(load.entries), "org-$organisation", size, events)
    }

    /** Takes requests from the queues into the batches and returns the duration of the pass. */
    private fun startPass(): Double {
        val ownMillis = ranks.map { rank -> batchMillis(rank) }
        val meanMillis = ownMillis.average()
        val slowestOwn = ranks.indices.maxOf { ranks[it].slowness * ownMillis[it] } * (1 - load.expertShare)
        val slowestExperts = ranks.maxOf { it.slowness * it.expertSkew } * meanMillis * load.expertShare
        val baseMillis = engine.stepMillis * engine.stepsPerPass
        val passMillis = baseMillis + slowestOwn + slowestExperts
        if (nowMillis > WARM_UP_MILLIS) {
            result.passMillis += passMillis
            if (meanMillis > 0) result.skews += ranks.indices.maxOf { ranks[it].slowness * ownMillis[it] } / meanMillis
        }
        return passMillis
    }

    private fun batchMillis(rank: ModelRank): Double {
        while (rank.running.size < MODEL_SLOTS && rank.waiting.isNotEmpty()) {
            val head = rank.waiting.first()
            val used = rank.running.sumOf { it.contextTokens }
            if (rank.running.isNotEmpty() && used + head.contextTokens > load.memoryTokens) break
            rank.running += rank.waiting.removeFirst()
        }
        var millis = 0.0
        var readable = engine.readTokensPerStep * engine.stepsPerPass.toDouble()
        rank.running.forEach {
            if (it.toReadTokens > 0) {
                val tokens = minOf(it.toReadTokens, readable)
                readable -= tokens
                it.toReadTokens -= tokens
                millis += engine.readMillis(it.promptTokens) * tokens / it.promptTokens
            } else {
                millis += engine.stepMillisOf(it.contextTokens.toDouble()) * engine.stepsPerPass
            }
        }
        return millis
    }

    private fun endPass() {
        ranks.forEachIndexed { index, rank ->
            val ended = mutableListOf<SizedRequest>()
            rank.running.forEach { if (it.toReadTokens <= 0 && write(it, index)) ended += it }
            rank.running.removeAll(ended)
            preempt(rank)
        }
    }

    /** Writes an event of [request] and returns whether it was the last. */
    private fun write(request: SizedRequest, rank: Int): Boolean {
        if (request.writtenEvents == 0) {
            request.firstEventMillis = nowMillis
        } else {
            request.longestGapMillis = maxOf(request.longestGapMillis, nowMillis - request.lastEventMillis)
        }
        request.lastEventMillis = nowMillis
        request.writtenEvents += 1
        policy.onEvent(request, rank)
        if (request.writtenEvents < request.events) return false
        policy.onEnd(request, rank)
        if (request.arrivedMillis > WARM_UP_MILLIS) result.ended += request
        return true
    }

    private fun preempt(rank: ModelRank) {
        while (rank.running.size > 1 && rank.running.sumOf { it.contextTokens } > load.memoryTokens) {
            val newest = rank.running.removeLast()
            newest.toReadTokens = newest.contextTokens.toDouble()
            rank.waiting.addFirst(newest)
            if (nowMillis > WARM_UP_MILLIS) result.preemptions += 1
        }
    }

    private fun gaussian(): Double = (0 until GAUSSIAN_TERMS).sumOf { random.nextDouble() } - GAUSSIAN_TERMS / 2

    private companion object {
        const val GAUSSIAN_TERMS = 12
    }
}

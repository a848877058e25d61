/*
 * Simulation of targets and entries in virtual time that runs the real routing, queueing and retry code.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.admission.OfferResult
import io.jaybeam.core.admission.QueuedRequest
import io.jaybeam.core.admission.TierQueue
import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.config.TierClass
import io.jaybeam.core.routing.RetryBudget
import io.jaybeam.core.routing.TargetSnapshot
import io.jaybeam.core.ticket.TargetIncarnation
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

internal const val TARGET_COUNT = 12
internal const val BATCH_SLOTS = 12
private const val ENTRY_COUNT = 3
private const val QUEUE_CAPACITY = 32
private const val TOKENS_PER_ANSWER = 40
private const val STEP_MILLIS = 12.0
private const val CONTENTION_FACTOR = 0.6
private const val STRAGGLER_FACTOR = 2.0
private const val PREFIX_MISS_MILLIS = 120.0
private const val PREFIX_HIT_MILLIS = 10.0
private const val CACHED_PREFIXES = 40
private const val PREFIX_COUNT = 240
private const val REPORT_INTERVAL_MILLIS = 1_000.0
private const val REPORT_LAG_MILLIS = 300.0
private const val PATIENT_SHARE = 0.3
private const val LARGE_SHARE = 0.6
private const val ORGANISATION_COUNT = 10
private const val MAX_ATTEMPTS = 4
private const val RETRY_PERCENT = 20
private const val RETRY_BURST = 10
internal const val RUN_MILLIS = 120_000.0
private const val WARM_UP_MILLIS = 10_000.0

private val urgent = PriceTier("counter", TierClass.URGENT, 1_000, 12)
private val patient = PriceTier("overnight", TierClass.PATIENT, 20_000, 3)

/** A simulated request. */
internal class ModelRequest(
    val arrivedMillis: Double,
    val prefix: Int,
    val organisation: String,
    val tier: PriceTier,
    val entry: Int,
) {
    var attempts = 0
    val triedTargets = mutableSetOf<Int>()
}

/** Selects the index of the target for a request from the snapshots that an entry has; null if it selects none. */
internal fun interface ModelPolicy {
    fun pick(snapshots: List<TargetSnapshot>, request: ModelRequest): Int?
}

/** Counters and samples of one run. */
internal class ModelResult {
    val firstTokenMillis = mutableListOf<Double>()
    val tokenGapMillis = mutableListOf<Double>()
    var offeredUrgent = 0
    var finishedUrgent = 0
    var offeredPatient = 0
    var finishedPatient = 0
    var offeredSmall = 0
    var finishedSmall = 0
    var cacheHits = 0
    var startedRequests = 0
    var retries = 0
}

private class ModelTarget(
    val index: Int,
    val isStraggler: Boolean,
) {
    val queue = TierQueue<ModelRequest>(QUEUE_CAPACITY)
    var inFlight = 0
    private val cache =
        object : LinkedHashMap<Int, Unit>(CACHED_PREFIXES, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Int, Unit>) = size > CACHED_PREFIXES
        }

    fun lookUpAndCache(prefix: Int) = cache.put(prefix, Unit) != null

    fun stepMillis() = STEP_MILLIS * (if (isStraggler) STRAGGLER_FACTOR else 1.0) * (1 + CONTENTION_FACTOR * inFlight / BATCH_SLOTS)
}

private class ModelEntry {
    val reportedInFlight = IntArray(TARGET_COUNT)
    val sentSinceReport = IntArray(TARGET_COUNT)
    val reportedStepMillis = DoubleArray(TARGET_COUNT)
    val reportedAtMillis = DoubleArray(TARGET_COUNT)
    val retryBudget = RetryBudget(RETRY_BURST)
}

private class Event(
    val atMillis: Double,
    val action: () -> Unit,
)

/** One run of [policy] under a load of [loadPercent] of the capacity of the targets. */
internal class RoutingModel(
    private val policy: ModelPolicy,
    private val loadPercent: Int,
    seed: Long,
) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy { it.atMillis })
    private val targets = List(TARGET_COUNT) { ModelTarget(it, isStraggler = it == 0) }
    private val entries = List(ENTRY_COUNT) { ModelEntry() }
    private val result = ModelResult()
    private var nowMillis = 0.0

    fun run(): ModelResult {
        scheduleNextArrival()
        targets.forEach { target -> schedule(random.nextDouble() * REPORT_INTERVAL_MILLIS) { report(target) } }
        while (true) {
            val event = events.poll() ?: break
            if (event.atMillis > RUN_MILLIS) break
            nowMillis = event.atMillis
            event.action()
        }
        return result
    }

    private fun schedule(millis: Double, action: () -> Unit) {
        events += Event(millis, action)
    }

    private val isMeasured get() = nowMillis > WARM_UP_MILLIS && nowMillis < RUN_MILLIS - WARM_UP_MILLIS

    private fun scheduleNextArrival() {
        val busyMillis = TOKENS_PER_ANSWER * STEP_MILLIS * (1 + CONTENTION_FACTOR) + PREFIX_MISS_MILLIS / 2
        val arrivalsPerMilli = loadPercent / 100.0 * TARGET_COUNT * BATCH_SLOTS / busyMillis
        schedule(nowMillis - ln(1 - random.nextDouble()) / arrivalsPerMilli) {
            scheduleNextArrival()
            handleArrival()
        }
    }

    private fun handleArrival() {
        val organisation = if (random.nextDouble() < LARGE_SHARE) "large" else "small-${random.nextInt(ORGANISATION_COUNT - 1)}"
        val tier = if (random.nextDouble() < PATIENT_SHARE) patient else urgent
        val request = ModelRequest(nowMillis, random.nextInt(PREFIX_COUNT), organisation, tier, random.nextInt(ENTRY_COUNT))
        if (isMeasured) {
            if (tier == urgent) result.offeredUrgent += 1 else result.offeredPatient += 1
            if (organisation != "large") result.offeredSmall += 1
        }
        entries[request.entry].retryBudget.onFirstAttempt(RETRY_PERCENT)
        send(request)
    }

    private fun send(request: ModelRequest) {
        val entry = entries[request.entry]
        val snapshots = targets.filter { it.index !in request.triedTargets }.map { snapshot(entry, it.index) }
        val index = policy.pick(snapshots, request) ?: return
        request.triedTargets += index
        request.attempts += 1
        entry.sentSinceReport[index] += 1
        val target = targets[index]
        when (val offered = target.queue.offer(QueuedRequest(request, request.organisation, request.tier, nowMillis.toLong()))) {
            is OfferResult.Queued -> Unit
            is OfferResult.QueuedWithEviction -> retryOrDrop(offered.evicted.value)
            is OfferResult.Full -> retryOrDrop(request)
        }
        startQueued(target)
    }

    private fun retryOrDrop(request: ModelRequest) {
        if (request.attempts >= MAX_ATTEMPTS || !entries[request.entry].retryBudget.tryRetry()) return
        result.retries += 1
        schedule(nowMillis + 1) { send(request) }
    }

    private fun snapshot(entry: ModelEntry, index: Int) =
        TargetSnapshot(
            identity = TargetIncarnation("t$index", "a"),
            service = "chat",
            dataCentre = "dc",
            limit = BATCH_SLOTS,
            reportedInFlight = entry.reportedInFlight[index],
            sentSinceReport = entry.sentSinceReport[index],
            reportAgeMillis = (nowMillis - entry.reportedAtMillis[index]).toLong(),
            stepMillis = entry.reportedStepMillis[index],
        )

    private fun report(target: ModelTarget) {
        val load = target.inFlight + target.queue.size
        val sampledAtMillis = nowMillis
        val stepMillis = target.stepMillis()
        schedule(nowMillis + REPORT_LAG_MILLIS) {
            entries.forEach {
                it.reportedInFlight[target.index] = load
                it.reportedAtMillis[target.index] = sampledAtMillis
                it.sentSinceReport[target.index] = 0
                it.reportedStepMillis[target.index] = stepMillis
            }
        }
        schedule(nowMillis + REPORT_INTERVAL_MILLIS) { report(target) }
    }

    private fun startQueued(target: ModelTarget) {
        target.queue.removeOverdue(nowMillis.toLong()).forEach { retryOrDrop(it.value) }
        while (target.inFlight < BATCH_SLOTS) {
            val request = target.queue.poll(nowMillis.toLong())?.value ?: return
            start(target, request)
        }
    }

    private fun start(target: ModelTarget, request: ModelRequest) {
        target.inFlight += 1
        val isHit = target.lookUpAndCache(request.prefix)
        val stepMillis = target.stepMillis()
        val firstTokenAtMillis = nowMillis + (if (isHit) PREFIX_HIT_MILLIS else PREFIX_MISS_MILLIS) + stepMillis
        if (isMeasured) {
            result.startedRequests += 1
            if (isHit) result.cacheHits += 1
            if (request.tier == urgent) result.firstTokenMillis += firstTokenAtMillis - request.arrivedMillis
            result.tokenGapMillis += stepMillis
        }
        schedule(firstTokenAtMillis + stepMillis * (TOKENS_PER_ANSWER - 1)) { complete(target, request) }
    }

    private fun complete(target: ModelTarget, request: ModelRequest) {
        target.inFlight -= 1
        val isInWindow = request.arrivedMillis > WARM_UP_MILLIS && request.arrivedMillis < RUN_MILLIS - WARM_UP_MILLIS
        if (isInWindow) {
            if (request.tier == urgent) result.finishedUrgent += 1 else result.finishedPatient += 1
            if (request.organisation != "large") result.finishedSmall += 1
        }
        startQueued(target)
    }
}

/*
 * Targets and entries in virtual time, around the real routing, queueing and retry code.
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

internal const val TARGETS = 12
internal const val PLACES = 12
private const val ENTRIES = 3
private const val QUEUE_CAPACITY = 32
private const val TOKENS = 40
private const val STEP_MILLIS = 12.0
private const val CROWDING = 0.6
private const val STRAGGLER_FACTOR = 2.0
private const val MISS_MILLIS = 120.0
private const val HIT_MILLIS = 10.0
private const val CACHED_PREFIXES = 40
private const val PREFIXES = 240
private const val REPORT_MILLIS = 1_000.0
private const val REPORT_LAG_MILLIS = 300.0
private const val PATIENT_SHARE = 0.3
private const val LARGE_SHARE = 0.6
private const val ORGANISATIONS = 10
private const val MAX_ATTEMPTS = 4
private const val RETRY_PERCENT = 20
private const val RETRY_BURST = 10
internal const val RUN_MILLIS = 120_000.0
private const val SETTLE_MILLIS = 10_000.0

private val urgent = PriceTier("counter", TierClass.URGENT, 1_000, 12)
private val patient = PriceTier("overnight", TierClass.PATIENT, 20_000, 3)

/** A request of the model. */
internal class ModelRequest(
    val arrivedMillis: Double,
    val prefix: Int,
    val organisation: String,
    val tier: PriceTier,
    val entry: Int,
) {
    var attempts = 0
    val tried = mutableSetOf<Int>()
}

/** Chooses a target's index for a request from an entry's views. */
internal fun interface ModelPolicy {
    fun pick(views: List<TargetSnapshot>, request: ModelRequest): Int?
}

/** What a run came to. */
internal class ModelResult {
    val firstTokenMillis = mutableListOf<Double>()
    val tokenGapMillis = mutableListOf<Double>()
    var offeredUrgent = 0
    var finishedUrgent = 0
    var offeredPatient = 0
    var finishedPatient = 0
    var offeredSmall = 0
    var finishedSmall = 0
    var hits = 0
    var started = 0
    var retries = 0
}

private class ModelTarget(
    val index: Int,
    val straggler: Boolean,
) {
    val queue = TierQueue<ModelRequest>(QUEUE_CAPACITY)
    var inFlight = 0
    private val cache =
        object : LinkedHashMap<Int, Unit>(CACHED_PREFIXES, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Int, Unit>) = size > CACHED_PREFIXES
        }

    fun cached(prefix: Int) = cache.put(prefix, Unit) != null

    fun stepMillis() = STEP_MILLIS * (if (straggler) STRAGGLER_FACTOR else 1.0) * (1 + CROWDING * inFlight / PLACES)
}

private class ModelEntry {
    val reported = IntArray(TARGETS)
    val sent = IntArray(TARGETS)
    val reportedStep = DoubleArray(TARGETS)
    val reportedAt = DoubleArray(TARGETS)
    val budget = RetryBudget(RETRY_BURST)
}

private class Event(
    val atMillis: Double,
    val action: () -> Unit,
)

/** One run of [policy] at [loadPercent] of what the targets can do. */
internal class RoutingModel(
    private val policy: ModelPolicy,
    private val loadPercent: Int,
    seed: Long,
) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy { it.atMillis })
    private val targets = List(TARGETS) { ModelTarget(it, straggler = it == 0) }
    private val entries = List(ENTRIES) { ModelEntry() }
    private val result = ModelResult()
    private var now = 0.0

    fun run(): ModelResult {
        arriveNext()
        targets.forEach { target -> at(random.nextDouble() * REPORT_MILLIS) { report(target) } }
        while (true) {
            val event = events.poll() ?: break
            if (event.atMillis > RUN_MILLIS) break
            now = event.atMillis
            event.action()
        }
        return result
    }

    private fun at(millis: Double, action: () -> Unit) {
        events += Event(millis, action)
    }

    private val measured get() = now > SETTLE_MILLIS && now < RUN_MILLIS - SETTLE_MILLIS

    private fun arriveNext() {
        val busyMillis = TOKENS * STEP_MILLIS * (1 + CROWDING) + MISS_MILLIS / 2
        val perMilli = loadPercent / 100.0 * TARGETS * PLACES / busyMillis
        at(now - ln(1 - random.nextDouble()) / perMilli) {
            arriveNext()
            arrive()
        }
    }

    private fun arrive() {
        val organisation = if (random.nextDouble() < LARGE_SHARE) "large" else "small-${random.nextInt(ORGANISATIONS - 1)}"
        val tier = if (random.nextDouble() < PATIENT_SHARE) patient else urgent
        val request = ModelRequest(now, random.nextInt(PREFIXES), organisation, tier, random.nextInt(ENTRIES))
        if (measured) {
            if (tier == urgent) result.offeredUrgent += 1 else result.offeredPatient += 1
            if (organisation != "large") result.offeredSmall += 1
        }
        entries[request.entry].budget.onFirstAttempt(RETRY_PERCENT)
        send(request)
    }

    private fun send(request: ModelRequest) {
        val entry = entries[request.entry]
        val views = targets.filter { it.index !in request.tried }.map { view(entry, it.index) }
        val index = policy.pick(views, request) ?: return
        request.tried += index
        request.attempts += 1
        entry.sent[index] += 1
        val target = targets[index]
        when (val verdict = target.queue.offer(QueuedRequest(request, request.organisation, request.tier, now.toLong()))) {
            is OfferResult.Queued -> Unit
            is OfferResult.QueuedWithEviction -> refused(verdict.evicted.value)
            is OfferResult.Full -> refused(request)
        }
        startQueued(target)
    }

    private fun refused(request: ModelRequest) {
        if (request.attempts >= MAX_ATTEMPTS || !entries[request.entry].budget.tryRetry()) return
        result.retries += 1
        at(now + 1) { send(request) }
    }

    private fun view(entry: ModelEntry, index: Int) =
        TargetSnapshot(
            identity = TargetIncarnation("t$index", "a"),
            service = "chat",
            dataCentre = "dc",
            limit = PLACES,
            reportedInFlight = entry.reported[index],
            sentSinceReport = entry.sent[index],
            reportAgeMillis = (now - entry.reportedAt[index]).toLong(),
            stepMillis = entry.reportedStep[index],
        )

    private fun report(target: ModelTarget) {
        val load = target.inFlight + target.queue.size
        val madeAt = now
        val step = target.stepMillis()
        at(now + REPORT_LAG_MILLIS) {
            entries.forEach {
                it.reported[target.index] = load
                it.reportedAt[target.index] = madeAt
                it.sent[target.index] = 0
                it.reportedStep[target.index] = step
            }
        }
        at(now + REPORT_MILLIS) { report(target) }
    }

    private fun startQueued(target: ModelTarget) {
        target.queue.removeOverdue(now.toLong()).forEach { refused(it.value) }
        while (target.inFlight < PLACES) {
            val request = target.queue.poll(now.toLong())?.value ?: return
            start(target, request)
        }
    }

    private fun start(target: ModelTarget, request: ModelRequest) {
        target.inFlight += 1
        val hit = target.cached(request.prefix)
        val step = target.stepMillis()
        val firstAt = now + (if (hit) HIT_MILLIS else MISS_MILLIS) + step
        if (measured) {
            result.started += 1
            if (hit) result.hits += 1
            if (request.tier == urgent) result.firstTokenMillis += firstAt - request.arrivedMillis
            result.tokenGapMillis += step
        }
        at(firstAt + step * (TOKENS - 1)) { finish(target, request) }
    }

    private fun finish(target: ModelTarget, request: ModelRequest) {
        target.inFlight -= 1
        val inWindow = request.arrivedMillis > SETTLE_MILLIS && request.arrivedMillis < RUN_MILLIS - SETTLE_MILLIS
        if (inWindow) {
            if (request.tier == urgent) result.finishedUrgent += 1 else result.finishedPatient += 1
            if (request.organisation != "large") result.finishedSmall += 1
        }
        startQueued(target)
    }
}

/*
 * Metrics and state of an entry, served to operators.
 */
package io.jaybeam.entry.direct

import io.javalin.http.Context
import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.fleet.KnownGroup
import io.jaybeam.core.fleet.TargetLoad
import io.jaybeam.core.fleet.TargetNotices
import io.jaybeam.core.fleet.eraOfPosition
import io.jaybeam.runtime.observe.metricsRegistry
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.time.Duration
import kotlin.math.roundToLong

/** Metrics of one entry. Thread-safe. */
internal class EntryMetrics(
    private val cache: FleetCache,
    private val loads: TargetLoads,
    private val notices: TargetNotices,
    private val recovery: TargetRecovery,
    inFlight: () -> Int,
    private val waitingByUrgency: () -> List<Map<Urgency, Int>>,
    waitingAtGates: () -> Int,
    private val peerCount: () -> Int,
    private val blamedTraitCount: () -> Int,
    private val groups: GroupExchange,
) {
    private val registry = metricsRegistry()
    private val latency =
        Timer
            .builder("jaybeam.entry.call")
            .publishPercentileHistogram()
            .maximumExpectedValue(Duration.ofSeconds(MAX_EXPECTED_LATENCY_SECONDS))
            .register(registry)

    init {
        Gauge.builder("jaybeam.entry.calls.in.flight", inFlight).register(registry)
        Gauge.builder("jaybeam.entry.streams.waiting") { waitingByUrgency().sumOf { it.values.sum() } }.register(registry)
        Gauge.builder("jaybeam.entry.gates.closed") { recovery.closedCount }.register(registry)
        Gauge.builder("jaybeam.entry.gates.waiting", waitingAtGates).register(registry)
        FunctionCounter.builder("jaybeam.entry.gates.trials", recovery) { it.trialCount.toDouble() }.register(registry)
        Gauge.builder("jaybeam.entry.targets.gone") { recovery.goneCount }.register(registry)
        Gauge.builder("jaybeam.entry.peers", peerCount).register(registry)
        Gauge.builder("jaybeam.entry.traits.blamed", blamedTraitCount).register(registry)
        Gauge.builder("jaybeam.entry.targets.leaving") { listedTargets().count(notices::isLeaving) }.register(registry)
        Gauge.builder("jaybeam.entry.targets.paused") { listedTargets().count { notices.pauseMillisOf(it) > 0 } }.register(registry)
        Gauge.builder("jaybeam.entry.groups.known") { knownGroups().size }.register(registry)
        Gauge.builder("jaybeam.entry.groups.closed") { knownGroups().count { !it.report.isOpen } }.register(registry)
        Gauge.builder("jaybeam.entry.groups.age.millis") { oldestGroupAgeMillis() }.register(registry)
        Gauge.builder("jaybeam.config.version") { cache.snapshot.configVersion }.register(registry)
        Gauge.builder("jaybeam.targets.age.millis") { targetsAgeMillis() }.register(registry)
        Gauge.builder("jaybeam.store.era") { storeEra() }.register(registry)
    }

    /** Records the outcome of a call that took [durationNanos]. */
    fun recordCall(outcome: CallOutcome, durationNanos: Long) {
        latency.record(Duration.ofNanos(durationNanos))
        Counter
            .builder("jaybeam.entry.calls")
            .tag("outcome", outcomeLabel(outcome))
            .register(registry)
            .increment()
    }

    /** Records what came of a stream of [urgency] that waited for room, or was refused without waiting. */
    fun recordStreamHeld(urgency: Urgency, outcome: StreamQueueOutcome) {
        val result =
            when (outcome) {
                is StreamQueueOutcome.Passed -> "started"
                is StreamQueueOutcome.Refused -> "refused_${outcome.reason.name.lowercase()}"
                is StreamQueueOutcome.Moved -> "moved"
                is StreamQueueOutcome.CallerGone -> "caller_gone"
            }
        Timer
            .builder("jaybeam.entry.streams.held")
            .tag("urgency", "${urgency.rank}")
            .tag("result", result)
            .register(registry)
            .record(Duration.ofMillis(outcome.waitedMillis))
    }

    /** Records whether the retry budget of [service] allowed another attempt. */
    fun recordRetry(service: String, isAllowed: Boolean) {
        Counter
            .builder("jaybeam.entry.retries")
            .tag("service", service)
            .tag("allowed", "$isAllowed")
            .register(registry)
            .increment()
    }

    /** Records what a call to [service] has cost, relative to what was expected. */
    fun recordCost(service: String, ratio: Double) {
        DistributionSummary
            .builder("jaybeam.entry.cost.ratio")
            .tag("service", service)
            .register(registry)
            .record(ratio)
    }

    /** Serves `/metrics` and `/dump`. */
    fun serve(context: Context) {
        when (context.req().requestURI) {
            "/metrics" -> context.contentType("text/plain; version=0.0.4").result(registry.scrape())
            "/dump" -> context.contentType("application/json").result("${dump()}")
            else -> context.status(404).result("serves /metrics and /dump\n")
        }
    }

    private fun outcomeLabel(outcome: CallOutcome): String =
        when (outcome) {
            is CallOutcome.Answered -> "answered"
            is CallOutcome.Refused -> "refused_${outcome.refusal.name.lowercase()}"
            is CallOutcome.BrokenOff -> "broken_off"
            is CallOutcome.CallerGone -> "caller_gone"
        }

    private fun listedTargets() = cache.snapshot.targets.byId.values

    private fun knownGroups() = groups.view.groups(groups.nowMillis())

    private fun oldestGroupAgeMillis() = groups.nowMillis().let { now -> knownGroups().maxOfOrNull { now - it.trueAtMillis } ?: 0 }

    private fun storeEra() = cache.snapshot.let { eraOfPosition(maxOf(it.operatorPosition, it.targetsPosition)) }

    private fun targetsAgeMillis() = (System.nanoTime() - cache.snapshot.targetsReadAtNanos) / NANOS_PER_MILLI

    private fun dump(): JsonObject {
        val snapshot = cache.snapshot
        return buildJsonObject {
            put("configVersion", snapshot.configVersion)
            put("operatorPosition", snapshot.operatorPosition)
            put("targetsPosition", snapshot.targetsPosition)
            put("targetsAgeMillis", targetsAgeMillis())
            put("peers", peerCount())
            put("blamedTraits", blamedTraitCount())
            put("streamsWaitingByUrgency", streamsWaiting())
            put("dataCentresOut", JsonArray(snapshot.dataCentresOut.sorted().map(::JsonPrimitive)))
            put("groups", dumpGroups(knownGroups(), groups.nowMillis()))
            put(
                "targets",
                JsonArray(
                    snapshot.targets.byId.values
                        .map { dumpTarget(loads.of(it)) },
                ),
            )
        }
    }

    private fun streamsWaiting(): JsonObject {
        val counts = waitingByUrgency().flatMap { it.entries }.groupBy({ it.key.rank }, { it.value })
        return buildJsonObject { counts.toSortedMap().forEach { (rank, count) -> put("$rank", count.sum()) } }
    }

    private fun dumpTarget(load: TargetLoad): JsonObject =
        buildJsonObject {
            put("id", load.target.id)
            put("service", load.target.service)
            put("address", "${load.target.host}:${load.target.port}")
            put("dataCentre", load.target.dataCentre)
            put("isLeaving", load.target.isDraining || notices.isLeaving(load.target))
            put("pauseMillis", notices.pauseMillisOf(load.target))
            put("requests", load.requestsInFlight)
            put("recentFailures", load.recentFailures)
            put("backlogReadMillis", load.backlog.readMillis.roundToLong())
            put("backlogTokens", load.backlog.answerTokens.roundToLong())
            put("backlogMemoryTokens", load.backlog.memoryTokens.roundToLong())
            put("slowness", load.backlog.slowness)
        }

    private companion object {
        const val MAX_EXPECTED_LATENCY_SECONDS = 30L
    }
}

private fun dumpGroups(known: List<KnownGroup>, nowMillis: Long): JsonArray =
    JsonArray(
        known.map { group ->
            buildJsonObject {
                put("service", group.report.service)
                put("group", group.report.group)
                put("isOpen", group.report.isOpen)
                put("epoch", group.report.epoch)
                put("term", group.report.term)
                put("ranks", group.report.ranks.size)
                put("rankCount", group.report.rankCount)
                put("passMillis", group.report.passMillis)
                put("requests", group.report.ranks.sumOf { it.requestCount })
                put("ageMillis", nowMillis - group.trueAtMillis)
                put("loadsAgeMillis", group.loadsTrueAtMillis?.let { nowMillis - it })
            }
        },
    )

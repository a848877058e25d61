/*
 * Adds up what the requests that this entry has in flight are expected to cost at each target, and records recent failures of
 * targets.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.cost.AgedRankLoad
import io.jaybeam.core.cost.PlacedRequest
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.cost.TargetBacklog
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.TargetLoad
import io.jaybeam.core.fleet.TargetSilence
import java.util.concurrent.ConcurrentHashMap

/** Time for which a failure counts against a target, about as long as a group takes to detect a dead rank. */
private const val RECENT_FAILURE_NANOS = 1_500_000_000L

/**
 * Load of each target as seen by this entry. Thread-safe.
 *
 * @property reportOf returns what a target has reported; null if there is no recent report.
 */
internal class TargetLoads(
    private val nanoTime: () -> Long = System::nanoTime,
    private val reportOf: (FleetTarget) -> AgedRankLoad? = { null },
) {
    private inner class Load {
        val backlog = TargetBacklog { nanoTime() / NANOS_PER_MILLI }
        val silence = TargetSilence { nanoTime() / NANOS_PER_MILLI }

        @Volatile
        var lastFailureNanos: Long? = null
    }

    private val loadById = ConcurrentHashMap<String, Load>()

    /** Load of each target that has not been used. */
    private val unused = Load()

    /**
     * Records that a request with [cost] is about to be sent to the target with [id], which counts as silent if it sends nothing for
     * [silenceBoundMillis].
     */
    fun onRequestStart(id: String, cost: RequestCost, silenceBoundMillis: Long = Long.MAX_VALUE): PlacedRequest {
        val load = load(id)
        return load.backlog.start(cost).also { load.silence.onSent(it, silenceBoundMillis) }
    }

    /** Records that the target with [id] has begun to answer. */
    fun onSign(id: String) = load(id).silence.onSign()

    /** Records output of [request] at the target with [id], after which [restTokens] are expected. */
    fun onOutput(id: String, request: PlacedRequest, restTokens: Double) {
        load(id).backlog.onOutput(request, restTokens)
        load(id).silence.onOutput(request)
    }

    /** Records that the target with [id] took [actualMillis] for what usually takes [expectedMillis]. */
    fun onSpeed(id: String, actualMillis: Double, expectedMillis: Double) = load(id).backlog.onSpeed(actualMillis, expectedMillis)

    /** Records the end of [request] at the target with [id]; [hasFailed] if the target failed to answer it. */
    fun onRequestEnd(id: String, request: PlacedRequest, hasFailed: Boolean) {
        val load = load(id)
        load.backlog.end(request)
        load.silence.onEnd(request)
        if (hasFailed) load.lastFailureNanos = nanoTime()
    }

    /** Returns the load of [target]; requests of other entries, which its report shows, count as [typical]. */
    fun of(target: FleetTarget, typical: RequestCost = RequestCost.UNKNOWN): TargetLoad {
        val load = loadById[target.id] ?: unused
        val lastFailure = load.lastFailureNanos
        val recentFailures = if (lastFailure != null && nanoTime() - lastFailure < RECENT_FAILURE_NANOS) 1 else 0
        val backlog = load.backlog.summary(reportOf(target), typical)
        return TargetLoad(target, backlog.requests, recentFailures, backlog, load.silence.isAvoided)
    }

    /** Returns the number of requests that this entry has in flight at [target]. */
    fun ownRequests(target: FleetTarget): Int = loadById[target.id]?.backlog?.requestCount ?: 0

    /** Returns the age of the report of [target]; null if there is none. */
    fun reportAgeMillis(target: FleetTarget): Long? = reportOf(target)?.ageMillis

    /** Removes the targets whose id is not in [ids] and that have no request in flight. */
    fun retain(ids: Set<String>) {
        loadById.entries.removeIf { it.key !in ids && it.value.backlog.isIdle }
    }

    private fun load(id: String) = loadById.computeIfAbsent(id) { Load() }
}

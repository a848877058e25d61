/*
 * Counts the requests that this entry has in flight at each target, and records recent failures of targets.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.TargetLoad
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Time for which a failure counts against a target, about as long as a group takes to detect a dead rank. */
private const val RECENT_FAILURE_NANOS = 1_500_000_000L

/** Load of each target as seen by this entry. Thread-safe. */
internal class TargetLoads(
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private class Load {
        val requestsInFlight = AtomicInteger()

        @Volatile
        var lastFailureNanos: Long? = null
    }

    private val loadById = ConcurrentHashMap<String, Load>()

    /** Records that a request is about to be sent to the target with [id]. */
    fun onRequestStart(id: String) {
        load(id).requestsInFlight.incrementAndGet()
    }

    /** Records the end of a request at the target with [id]; [hasFailed] if the target failed to answer it. */
    fun onRequestEnd(id: String, hasFailed: Boolean) {
        val load = load(id)
        load.requestsInFlight.decrementAndGet()
        if (hasFailed) load.lastFailureNanos = nanoTime()
    }

    /** Returns the load of [target]. */
    fun of(target: FleetTarget): TargetLoad {
        val load = loadById[target.id] ?: return TargetLoad(target, 0, 0)
        val lastFailure = load.lastFailureNanos
        val recentFailures = if (lastFailure != null && nanoTime() - lastFailure < RECENT_FAILURE_NANOS) 1 else 0
        return TargetLoad(target, load.requestsInFlight.get(), recentFailures)
    }

    /** Removes the targets whose id is not in [ids] and that have no request in flight. */
    fun retain(ids: Set<String>) {
        loadById.entries.removeIf { it.key !in ids && it.value.requestsInFlight.get() == 0 }
    }

    private fun load(id: String) = loadById.computeIfAbsent(id) { Load() }
}

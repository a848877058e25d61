/*
 * Requests that this entry has under way at each target, and targets that failed a moment ago.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.TargetLoad
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Time for which a failure counts against a target: about that in which a group notices a dead rank. */
private const val FAILURE_NANOS = 1_500_000_000L

/** Loads by target. Thread-safe. */
internal class TargetLoads(
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private class Load {
        val requests = AtomicInteger()

        @Volatile
        var failedAtNanos: Long? = null
    }

    private val byId = ConcurrentHashMap<String, Load>()

    /** Notes that a request goes to the target called [id]. */
    fun begin(id: String) {
        load(id).requests.incrementAndGet()
    }

    /** Notes that a request left the target called [id]. */
    fun end(id: String, failed: Boolean) {
        val load = load(id)
        load.requests.decrementAndGet()
        if (failed) load.failedAtNanos = nanoTime()
    }

    /** Returns the load of [target]. */
    fun of(target: FleetTarget): TargetLoad {
        val load = byId[target.id] ?: return TargetLoad(target, 0, 0)
        val failedAt = load.failedAtNanos
        val failures = if (failedAt != null && nanoTime() - failedAt < FAILURE_NANOS) 1 else 0
        return TargetLoad(target, load.requests.get(), failures)
    }

    /** Forgets targets that are not in [ids] and have nothing under way. */
    fun retain(ids: Set<String>) {
        byId.entries.removeIf { it.key !in ids && it.value.requests.get() == 0 }
    }

    private fun load(id: String) = byId.computeIfAbsent(id) { Load() }
}

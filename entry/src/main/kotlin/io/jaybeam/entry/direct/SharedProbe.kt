/*
 * Shares the probes of a target among attempts that it ends at the same time, so that a crash with many requests in flight does not
 * open a connection for each of them.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import java.util.concurrent.ConcurrentHashMap

// Targets whose last probe is kept; a probe has no use once those that waited for it have its result.
private const val MAX_TARGETS = 1_024

/**
 * Runs one [probe] of a target at a time. Its result holds for all who asked before it began, and a refusal or a timeout also for
 * those who asked while it ran. Thread-safe.
 */
internal class SharedProbe(
    private val probe: TargetProbe,
) : TargetProbe {
    private class Result(
        val startNanos: Long,
        val endNanos: Long,
        val isRefusing: Boolean,
    ) {
        private val isFinal get() = isRefusing || endNanos - startNanos >= PROBE_TIMEOUT_MILLIS * NANOS_PER_MILLI

        fun holdsFor(askedNanos: Long) = startNanos - askedNanos >= 0 || (isFinal && endNanos - askedNanos >= 0)
    }

    private class LastProbe {
        var result: Result? = null
    }

    private val lastProbeByTargetId = ConcurrentHashMap<String, LastProbe>()

    override fun isRefusing(target: FleetTarget): Boolean {
        val askedNanos = System.nanoTime()
        if (lastProbeByTargetId.size > MAX_TARGETS) lastProbeByTargetId.clear()
        val lastProbe = lastProbeByTargetId.computeIfAbsent(target.id) { LastProbe() }
        return synchronized(lastProbe) {
            val result = lastProbe.result?.takeIf { it.holdsFor(askedNanos) } ?: run(target)
            lastProbe.result = result
            result.isRefusing
        }
    }

    private fun run(target: FleetTarget): Result {
        val startNanos = System.nanoTime()
        val isRefusing = probe.isRefusing(target)
        return Result(startNanos, System.nanoTime(), isRefusing)
    }
}

/*
 * Which of the listed targets are there, as far as the list and the entry's own requests show.
 *
 * Load pattern: an entry that starts with the list of before a power loss. Without this, all its first requests go to targets that are
 * gone, which have the fewest requests in flight as they turn each away at once.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.recovery.GoneTargets

// Targets announce themselves every 1 to 2 s, so that after this time all of them have done so since the entry began to read.
private const val YOUNG_MILLIS = 4_000L

/** Filters the targets of one entry, which started at [startedMillis]. Thread-safe. */
internal class TargetPresence(
    private val gone: GoneTargets,
    private val cache: FleetCache,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
    private val startedMillis: Long = nowMillis(),
) {
    /** Whether the entry has started so recently that targets may be missing from its list or wrongly on it. */
    val isYoung: Boolean get() = nowMillis() - startedMillis < YOUNG_MILLIS

    /** Returns those of [listed] that are there. */
    fun present(listed: List<FleetTarget>): List<FleetTarget> {
        val now = nowMillis()
        val successors = cache.snapshot.targets.successorById
        if (successors.isEmpty() && !gone.hasObservations) return listed
        val present = listed.filterNot { gone.isGone(it, now) || isSuperseded(it, successors[it.id], now) }
        return if (gone.hasObservations && isYoung) preferAnnounced(present) else present
    }

    /** A target whose successor is gone may hold its address after all, for example if the clock of the successor was wrong. */
    private fun isSuperseded(target: FleetTarget, successor: FleetTarget?, nowMillis: Long) =
        successor != null && !gone.isGone(successor, nowMillis) && successor.id != target.id

    /** Prefers targets that have announced themselves since the entry began to read, once others were found gone. */
    private fun preferAnnounced(targets: List<FleetTarget>): List<FleetTarget> {
        val firstPosition = cache.firstTargetsPosition ?: return targets
        return targets.filter { it.announcedPosition >= firstPosition }.ifEmpty { targets }
    }
}

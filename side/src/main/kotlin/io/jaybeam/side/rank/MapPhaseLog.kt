/*
 * Logs the phases of a change of the expert map.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.rankgroup.MapChangeCoordinator
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField

/** Logs each new phase once. Not thread-safe. */
internal class MapPhaseLog(
    private val events: EventLog,
) {
    private var loggedPhase = ""

    /** Logs the phase of [coordinator] if it is of another kind than the last one. */
    fun logIfChanged(coordinator: MapChangeCoordinator) {
        val name = coordinator.phase::class.simpleName.orEmpty()
        if (name == loggedPhase) return
        loggedPhase = name
        val lastPass = coordinator.lastReadings.values.maxOfOrNull { it.lastPass }
        val map =
            coordinator.lastReadings.values
                .map { it.mapVersion }
                .distinct()
                .joinToString("/")
        events.write(
            LogEvent.MAP_PHASE,
            LogField("phase", "${coordinator.phase}"),
            LogField("fence", "${coordinator.fence}"),
            LogField("lastPass", "$lastPass"),
            LogField("map", map),
            LogField("unansweredShare", "%.3f".format(coordinator.unansweredShare)),
            LogField("leadMillis", "${coordinator.leadTimeMillis}"),
        )
    }
}

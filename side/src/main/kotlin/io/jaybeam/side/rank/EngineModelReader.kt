/*
 * Reads the engine model of the group's service from the configuration in the platform's store.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField

// Interval at which the engine model is read again after the store has failed.
private const val READ_INTERVAL_MILLIS = 1_000L

/** Reads and keeps the engine model of [service]. Not thread-safe. */
internal class EngineModelReader(
    private val store: FleetStore,
    private val service: String?,
    private val events: EventLog,
) {
    private var isMissed = false
    private var lastReadAtMillis = 0L

    /** The model as of the last read; null if the service has none or the store failed. */
    var model: EngineModel? = null
        private set

    /** Reads the model. Call [readAgainIfDue] later, as the store may fail. */
    fun read(nowMillis: Long) {
        lastReadAtMillis = nowMillis
        isMissed = false
        model =
            store.readLatestOperatorUpdates().fold(
                { fault ->
                    events.write(LogEvent.STORE_LOST, LogField("follower", "coordinator"), LogField("detail", fault.detail))
                    isMissed = true
                    null
                },
                { logPage ->
                    val config =
                        logPage.updates
                            .filterIsInstance<OperatorUpdate.Published>()
                            .maxByOrNull { it.config.version }
                            ?.config
                    config?.services?.firstOrNull { it.name == service }?.engine
                },
            )
    }

    /** Reads the model again if the last read has failed some time ago; returns whether it did. */
    fun readAgainIfDue(nowMillis: Long): Boolean {
        val isDue = isMissed && nowMillis - lastReadAtMillis >= READ_INTERVAL_MILLIS
        if (isDue) read(nowMillis)
        return isDue
    }
}

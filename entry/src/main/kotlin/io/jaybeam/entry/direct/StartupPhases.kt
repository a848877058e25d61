/*
 * When an entry reached each step of its start, for one log line that shows what the first answer waited for.
 */
package io.jaybeam.entry.direct

import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** A step of the start of an entry. */
internal enum class StartupPhase(
    val label: String,
) {
    /** The program runs. */
    CODE("code"),

    /** Its ports are open. */
    PORTS("ports"),

    /** It has a configuration. */
    CONFIGURATION("configuration"),

    /** It has a list of targets. */
    TARGETS("targets"),

    /** A target has announced itself since. */
    ANNOUNCED("announced"),

    /** The gate of a service has opened after it was closed. */
    GATE("gate"),

    /** A target has begun to answer a request. */
    ANSWER("answer"),
}

/** Phases of the start of one process. Thread-safe. */
internal class StartupPhases(
    private val events: EventLog,
    private val sinceStartMillis: () -> Long = ::processAgeMillis,
) {
    private val reachedMillis = ConcurrentHashMap<StartupPhase, Long>()
    private val isLogged = AtomicBoolean()

    /** Records that [phase] is reached, if it was not before. */
    fun reach(phase: StartupPhase) {
        if (isLogged.get() || reachedMillis.containsKey(phase)) return
        reachedMillis.putIfAbsent(phase, sinceStartMillis())
    }

    /** Records what [snapshot] of the fleet shows; [firstTargetsPosition] is the position of the first list of targets. */
    fun onState(snapshot: FleetSnapshot, firstTargetsPosition: Long?) {
        if (isLogged.get()) return
        if (snapshot.routes != null) reach(StartupPhase.CONFIGURATION)
        if (snapshot.targets.byId.isNotEmpty()) reach(StartupPhase.TARGETS)
        if (firstTargetsPosition == null || reachedMillis.containsKey(StartupPhase.ANNOUNCED)) return
        val isAnnounced =
            snapshot.targets.byId.values
                .any { it.announcedPosition >= firstTargetsPosition && it.announcedPosition > 0 }
        if (isAnnounced) reach(StartupPhase.ANNOUNCED)
    }

    /** Records the first answer of a target, and logs all phases with it. */
    fun onAnswer() {
        if (isLogged.get()) return
        reach(StartupPhase.ANSWER)
        if (!isLogged.compareAndSet(false, true)) return
        val fields = StartupPhase.entries.map { LogField(it.label, reachedMillis[it]?.toString().orEmpty()) }
        events.write(LogEvent.RECOVERY_PHASES, *fields.toTypedArray())
    }
}

private fun processAgeMillis(): Long {
    val startedMillis =
        ProcessHandle
            .current()
            .info()
            .startInstant()
            .map { it.toEpochMilli() }
            .orElse(null)
    return if (startedMillis == null) 0 else System.currentTimeMillis() - startedMillis
}

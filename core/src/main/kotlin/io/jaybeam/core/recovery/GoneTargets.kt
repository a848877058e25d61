/*
 * Targets that are listed although nothing serves at their address, or another target does.
 *
 * Answers the load pattern of the seconds after a power loss: the list still has the targets of before, each request to one of them is
 * turned away, and hundreds of callers wait for the new ones.
 */
package io.jaybeam.core.recovery

import io.jaybeam.core.fleet.FleetTarget

/** What shows that a listed target is not there. */
public enum class GoneEvidence {
    /** Another target answered at its address. */
    ANOTHER_AT_ADDRESS,

    /** Its address refused a connection. It may be back at any time, without an announcement if it keeps its id. */
    CONNECTION_REFUSED,
}

/**
 * The targets of one instance that are gone, by incarnation. A target is no longer gone once it has announced itself again, or after a
 * time, since the list of targets may be cut off. Times are monotonic milliseconds. Thread-safe.
 */
public class GoneTargets {
    private data class Incarnation(
        val id: String,
        val startedAtEpochMillis: Long,
    )

    private data class Observation(
        val announcedPosition: Long,
        val untilMillis: Long,
    )

    private val observations =
        object : LinkedHashMap<Incarnation, Observation>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Incarnation, Observation>) = size > MAX_OBSERVATIONS
        }

    /** Whether any target has been found gone. */
    @Volatile
    public var hasObservations: Boolean = false
        private set

    /** Records [evidence] on [target] as it is listed; returns whether it was not known to be gone. */
    @Synchronized
    public fun onGone(target: FleetTarget, evidence: GoneEvidence, nowMillis: Long): Boolean {
        val isNew = !isGone(target, nowMillis)
        observations[incarnationOf(target)] = Observation(target.announcedPosition, nowMillis + lifetimeMillis(target, evidence))
        hasObservations = true
        return isNew
    }

    /** Whether [target], as it is listed, is gone at [nowMillis]. */
    public fun isGone(target: FleetTarget, nowMillis: Long): Boolean = hasObservations && isObservedGone(target, nowMillis)

    /** Returns the number of [targets] that are gone at [nowMillis]. */
    public fun count(targets: Collection<FleetTarget>, nowMillis: Long): Int = targets.count { isGone(it, nowMillis) }

    @Synchronized
    private fun isObservedGone(target: FleetTarget, nowMillis: Long): Boolean {
        val observation = observations[incarnationOf(target)] ?: return false
        return nowMillis < observation.untilMillis && target.announcedPosition <= observation.announcedPosition
    }

    private fun lifetimeMillis(target: FleetTarget, evidence: GoneEvidence): Long =
        when (evidence) {
            GoneEvidence.CONNECTION_REFUSED -> REFUSED_MILLIS

            // Without a position, an announcement cannot be told from the previous one.
            GoneEvidence.ANOTHER_AT_ADDRESS -> if (target.announcedPosition > 0) REPLACED_MILLIS else REFUSED_MILLIS
        }

    private fun incarnationOf(target: FleetTarget) = Incarnation(target.id, target.startedAtEpochMillis)

    private companion object {
        // A connection that is refused costs neither side anything, so it is tried again soon.
        const val REFUSED_MILLIS = 1_000L
        const val REPLACED_MILLIS = 10_000L

        // Twice the targets of a large fleet, so that each may be replaced once before the oldest are dropped.
        const val MAX_OBSERVATIONS = 20_000
    }
}

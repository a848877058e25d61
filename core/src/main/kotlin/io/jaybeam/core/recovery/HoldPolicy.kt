/*
 * Decides whether a request waits at a closed gate or is refused, and when its caller should return.
 *
 * Load pattern: all callers of a group in the seconds after its fall. A request that is refused at once is lost if its caller repeats it
 * only once; one that is held until its caller leaves is lost too and has kept the caller from another instance.
 */
package io.jaybeam.core.recovery

import io.jaybeam.core.admission.GateState
import io.jaybeam.core.fleet.Route
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.fleet.spreadDelayMillis
import kotlin.random.Random

/** Decision on a request at a closed gate. */
public sealed class HoldDecision {
    /** The request waits. */
    public data object Wait : HoldDecision()

    /** The gate will not open in time; the caller should return after [retryAfterMillis]. */
    public data class Refuse(
        val retryAfterMillis: Long,
    ) : HoldDecision()
}

/**
 * Decides on requests of one route.
 *
 * @param maxHoldMillis longest time from the arrival of a request until it is sent or refused.
 */
public class HoldPolicy(
    private val maxHoldMillis: Long,
    private val random: Random = Random.Default,
) {
    /** Decides on a request that arrived [waitedMillis] ago and whose caller waits for another [remainingMillis]. */
    public fun decide(gate: GateState.Closed, waitedMillis: Long, remainingMillis: Long): HoldDecision {
        val holdMillisLeft = maxHoldMillis - waitedMillis
        val opensInMillis = gate.opensInMillis
        if (holdMillisLeft > 0 && (opensInMillis == null || opensInMillis <= holdMillisLeft)) return HoldDecision.Wait
        return refuse(opensInMillis ?: 0, remainingMillis)
    }

    /**
     * Refuses a request that the retry budget keeps from targets that take requests again: a request that its caller sends again needs
     * no retry of the budget.
     */
    public fun refuseUnaffordable(remainingMillis: Long): HoldDecision.Refuse = refuse(0, remainingMillis)

    private fun refuse(opensInMillis: Long, remainingMillis: Long): HoldDecision.Refuse {
        val delayMillis = spreadDelayMillis(maxOf(opensInMillis, MIN_RETRY_AFTER_MILLIS), random)
        return HoldDecision.Refuse(minOf(delayMillis, maxOf(remainingMillis, 0) / RETRY_AFTER_DIVISOR))
    }

    private companion object {
        const val MIN_RETRY_AFTER_MILLIS = 300L

        // Callers wait for at most a third of the time that they have left before they send a request again.
        const val RETRY_AFTER_DIVISOR = 3
    }
}

/** Returns the policy for a request on [route] that has [limitMillis] for its answer. */
public fun holdPolicyOf(route: Route, limitMillis: Long): HoldPolicy {
    val shareMillis = limitMillis / 2
    if (route.kind != RouteKind.STREAM) return HoldPolicy(shareMillis)
    val patienceMillis =
        maxOf(MIN_PATIENCE_MILLIS, PATIENCE_OBJECTIVES * route.objectiveMillis, PATIENCE_GAPS * route.maxEventGapMillis)
    return HoldPolicy(minOf(shareMillis, patienceMillis - FIRST_EVENT_MILLIS))
}

// A caller leaves a stream without an event after the longest of two seconds, four objectives and eight accepted gaps.
private const val MIN_PATIENCE_MILLIS = 2_000L
private const val PATIENCE_OBJECTIVES = 4
private const val PATIENCE_GAPS = 8

// Time in which a stream has its first event once it is sent to a target.
private const val FIRST_EVENT_MILLIS = 500L

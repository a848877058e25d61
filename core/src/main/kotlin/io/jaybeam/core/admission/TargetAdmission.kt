/*
 * Limits the concurrent work of a target. The limit starts low and rises during the slow start that the bundle configures. It
 * falls back when the target restarts, reports a cold start or takes steps as slow as in a cold start.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.config.SlowStartLimits

/** Progress of a target from its cold start to full concurrency, as far as it can be observed. */
public enum class WarmUpState {
    /** Recently started, or fell back into cold start. */
    COLD_START,

    /** In slow start between the initial and the full concurrency. */
    WARMING_UP,

    /** At full concurrency. */
    WARM,
}

private const val COLD_START_STEP_FACTOR = 3.0
private const val BASELINE_SMOOTHING_FACTOR = 0.05
private const val WARM_EVIDENCE_LIFETIME_MILLIS = 2_000L
private const val OVERDUE_STEP_FACTOR = 4.0
private const val MIN_SLOW_STEP_MILLIS = 25.0
private const val NO_STREAMS_AFTER_MILLIS = 1_000L

/**
 * Concurrency limit of one target. Not thread-safe: confine it to one thread. Times are monotonic milliseconds.
 */
public class TargetAdmission(
    private var limits: SlowStartLimits,
    startedAtMillis: Long,
) {
    private var slowStartBeganAtMillis = startedAtMillis
    private var baselineStepMillis = Double.NaN
    private var lastStepAtMillis = startedAtMillis
    private var lastWarmReportAtMillis = startedAtMillis
    private var busySinceMillis = startedAtMillis

    /** Requests started at the target and not finished. */
    public var inFlight: Int = 0
        private set

    /** Typical time between tokens, in milliseconds; 0 if unknown. */
    public val typicalStepMillis: Double get() = if (baselineStepMillis.isNaN()) 0.0 else baselineStepMillis

    /** Applies the limits of a new bundle. */
    public fun configure(limits: SlowStartLimits) {
        this.limits = limits
    }

    /** Restarts the slow start after the target has restarted or reported a cold start. */
    public fun onColdStart(nowMillis: Long) {
        slowStartBeganAtMillis = nowMillis
    }

    /** Records that the target has reported that it is warm. */
    public fun onWarmReport(nowMillis: Long) {
        lastWarmReportAtMillis = nowMillis
    }

    /** Records that the target has produced a token [stepMillis] after the previous one. */
    public fun onStep(stepMillis: Double, nowMillis: Long) {
        lastStepAtMillis = nowMillis
        if (baselineStepMillis.isNaN()) baselineStepMillis = stepMillis
        if (stepMillis > maxOf(baselineStepMillis * COLD_START_STEP_FACTOR, MIN_SLOW_STEP_MILLIS)) {
            onColdStart(nowMillis)
            return
        }
        baselineStepMillis += BASELINE_SMOOTHING_FACTOR * (stepMillis - baselineStepMillis)
    }

    /** Returns the number of concurrent requests that the target may have at [nowMillis]. */
    public fun limitAt(nowMillis: Long): Int {
        val range = limits.fullConcurrency - limits.initialConcurrency
        if (limits.windowMillis == 0L) return limits.fullConcurrency
        val elapsedMillis = (nowMillis - slowStartBeganAtMillis).coerceIn(0, limits.windowMillis)
        val slowStartLimit = limits.initialConcurrency + (range * elapsedMillis / limits.windowMillis).toInt()
        return if (isKnownWarm(nowMillis)) slowStartLimit else limits.initialConcurrency
    }

    /** Returns the observed state of the target at [nowMillis]. */
    public fun warmUpStateAt(nowMillis: Long): WarmUpState {
        val limit = limitAt(nowMillis)
        return when {
            limit >= limits.fullConcurrency -> WarmUpState.WARM
            limit <= limits.initialConcurrency -> WarmUpState.COLD_START
            else -> WarmUpState.WARMING_UP
        }
    }

    /** Takes a slot for one request if the limit allows it; an [isExclusive] request starts only if no other one is in flight. */
    public fun tryAcquire(nowMillis: Long, isExclusive: Boolean = false): Boolean {
        val limit = if (isExclusive) 1 else limitAt(nowMillis)
        if (inFlight >= limit) return false
        if (inFlight == 0) busySinceMillis = nowMillis
        inFlight += 1
        return true
    }

    /** Releases a slot taken by [tryAcquire]. */
    public fun release() {
        check(inFlight > 0) { "release() was called without a successful tryAcquire()" }
        inFlight -= 1
    }

    /** Whether the target is known to be warm: steps of typical duration keep arriving, or it has recently reported it. */
    private fun isKnownWarm(nowMillis: Long): Boolean {
        if (baselineStepMillis.isNaN()) return true
        if (isStepOverdue(nowMillis)) return false
        return nowMillis - maxOf(lastStepAtMillis, lastWarmReportAtMillis) <= WARM_EVIDENCE_LIFETIME_MILLIS
    }

    /** All streams step together, so a missing step reveals a cold start or a stalled target before its report does. */
    private fun isStepOverdue(nowMillis: Long): Boolean {
        if (inFlight == 0 || lastStepAtMillis < busySinceMillis) return false
        val sinceStepMillis = nowMillis - lastStepAtMillis
        val overdueMillis = maxOf(baselineStepMillis * OVERDUE_STEP_FACTOR, MIN_SLOW_STEP_MILLIS)
        return sinceStepMillis > overdueMillis && sinceStepMillis < NO_STREAMS_AFTER_MILLIS
    }
}

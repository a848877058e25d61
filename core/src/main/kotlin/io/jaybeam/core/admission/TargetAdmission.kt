/*
 * How much concurrent work a target is given. The limit starts low, rises by the bundle's ramp and drops
 * back when the target restarts, reports that it is cold or takes cold-like steps.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.config.SlowStartLimits

/** How warm a target appears to be. */
public enum class Warmth {
    /** Recently started, or fell back into cold start. */
    COLD,

    /** On the ramp from its initial to its full concurrency. */
    WARMING,

    /** At full concurrency. */
    WARM,
}

private const val COLD_STEP_FACTOR = 3.0
private const val BASELINE_WEIGHT = 0.05
private const val EVIDENCE_LIFETIME_MILLIS = 2_000L
private const val OVERDUE_FACTOR = 4.0
private const val MIN_OVERDUE_MILLIS = 25.0
private const val NO_STREAMS_MILLIS = 1_000L

/**
 * The concurrency limit of one target. Not thread-safe: one thread owns it. Times are monotonic milliseconds.
 */
public class TargetAdmission(
    private var limits: SlowStartLimits,
    startedAtMillis: Long,
) {
    private var rampStartMillis = startedAtMillis
    private var baselineStepMillis = Double.NaN
    private var lastStepAtMillis = startedAtMillis
    private var warmReportAtMillis = startedAtMillis
    private var busySinceMillis = startedAtMillis

    /** Requests handed to the target and not finished. */
    public var inFlight: Int = 0
        private set

    /** Usual time between tokens, in milliseconds; 0 where it is not known. */
    public val usualStepMillis: Double get() = if (baselineStepMillis.isNaN()) 0.0 else baselineStepMillis

    /** Puts the limits of a new bundle in force. */
    public fun configure(limits: SlowStartLimits) {
        this.limits = limits
    }

    /** Notes that the target started again or reports that it is cold. */
    public fun onCold(nowMillis: Long) {
        rampStartMillis = nowMillis
    }

    /** Notes that the target reports that it is warm. */
    public fun onWarmReport(nowMillis: Long) {
        warmReportAtMillis = nowMillis
    }

    /** Notes that the target produced a token [stepMillis] after the one before. */
    public fun onStep(stepMillis: Double, nowMillis: Long) {
        lastStepAtMillis = nowMillis
        if (baselineStepMillis.isNaN()) baselineStepMillis = stepMillis
        if (stepMillis > maxOf(baselineStepMillis * COLD_STEP_FACTOR, MIN_OVERDUE_MILLIS)) {
            onCold(nowMillis)
            return
        }
        baselineStepMillis += BASELINE_WEIGHT * (stepMillis - baselineStepMillis)
    }

    /** Returns how many requests the target bears at [nowMillis]. */
    public fun limitAt(nowMillis: Long): Int {
        val span = limits.fullConcurrency - limits.initialConcurrency
        if (limits.windowMillis == 0L) return limits.fullConcurrency
        val elapsed = (nowMillis - rampStartMillis).coerceIn(0, limits.windowMillis)
        val ramped = limits.initialConcurrency + (span * elapsed / limits.windowMillis).toInt()
        return if (hasEvidence(nowMillis)) ramped else limits.initialConcurrency
    }

    /** Returns how warm the target appears to be. */
    public fun warmthAt(nowMillis: Long): Warmth {
        val limit = limitAt(nowMillis)
        return when {
            limit >= limits.fullConcurrency -> Warmth.WARM
            limit <= limits.initialConcurrency -> Warmth.COLD
            else -> Warmth.WARMING
        }
    }

    /** Takes a place for one request if the target bears it; [exclusive] asks to run with no other. */
    public fun tryStart(nowMillis: Long, exclusive: Boolean = false): Boolean {
        val limit = if (exclusive) 1 else limitAt(nowMillis)
        if (inFlight >= limit) return false
        if (inFlight == 0) busySinceMillis = nowMillis
        inFlight += 1
        return true
    }

    /** Gives back a place taken by [tryStart]. */
    public fun finish() {
        check(inFlight > 0) { "finish without tryStart" }
        inFlight -= 1
    }

    /** The target is known to be warm only while steps of usual length keep coming or it has lately said so. */
    private fun hasEvidence(nowMillis: Long): Boolean {
        if (baselineStepMillis.isNaN()) return true
        if (stepOverdue(nowMillis)) return false
        return nowMillis - maxOf(lastStepAtMillis, warmReportAtMillis) <= EVIDENCE_LIFETIME_MILLIS
    }

    /** Streams step together, so a step that does not come tells of a cold or stalled target before its report does. */
    private fun stepOverdue(nowMillis: Long): Boolean {
        if (inFlight == 0 || lastStepAtMillis < busySinceMillis) return false
        val sinceStepMillis = nowMillis - lastStepAtMillis
        val overdueMillis = maxOf(baselineStepMillis * OVERDUE_FACTOR, MIN_OVERDUE_MILLIS)
        return sinceStepMillis > overdueMillis && sinceStepMillis < NO_STREAMS_MILLIS
    }
}

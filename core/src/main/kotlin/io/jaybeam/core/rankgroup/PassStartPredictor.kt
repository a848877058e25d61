/*
 * Predicts how many forward passes of a rank group begin within a given time.
 */
package io.jaybeam.core.rankgroup

/** Predicts pass starts from the pass duration, which it derives from the passes that ranks report. */
internal class PassStartPredictor {
    private var lastPass = 0L
    private var lastPassAtMillis = 0L
    private var passDurationMillis = 0.0
    private val passRateMeter = PassRateMeter()

    /** Records that [pass] is the last pass known to have begun. */
    fun onPass(pass: Long, nowMillis: Long) {
        val isContinuous = pass in lastPass..lastPass + MAX_PASS_GAP
        // The group has formed again, or reports were missing.
        if (!isContinuous) passRateMeter.clear()
        passRateMeter.onPass(pass, nowMillis)
        if (pass == lastPass) return
        passDurationMillis = if (isContinuous) (nowMillis - lastPassAtMillis).toDouble() / (pass - lastPass) else 0.0
        lastPass = pass
        lastPassAtMillis = nowMillis
    }

    /** Returns how many passes begin within [periodMillis] from now, at the last known pass duration. */
    fun passesBeginningWithin(periodMillis: Long, nowMillis: Long): Long {
        if (passDurationMillis <= 0.0) return MAX_SKIPPED_PASSES
        val untilNextMillis = lastPassAtMillis + passDurationMillis - nowMillis
        if (untilNextMillis >= periodMillis) return 0
        return (1 + (periodMillis - maxOf(untilNextMillis, 0.0)) / passDurationMillis).toLong().coerceAtMost(MAX_SKIPPED_PASSES)
    }

    /** Returns how many passes last [periodMillis] or longer together, at the mean duration of recent passes. */
    fun passesLasting(periodMillis: Long): Long {
        val meanMillis = passRateMeter.passMillis() ?: return 0
        return ((periodMillis + meanMillis - 1) / meanMillis).coerceAtMost(MAX_PASSES_LASTING)
    }

    private companion object {
        const val MAX_PASS_GAP = 50L
        const val MAX_SKIPPED_PASSES = 6L

        // Bounds the error of a pass duration that was measured too short.
        const val MAX_PASSES_LASTING = 24L
    }
}

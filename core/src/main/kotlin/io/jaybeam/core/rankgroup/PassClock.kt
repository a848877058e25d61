/*
 * Measures how long a group's passes take, from the passes that ranks report, to tell which pass begins when.
 */
package io.jaybeam.core.rankgroup

/** Measures how long a pass takes. */
internal class PassClock {
    private var lastPass = 0L
    private var atMillis = 0L
    private var passMillis = 0.0

    /** Notes that [pass] is the last one known to have begun. */
    fun onPass(pass: Long, nowMillis: Long) {
        if (pass == lastPass) return
        val isNext = pass in lastPass + 1..lastPass + MAX_STEP
        passMillis = if (isNext) (nowMillis - atMillis).toDouble() / (pass - lastPass) else 0.0
        lastPass = pass
        atMillis = nowMillis
    }

    /** Returns how many passes begin within [millis] from now, at the pace of the last ones. */
    fun passesToSkip(millis: Long, nowMillis: Long): Long {
        if (passMillis <= 0.0) return MAX_PASSES
        val untilNextMillis = atMillis + passMillis - nowMillis
        if (untilNextMillis >= millis) return 0
        return (1 + (millis - maxOf(untilNextMillis, 0.0)) / passMillis).toLong().coerceAtMost(MAX_PASSES)
    }

    private companion object {
        const val MAX_STEP = 50L
        const val MAX_PASSES = 6L
    }
}

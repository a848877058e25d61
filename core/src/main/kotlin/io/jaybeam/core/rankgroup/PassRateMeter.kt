/*
 * Estimates the duration of a group's forward passes from the numbers of the passes that its ranks report. A side reads its rank
 * less often than passes begin, so two passes and the time between their reports say more than a single one.
 *
 * A group without requests makes no passes, so the time in which it had none does not count.
 */
package io.jaybeam.core.rankgroup

// Long enough to contain several passes and reports, short enough to reflect a shift of demand.
private const val WINDOW_MILLIS = 600L

/** Measures the passes of one group. Not thread-safe; times are monotonic milliseconds. */
public class PassRateMeter {
    private class FirstReport(
        val pass: Long,
        val atMillis: Long,
    )

    private val reports = ArrayDeque<FirstReport>()
    private var lastPassSeenAtMillis = 0L

    /** Records that [pass] was the last one that had begun at a rank, which reported it at [nowMillis]. */
    public fun onPass(pass: Long, nowMillis: Long) {
        val last = reports.lastOrNull()
        if (last == null || pass >= last.pass) lastPassSeenAtMillis = nowMillis
        if (last != null && pass <= last.pass) return
        reports.addLast(FirstReport(pass, nowMillis))
        while (reports.size > 2 && nowMillis - reports[1].atMillis >= WINDOW_MILLIS) reports.removeFirst()
    }

    /** Forgets all passes, because the group has no requests or has formed again. */
    public fun clear(): Unit = reports.clear()

    /**
     * Returns the duration of recent passes in milliseconds, or null if fewer than two have been reported.
     *
     * A pass that has lasted longer than those before it counts before it has ended.
     */
    public fun passMillis(): Long? {
        val first = reports.firstOrNull() ?: return null
        val last = reports.last()
        if (first.pass == last.pass) return null
        val meanMillis = (last.atMillis - first.atMillis) / (last.pass - first.pass)
        return maxOf(meanMillis, lastPassSeenAtMillis - last.atMillis, 1)
    }
}

/*
 * Notices that a target which has requests has stopped answering, before its requests end.
 *
 * Load pattern: one of several targets whose machine is suspended for seconds, while requests go on. It accepts connections and gives no
 * failure, and each request that is placed there is lost: its caller leaves without an answer.
 *
 * Silence shared by most targets is not that of one of them: a rank group that works in lock-step stalls as a whole. Work is then placed as
 * before, as the few that look sound are those that had nothing to answer.
 */
package io.jaybeam.core.fleet

import io.jaybeam.core.cost.PlacedRequest

/** Silence of one target towards the requests of one instance. Thread-safe; [nowMillis] is monotonic. */
public class TargetSilence(
    private val nowMillis: () -> Long,
) {
    private class Wait(
        val sentAtMillis: Long,
        val boundMillis: Long,
    )

    private val waits = mutableMapOf<PlacedRequest, Wait>()
    private var lastSignMillis: Long? = null

    /** End of the last request, if the target has been silent for too long and has given no sign since. */
    private var silentEndMillis: Long? = null

    /**
     * Whether requests should go to other targets. A target that stays silent without requests gets one as a trial from time to time,
     * and no other until it has given a sign.
     */
    public val isAvoided: Boolean
        @Synchronized get() {
            if (isOverdue()) return true
            val endMillis = silentEndMillis ?: return false
            return waits.isNotEmpty() || nowMillis() - endMillis < TRIAL_INTERVAL_MILLIS
        }

    /** Records that [request] is about to be sent. The target is silent if it gives no sign for [boundMillis]. */
    @Synchronized
    public fun onSent(request: PlacedRequest, boundMillis: Long) {
        waits[request] = Wait(nowMillis(), boundMillis)
    }

    /** Records that the target has sent something. */
    @Synchronized
    public fun onSign() {
        lastSignMillis = nowMillis()
        silentEndMillis = null
    }

    /** Records output of [request]. Whether its answer goes on says nothing more: a caller that reads slowly keeps it back. */
    @Synchronized
    public fun onOutput(request: PlacedRequest) {
        waits -= request
        onSign()
    }

    /** Records the end of [request], for whatever reason. */
    @Synchronized
    public fun onEnd(request: PlacedRequest) {
        if (isOverdue() || silentEndMillis != null) silentEndMillis = nowMillis()
        waits -= request
    }

    private fun isOverdue(): Boolean {
        val now = nowMillis()
        return waits.values.any { now - maxOf(it.sentAtMillis, lastSignMillis ?: it.sentAtMillis) >= it.boundMillis }
    }

    private companion object {
        /** Time after which a caller of a stream leaves if it gets no event: a trial may cost one caller that time. */
        const val TRIAL_INTERVAL_MILLIS = 2_000L
    }
}

/**
 * Returns the time for which a target may send nothing while it has a request on [route] whose prompt takes [readMillis]: the latency
 * objective, or the accepted gap between events if that is longer, and the time for the prompt.
 */
public fun silenceBoundMillis(route: Route, readMillis: Double): Long =
    maxOf(route.objectiveMillis, route.maxEventGapMillis, LOST_PACKET_MILLIS) + readMillis.toLong()

/** Returns those of [candidates] that should be used, or all if most of those that have requests to answer are silent. */
internal fun withoutSilent(candidates: List<TargetLoad>): List<TargetLoad> {
    val silentCount = candidates.count { it.isSilent }
    if (silentCount == 0) return candidates
    val askedCount = candidates.count { it.isSilent || it.requestsInFlight > 0 }
    return if (silentCount * 2 > askedCount && silentCount > 1) candidates else candidates.filterNot { it.isSilent }
}

// Time in which a lost packet is sent once more.
private const val LOST_PACKET_MILLIS = 500L

/*
 * Tracks the incarnation of the target by its health reports, and detects restarts and cold starts.
 */
package io.jaybeam.side

/** Change of the target that a health report shows. */
internal sealed class TargetChange {
    data object None : TargetChange()

    /** A new incarnation has started. [isCrash] is true if requests were running on the previous one. */
    data class Started(
        val isCrash: Boolean,
    ) : TargetChange()

    /** The target, which was warm, reports a cold start. */
    data object BecameCold : TargetChange()
}

/** Tracks the health of the target. Not thread-safe: it is confined to the scheduler's worker thread. */
internal class TargetHealthTracker {
    private var isWarm = true

    /** Current incarnation of the target, or null while it is down. */
    @Volatile
    var incarnation: String? = null
        private set

    /**
     * Returns the change that [health] shows; null stands for a target that did not answer.
     *
     * @param hasRunning whether requests are running on the target.
     */
    fun observe(health: TargetHealth?, hasRunning: Boolean): TargetChange {
        if (health == null) {
            if (!hasRunning) incarnation = null
            return TargetChange.None
        }
        val becameCold = isWarm && !health.isWarm
        isWarm = health.isWarm
        if (health.incarnation != incarnation) {
            val isCrash = incarnation != null && hasRunning
            incarnation = health.incarnation
            return TargetChange.Started(isCrash)
        }
        return if (becameCold) TargetChange.BecameCold else TargetChange.None
    }

    /** Records that the current incarnation of the target has ended. */
    fun onCrash() {
        incarnation = null
    }
}

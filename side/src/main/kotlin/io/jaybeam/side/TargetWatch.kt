/*
 * Which life of the target runs, and when one ended.
 */
package io.jaybeam.side

/** What a look at the target showed. */
internal sealed class TargetChange {
    /** Nothing changed. */
    data object None : TargetChange()

    /** A new life began; [crashed] tells whether work of an earlier one was lost. */
    data class Started(
        val crashed: Boolean,
    ) : TargetChange()

    /** The target reports that it is cold again. */
    data object FellCold : TargetChange()
}

/** Follows the target's health. Not thread-safe: the work thread owns it. */
internal class TargetWatch {
    private var warm = true

    /** Identity of the target's present life, or null while it is down. */
    @Volatile
    var incarnation: String? = null
        private set

    /** Takes a health answer, null for none; [hasRunning] tells whether work is on the target. */
    fun observe(health: TargetHealth?, hasRunning: Boolean): TargetChange {
        if (health == null) {
            if (!hasRunning) incarnation = null
            return TargetChange.None
        }
        val fellCold = warm && !health.warm
        warm = health.warm
        if (health.incarnation != incarnation) {
            val crashed = incarnation != null && hasRunning
            incarnation = health.incarnation
            return TargetChange.Started(crashed)
        }
        return if (fellCold) TargetChange.FellCold else TargetChange.None
    }

    /** Notes that the target's present life has ended. */
    fun onCrash() {
        incarnation = null
    }
}

/*
 * How far a change of the expert map is.
 */
package io.jaybeam.core.rankgroup

/** How far the coordinator is with the group. */
public sealed class MapPhase {
    /** Raises the fencing token on every rank; [claimed] have answered. */
    public data class Claiming(
        val fence: Long,
        val claimed: Set<Int> = emptySet(),
    ) : MapPhase()

    /** All ranks use one map and nothing is armed or held. */
    public data object Settled : MapPhase()

    /** Ranks load the weights of [version]. */
    public data class Preparing(
        val version: Long,
        val sinceMillis: Long,
    ) : MapPhase()

    /** The pass of the change is being held on one rank. */
    public data class Holding(
        val version: Long,
        val pass: Long,
        val sinceMillis: Long,
    ) : MapPhase()

    /** [pass] is held; ranks are being armed for it. */
    public data class Arming(
        val version: Long,
        val pass: Long,
        val sinceMillis: Long,
    ) : MapPhase()

    /** All ranks are armed for [pass], which is being released. */
    public data class Releasing(
        val version: Long,
        val pass: Long,
    ) : MapPhase()

    /** Ranks are being disarmed; [disarmed] have answered under the present token. */
    public data class Undoing(
        val disarmed: Set<Int> = emptySet(),
    ) : MapPhase()

    /** Another coordinator has a higher token; this one gives no more orders. */
    public data object Deposed : MapPhase()
}

/*
 * Phases of a change of the expert map.
 */
package io.jaybeam.core.rankgroup

/** Phase of the coordinator of a rank group. */
public sealed class MapPhase {
    /** The fencing token is being raised on every rank; the ranks in [claimed] have answered. */
    public data class Claiming(
        val fence: Long,
        val claimed: Set<Int> = emptySet(),
    ) : MapPhase()

    /** All ranks use one map and nothing is armed or held. */
    public data object Settled : MapPhase()

    /** Ranks load the weights of map [version]. */
    public data class Preparing(
        val version: Long,
        val sinceMillis: Long,
    ) : MapPhase()

    /** [pass], in which the group is to switch to map [version], is being held on one rank. */
    public data class Holding(
        val version: Long,
        val pass: Long,
        val sinceMillis: Long,
    ) : MapPhase()

    /** [pass] is held, and ranks are being armed for it. */
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

    /** Ranks are being disarmed; those in [disarmed] have answered under the current token. */
    public data class Undoing(
        val disarmed: Set<Int> = emptySet(),
    ) : MapPhase()

    /** Another coordinator has a higher fencing token, so this one sends no more orders. */
    public data object Deposed : MapPhase()
}

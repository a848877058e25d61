/*
 * Access of a side process to a rank, in most cases the one on its own instance.
 */
package io.jaybeam.core.rankgroup

import arrow.core.Either
import io.jaybeam.core.placement.GroupMap

/**
 * State and load of a rank.
 *
 * @property group name of the rank's group.
 * @property groupSize number of ranks in the group.
 * @property running number of requests that are being processed.
 * @property waiting number of requests that wait for a batch slot.
 * @property usedMemoryTokens tokens in the rank's memory that cannot be dropped.
 * @property totalMemoryTokens size of the rank's memory, in tokens; 0 if unknown.
 * @property slowness time that the rank takes for its work, relative to a sound one; 1 if it is not slow.
 */
public data class RankStatus(
    val reading: RankReading,
    val group: String,
    val groupSize: Int,
    val running: Int,
    val waiting: Int,
    val usedMemoryTokens: Long = 0,
    val totalMemoryTokens: Long = 0,
    val slowness: Double = 1.0,
)

/**
 * How often a rank's requests were routed to each expert since the rank started.
 *
 * @property counts one count per expert, for all expert sets in order.
 */
public data class ExpertCounts(
    val epoch: Long,
    val pass: Long,
    val counts: List<Long>,
)

/**
 * The experts that a rank holds for the map in use.
 *
 * @property sets experts by expert set.
 */
public data class RankExperts(
    val mapVersion: Long,
    val sets: List<List<Int>>,
)

/** Reports that a rank did not answer or that its answer is not usable. */
public data class RankFault(
    val detail: String,
)

/** Client of one rank. Calls block. Implementations are thread-safe. */
public interface RankPort {
    /** Reads the rank's state. */
    public fun status(): Either<RankFault, RankStatus>

    /** Reads the rank's expert counts. */
    public fun counts(): Either<RankFault, ExpertCounts>

    /** Reads which experts the rank holds. */
    public fun experts(): Either<RankFault, RankExperts>

    /** Sends [order] to the rank; [map] is the new map if the order is [FencedOrder.Prepare], otherwise null. */
    public fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome
}

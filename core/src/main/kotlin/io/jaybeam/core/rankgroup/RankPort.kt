/*
 * What a side needs of the rank on its own machine.
 */
package io.jaybeam.core.rankgroup

import arrow.core.Either
import io.jaybeam.core.placement.GroupMap

/**
 * State of a rank with its load.
 *
 * @property group name of the rank's group.
 * @property groupSize ranks in the group.
 * @property running requests that run.
 * @property waiting requests that wait for a place.
 */
public data class RankStatus(
    val reading: RankReading,
    val group: String,
    val groupSize: Int,
    val running: Int,
    val waiting: Int,
)

/**
 * How often a rank's requests chose each expert since the rank started.
 *
 * @property counts all sets one after the other.
 */
public data class ExpertCounts(
    val epoch: Long,
    val pass: Long,
    val counts: List<Long>,
)

/**
 * The experts that a rank holds for the map in use.
 *
 * @property sets experts by set.
 */
public data class RankExperts(
    val mapVersion: Long,
    val sets: List<List<Int>>,
)

/** A rank did not answer, or its answer cannot be used. */
public data class RankFault(
    val detail: String,
)

/** Calls to one rank. Calls block; thread-safe. */
public interface RankPort {
    /** Reads the rank's state. */
    public fun status(): Either<RankFault, RankStatus>

    /** Reads the rank's counts. */
    public fun counts(): Either<RankFault, ExpertCounts>

    /** Reads which experts the rank holds. */
    public fun experts(): Either<RankFault, RankExperts>

    /** Gives [order]; [map] belongs to an order that prepares one. */
    public fun give(order: FencedOrder, map: GroupMap?): OrderOutcome
}

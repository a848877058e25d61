/*
 * What is read of a rank: the pass that it began last, its expert map, and what is prepared, armed or held.
 */
package io.jaybeam.core.rankgroup

import kotlinx.serialization.Serializable

/** A map that is due to be used from pass [pass] on. */
@Serializable
public data class ArmedMap(
    val version: Long,
    val pass: Long,
)

/**
 * State of one rank, read from it.
 *
 * @property epoch incarnation of the group.
 * @property isOpen the group makes passes.
 * @property lastPass the last pass that was begun.
 * @property mapVersion version of the map in use.
 * @property preparedVersion version that is loaded and can be armed; 0 is none.
 * @property heldPass pass that does not begin until it is released; null where none is held.
 */
@Serializable
public data class RankReading(
    val rank: Int,
    val epoch: Long,
    val isOpen: Boolean,
    val lastPass: Long,
    val mapVersion: Long,
    val preparedVersion: Long,
    val armed: ArmedMap?,
    val heldPass: Long?,
)

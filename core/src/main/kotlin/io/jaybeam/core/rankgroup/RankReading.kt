/*
 * State that is read from a rank: its last pass, its expert map, and what is prepared, armed or held.
 */
package io.jaybeam.core.rankgroup

import kotlinx.serialization.Serializable

/** A map to which a rank switches when [pass] begins. */
@Serializable
public data class ArmedMap(
    val version: Long,
    val pass: Long,
)

/**
 * State of one rank at the time it was read.
 *
 * @property epoch incarnation of the group; it changes when the group forms again.
 * @property isOpen whether the group runs forward passes.
 * @property lastPass last pass that has begun.
 * @property mapVersion version of the map in use.
 * @property preparedVersion version of the map that is loaded and can be armed; 0 if there is none.
 * @property armed map to which the rank will switch; null if none is armed.
 * @property heldPass pass that does not begin until it is released; null if none is held.
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

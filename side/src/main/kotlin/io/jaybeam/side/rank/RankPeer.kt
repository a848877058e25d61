/*
 * What the coordinator of a rank group knows of a rank beside its readings.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.HostPort
import io.jaybeam.wire.Link

/** The experts of map [mapVersion] that a rank holds, by set. */
internal class HeldExperts(
    val mapVersion: Long,
    val sets: List<List<Int>>,
)

/**
 * Addresses and last known experts of a rank.
 *
 * @property address address of the rank itself.
 * @property link link to the rank's side; null if the side has not reported.
 * @property experts experts that the rank held when they were last known; null if they never were. A later map may be in use.
 * @property lastReportAtMillis time of the last report from the rank's side; 0 if there was none.
 * @property mapForm most compact form in which the side accepts maps.
 */
internal class RankPeer(
    val address: HostPort,
    val link: Link?,
    val experts: HeldExperts?,
    val lastReportAtMillis: Long,
    val mapForm: MapForm,
)

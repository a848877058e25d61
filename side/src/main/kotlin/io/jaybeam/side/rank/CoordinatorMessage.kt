/*
 * What other duties tell the coordinator of a rank group.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.placement.GroupPlan
import io.jaybeam.core.rankgroup.RankStatus
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

/** What the coordinator is told. */
internal sealed class CoordinatorMessage {
    /** This process's term; null while another process coordinates. */
    data class Term(
        val generation: Long?,
    ) : CoordinatorMessage()

    /** A rank's side reports over [link]. */
    data class Report(
        val link: Link,
        val frame: Frame.RankReport,
    ) : CoordinatorMessage()

    /** A rank was read at [address] without its side. */
    data class Read(
        val address: HostPort,
        val status: RankStatus,
    ) : CoordinatorMessage()

    /** A rank answered an order. */
    data class Reply(
        val frame: Frame.RankReply,
    ) : CoordinatorMessage()

    /** The planner has finished; [plan] is null where nothing is worth a change. */
    data class Planned(
        val plan: GroupPlan?,
        val tookMillis: Long,
    ) : CoordinatorMessage()
}

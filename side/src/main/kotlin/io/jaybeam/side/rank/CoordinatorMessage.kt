/*
 * Messages to the worker thread that coordinates a rank group.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.placement.GroupPlan
import io.jaybeam.core.rankgroup.FenceRange
import io.jaybeam.core.rankgroup.RankStatus
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

/** Message to a [CoordinatorWorker]. */
internal sealed class CoordinatorMessage {
    /** This process is the coordinator; [fences] is null while it has no fencing tokens to begin with. */
    data class Term(
        val fences: FenceRange?,
    ) : CoordinatorMessage()

    /** Another process is the coordinator. */
    data object TermEnded : CoordinatorMessage()

    /** A report that the side of a rank sent over [link]. */
    data class Report(
        val link: Link,
        val frame: Frame.RankReport,
    ) : CoordinatorMessage()

    /** State of the rank at [address], read directly rather than reported by its side. */
    data class RemoteStatus(
        val address: HostPort,
        val status: RankStatus,
    ) : CoordinatorMessage()

    /** Result of an order to a rank. */
    data class Reply(
        val frame: Frame.RankReply,
    ) : CoordinatorMessage()

    /** Result of planning; [plan] is null if no change is worthwhile. */
    data class PlanResult(
        val plan: GroupPlan?,
        val durationMillis: Long,
    ) : CoordinatorMessage()
}

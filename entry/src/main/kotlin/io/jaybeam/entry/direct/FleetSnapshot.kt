/*
 * State of the fleet as last read by an entry, as one immutable value.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.TargetTable

/** Position of a log that has not been read. */
internal const val UNREAD = -1L

/**
 * State of the fleet at one time. Times are on the monotonic clock.
 *
 * @property routes null until a configuration was received.
 * @property dataCentresOut data centres out of service, which get no new work.
 * @property operatorPosition position up to which the operator's log was read.
 * @property routesReadAtNanos time of the last read of the operator's log.
 * @property coldStartEndNanosById end of the cold start by target id, for targets that were in cold start when they were read.
 * @property targetsPosition position up to which the targets' log was read.
 * @property targetsReadAtNanos time at which this entry or a peer last confirmed that position.
 */
internal data class FleetSnapshot(
    val routes: RouteTable? = null,
    val dataCentresOut: Set<String> = emptySet(),
    val operatorPosition: Long = UNREAD,
    val routesReadAtNanos: Long = 0,
    val targets: TargetTable = TargetTable(),
    val coldStartEndNanosById: Map<String, Long> = emptyMap(),
    val targetsPosition: Long = UNREAD,
    val targetsReadAtNanos: Long = 0,
) {
    /** Version of the current configuration; [UNREAD] if there is none. */
    val configVersion: Long get() = routes?.config?.version ?: UNREAD

    /** Whether requests differ in urgency. */
    val hasSeveralUrgencies: Boolean get() = urgencyRange != null

    /** Whether some requests may be less urgent than [urgency]. */
    fun isMoreUrgentThanOthers(urgency: Urgency): Boolean = urgencyRange?.let { urgency < it.endInclusive } == true

    private val urgencyRange: ClosedRange<Urgency>? get() = routes?.urgencyRange

    /** Whether the target with [id] is in cold start at [nowNanos]. */
    fun isInColdStart(id: String, nowNanos: Long): Boolean = coldStartEndNanosById[id]?.let { it > nowNanos } == true

    /** Whether it contains a configuration and targets, so that callers can be served. */
    val isComplete: Boolean get() = routes != null && targets.byId.isNotEmpty()
}

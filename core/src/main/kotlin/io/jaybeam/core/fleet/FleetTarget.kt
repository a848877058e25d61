/*
 * Targets that have announced themselves, and the table that an instance keeps of them.
 */
package io.jaybeam.core.fleet

import kotlinx.serialization.Serializable

/**
 * What a target says of itself.
 *
 * @property id names one incarnation of the target.
 * @property isLeaving it takes no new work and ends soon.
 * @property coldMillis how much longer it is cold, as of this announcement.
 * @property batchSlots requests that it serves at once.
 */
@Serializable
public data class FleetTarget(
    val id: String,
    val service: String,
    val host: String,
    val port: Int,
    val dataCentre: String,
    val batchSlots: Int,
    val isLeaving: Boolean,
    val coldMillis: Long,
    val bornAtEpochMillis: Long,
)

/** A change to the table of targets. */
public sealed class TargetNotice {
    /** The target announced itself. */
    public data class Announced(
        val target: FleetTarget,
    ) : TargetNotice()

    /** The target called [id] is gone, or its announcement cannot be used. */
    public data class Withdrawn(
        val id: String,
    ) : TargetNotice()
}

/** Targets by id; immutable. */
public data class TargetTable(
    val byId: Map<String, FleetTarget> = emptyMap(),
) {
    /** Returns the table after [notices], in order. */
    public fun after(notices: List<TargetNotice>): TargetTable {
        if (notices.isEmpty()) return this
        val next = LinkedHashMap(byId)
        notices.forEach {
            when (it) {
                is TargetNotice.Announced -> next[it.target.id] = it.target
                is TargetNotice.Withdrawn -> next.remove(it.id)
            }
        }
        return TargetTable(next)
    }

    /** Returns how many targets [service] has, those that take no new work among them. */
    public fun countOf(service: String): Int = byId.values.count { it.service == service }

    /** Returns the targets of [service] that take new work, without those in [excludedDataCentres]. */
    public fun usable(service: String, excludedDataCentres: Set<String>): List<FleetTarget> =
        byId.values.filter { it.service == service && !it.isLeaving && it.dataCentre !in excludedDataCentres }
}

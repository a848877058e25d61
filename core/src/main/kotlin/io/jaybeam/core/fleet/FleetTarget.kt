/*
 * Targets announced through the store, and the table that an instance keeps of them.
 */
package io.jaybeam.core.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A target as announced by itself.
 *
 * @property id identifies one incarnation of the target.
 * @property batchSlots number of requests that it serves concurrently.
 * @property isDraining whether it takes no new work and ends soon.
 * @property remainingColdStartMillis time for which it stays in cold start after this announcement.
 * @property announcedPosition position of this announcement in the log of targets; 0 if it is not known.
 */
@Serializable
public data class FleetTarget(
    val id: String,
    val service: String,
    val host: String,
    val port: Int,
    val dataCentre: String,
    val batchSlots: Int,
    @SerialName("isLeaving")
    val isDraining: Boolean,
    @SerialName("coldMillis")
    val remainingColdStartMillis: Long,
    @SerialName("bornAtEpochMillis")
    val startedAtEpochMillis: Long,
    val announcedPosition: Long = 0,
) {
    /** Whether this announcement states the same as [other], apart from its position in the log. */
    public fun statesSameAs(other: FleetTarget): Boolean = copy(announcedPosition = other.announcedPosition) == other

    /** Returns why the target cannot be used, or null if it can. Targets of other writers and of peers are checked with it. */
    public fun faultOrNull(): String? =
        when {
            id.length !in 1..MAX_ID_CHARS || id.any { it !in VISIBLE_ASCII } -> "id is not of 1 to $MAX_ID_CHARS visible ASCII characters"
            !isIpAddress(host) -> "host is not an IP address"
            port !in 1..MAX_PORT -> "port is not within 1..$MAX_PORT"
            batchSlots !in 1..MAX_BATCH_SLOTS -> "batch slots are not within 1..$MAX_BATCH_SLOTS"
            remainingColdStartMillis !in 0..MAX_COLD_START_MILLIS -> "cold start is not within 0..$MAX_COLD_START_MILLIS ms"
            startedAtEpochMillis !in 0..MAX_EPOCH_MILLIS -> "start is not within 0..$MAX_EPOCH_MILLIS ms"
            else -> null
        }

    private companion object {
        const val MAX_ID_CHARS = 255

        /** Requests carry the id in a header, which can contain no other characters. */
        val VISIBLE_ASCII = '!'..'~'
        const val MAX_PORT = 65_535
        const val MAX_BATCH_SLOTS = 65_536
        const val MAX_COLD_START_MILLIS = 86_400_000L

        /** Largest integer up to which a JSON number is exact. */
        const val MAX_EPOCH_MILLIS = 9_007_199_254_740_991L
    }
}

private fun successors(targetsAtAddress: List<FleetTarget>): List<Pair<String, FleetTarget>> {
    val last = targetsAtAddress.maxWith(compareBy({ it.startedAtEpochMillis }, { it.announcedPosition }))
    return targetsAtAddress
        .filter { it.startedAtEpochMillis != last.startedAtEpochMillis || it.announcedPosition != last.announcedPosition }
        .map { it.id to last }
}

/** A change to the table of targets. */
public sealed class TargetUpdate {
    /** The target announced itself. */
    public data class Announced(
        val target: FleetTarget,
    ) : TargetUpdate()

    /** The record of the target with [id] was deleted, because the target has ended. */
    public data class Withdrawn(
        val id: String,
    ) : TargetUpdate()
}

/** Targets by id; immutable. */
public data class TargetTable(
    val byId: Map<String, FleetTarget> = emptyMap(),
) {
    /** Returns the table with [updates] applied in order. */
    public fun withUpdates(updates: List<TargetUpdate>): TargetTable {
        if (updates.isEmpty()) return this
        val updated = LinkedHashMap(byId)
        updates.forEach {
            when (it) {
                is TargetUpdate.Announced -> updated[it.target.id] = it.target
                is TargetUpdate.Withdrawn -> updated.remove(it.id)
            }
        }
        return TargetTable(updated)
    }

    /**
     * The target that took over the address of a superseded one of its service, by the id of the latter. An address belongs to the target
     * that started last there, or that announced itself last if the starts are equal. Targets of other services do not count, as a record
     * of another writer may name any address.
     */
    public val successorById: Map<String, FleetTarget> by lazy {
        byId.values
            .groupBy { Triple(it.service, it.host, it.port) }
            .values
            .filter { it.size > 1 }
            .flatMap(::successors)
            .toMap()
    }

    /** Returns the number of targets of [service], including draining ones, without those whose address another has taken over. */
    public fun countForService(service: String): Int = byId.values.count { it.service == service && it.id !in successorById }

    /** Returns the targets of [service] that take new work and are not in one of [excludedDataCentres]. */
    public fun availableTargets(service: String, excludedDataCentres: Set<String>): List<FleetTarget> =
        byId.values.filter { it.service == service && !it.isDraining && it.dataCentre !in excludedDataCentres }
}

/*
 * Targets after a return of the store from an older copy.
 *
 * The copy lacks what targets wrote in the seconds before, and has what was deleted since. Targets write again, within about two seconds.
 * Until then, what was known stays in force: a target that the copy lacks is kept, and one that had left does not come back by the copy
 * alone.
 */
package io.jaybeam.core.fleet

/**
 * What was known of the targets before a return of the store.
 *
 * @property known targets that were listed.
 * @property withdrawnStarts starts of targets that were withdrawn a short time before, by id, in milliseconds since the epoch.
 */
public data class RetainedTargets(
    val known: TargetTable,
    val withdrawnStarts: Map<String, Long>,
) {
    /** Returns this knowledge without the targets that [updates], written after the return, withdraw. */
    public fun withUpdates(updates: List<TargetUpdate>): RetainedTargets {
        val withdrawnIds = updates.filterIsInstance<TargetUpdate.Withdrawn>().map { it.id }.toSet()
        return if (withdrawnIds.isEmpty()) this else copy(known = TargetTable(known.byId - withdrawnIds))
    }

    /** Returns the targets in force if the store lists [stored]. */
    public fun inForce(stored: TargetTable): TargetTable {
        val back = stored.byId.values.filterNot { it.id !in known.byId && withdrawnStarts[it.id] == it.startedAtEpochMillis }
        return TargetTable(known.byId + back.associate { it.id to lastStateOf(it) })
    }

    /** Returns the last state of a target that the store lists as [stored]: one that drains does not stop draining. */
    private fun lastStateOf(stored: FleetTarget): FleetTarget {
        val known = known.byId[stored.id] ?: return stored
        val isOlder = known.isDraining && !stored.isDraining && known.startedAtEpochMillis == stored.startedAtEpochMillis
        return if (isOlder || known.startedAtEpochMillis > stored.startedAtEpochMillis) known else stored
    }
}

/*
 * What an entry keeps in force for a time after the store came back from an older copy.
 *
 * Targets and the operator write what the copy lacks again within about two seconds. Until then, the list of targets that the store gives
 * is completed by what was known, and a data centre that was out stays out. What a read after that time does not find is gone.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.RetainedTargets
import io.jaybeam.core.fleet.TargetTable
import io.jaybeam.core.fleet.TargetUpdate

// No longer than a target that was withdrawn may still get requests.
private const val RETENTION_MILLIS = 2_000L

// Longer than a copy is old. A target that was withdrawn before is not in it.
private const val WITHDRAWAL_MEMORY_MILLIS = 60_000L
private const val MAX_WITHDRAWALS = 4_096

/** Starts of the targets that were withdrawn in the last minute, by id. Not thread-safe. */
internal class RecentWithdrawals(
    private val nowMillis: () -> Long,
) {
    private class Withdrawal(
        val startedAtEpochMillis: Long,
        val atMillis: Long,
    )

    private val byId = LinkedHashMap<String, Withdrawal>()

    /** Records that [targets] were withdrawn. */
    fun add(targets: List<FleetTarget>) {
        targets.forEach {
            byId.remove(it.id)
            byId[it.id] = Withdrawal(it.startedAtEpochMillis, nowMillis())
        }
        val oldestMillis = nowMillis() - WITHDRAWAL_MEMORY_MILLIS
        val entries = byId.values.iterator()
        while (entries.hasNext() && (entries.next().atMillis < oldestMillis || byId.size > MAX_WITHDRAWALS)) entries.remove()
    }

    fun starts(): Map<String, Long> = byId.mapValues { (_, withdrawal) -> withdrawal.startedAtEpochMillis }
}

/** The targets that the store lists, and those that are in force. Not thread-safe. */
internal class StoredTargets(
    private val nowMillis: () -> Long,
) {
    private class Retention(
        val targets: RetainedTargets,
        val endMillis: Long,
    )

    private val withdrawals = RecentWithdrawals(nowMillis)
    private var retention: Retention? = null

    /** The targets that the store lists. */
    var stored = TargetTable()
        private set

    /** The targets in force. */
    val inForce: TargetTable get() = retention?.targets?.inForce(stored) ?: stored

    /** Begins to retain the targets in force, as the store has come back from an older copy. */
    fun onReturn() {
        retention = Retention(RetainedTargets(inForce, withdrawals.starts()), nowMillis() + RETENTION_MILLIS)
    }

    /** Ends the retention if [stored] was read after its time, at [readAtMillis]; returns whether [inForce] may have changed. */
    fun endRetention(readAtMillis: Long): Boolean {
        val isOver = retention?.let { readAtMillis >= it.endMillis } == true
        if (isOver) retention = null
        return isOver
    }

    /** Takes over the list [targets] of the store, which [updates] have changed if they are known one by one. */
    fun onRead(targets: TargetTable, updates: List<TargetUpdate> = emptyList()) {
        val withdrawnIds = updates.filterIsInstance<TargetUpdate.Withdrawn>().map { it.id }.toSet()
        // After a return, what the copy lacks has not been withdrawn.
        withdrawals.add(inForce.byId.values.filter { it.id in withdrawnIds || (retention == null && it.id !in targets.byId) })
        retention = retention?.let { Retention(it.targets.withUpdates(updates), it.endMillis) }
        stored = targets
        endRetention(nowMillis())
    }
}

/** The data centres that are out of service according to the store, and those that get no new work. Not thread-safe. */
internal class StoredDataCentres(
    private val nowMillis: () -> Long,
) {
    private var retained = emptySet<String>()
    private var retentionEndMillis = Long.MAX_VALUE

    /** The data centres that are out of service according to the store. */
    var storedOut = emptySet<String>()
        private set

    /** The data centres that get no new work. */
    val inForceOut: Set<String> get() = storedOut + retained

    /** Begins to keep the data centres out that are, as the store has come back from an older copy. */
    fun onReturn() {
        retained = inForceOut
        retentionEndMillis = nowMillis() + RETENTION_MILLIS
    }

    /** Ends the retention if [storedOut] was read after its time, at [readAtMillis]; returns whether [inForceOut] may have changed. */
    fun endRetention(readAtMillis: Long): Boolean {
        val isOver = retained.isNotEmpty() && readAtMillis >= retentionEndMillis
        if (isOver) retained = emptySet()
        return isOver
    }

    /** Takes over the list [out] of the store, which [updates] have changed if they are known one by one. */
    fun onRead(out: Set<String>, updates: List<OperatorUpdate> = emptyList()) {
        endRetention(nowMillis())
        storedOut = out
        retained =
            retained -
            updates
                .filterIsInstance<OperatorUpdate.DataCentreChanged>()
                .filterNot { it.isOutOfService }
                .map { it.dataCentre }
                .toSet()
    }
}

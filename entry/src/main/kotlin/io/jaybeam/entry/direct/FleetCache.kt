/*
 * Merges updates from the store and from other entries into one [FleetSnapshot]. An update whose
 * configuration version or log position is lower than the current one is ignored. If the store comes back from an older copy, what was in
 * force is kept for a time (see StoreReturn.kt). Peers exchange what the store gave, not what is kept.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.TargetTable
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.core.fleet.eraOfPosition
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val MAX_LOGGED_ID_CHARS = 80

// Such an old read says nothing of use about the targets. The limit keeps the time of the read within its range.
private const val MAX_PEER_AGE_MILLIS = 86_400_000L

/** Holds the latest [FleetSnapshot] of one entry. Thread-safe. */
internal class FleetCache(
    private val events: EventLog,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val listeners = CopyOnWriteArrayList<(FleetSnapshot) -> Unit>()

    private val changeListeners = CopyOnWriteArrayList<(FleetSnapshot, Long?) -> Unit>()

    private val completeLatch = CountDownLatch(1)

    /** Position of the first list of targets; null until there is one. */
    @Volatile
    var firstTargetsPosition: Long? = null
        private set

    /** The latest state of the fleet. */
    @Volatile
    var snapshot: FleetSnapshot = FleetSnapshot()
        private set(value) {
            field = value
            if (value.isComplete) completeLatch.countDown()
            changeListeners.forEach { it(value, firstTargetsPosition) }
        }

    private val storedTargets = StoredTargets { nanoTime() / NANOS_PER_MILLI }
    private val storedDataCentres = StoredDataCentres { nanoTime() / NANOS_PER_MILLI }

    /** The highest era of the store in the positions that were read. */
    private var era = 0L

    @Volatile
    private var targetsReadRequestedAtNanos: Long? = null

    /** Asks for a read of the targets soon, because one of them is said to leave. */
    fun requestTargetsRead() {
        synchronized(this) { if (targetsReadRequestedAtNanos == null) targetsReadRequestedAtNanos = nanoTime() }
    }

    /** Returns the time since a read was requested that has not been made, in milliseconds; null if there is no such request. */
    fun requestedReadAgeMillis(): Long? =
        synchronized(this) {
            val requestedAtNanos = targetsReadRequestedAtNanos ?: return null
            if (snapshot.targetsReadAtNanos - requestedAtNanos > 0) targetsReadRequestedAtNanos = null
            targetsReadRequestedAtNanos?.let { (nanoTime() - it) / NANOS_PER_MILLI }
        }

    /** Blocks until the snapshot is complete, for at most [limitMillis]. */
    fun awaitComplete(limitMillis: Long) {
        completeLatch.await(limitMillis, TimeUnit.MILLISECONDS)
    }

    /** Calls [listener] after each read of the store that returned updates or confirmed that the targets are current. */
    fun addReadListener(listener: (FleetSnapshot) -> Unit) {
        listeners += listener
    }

    /** Calls [listener] with each new state and the position of the first list of targets. It must not block. */
    fun addChangeListener(listener: (FleetSnapshot, Long?) -> Unit) {
        changeListeners += listener
    }

    /** Applies a page of the operator's log that was read from position [from], or from the latest records if [UNREAD]. */
    fun onOperatorPage(from: Long, page: LogPage<OperatorUpdate>) {
        logDecodeErrors(page)
        val newestConfig =
            page.updates
                .filterIsInstance<OperatorUpdate.Published>()
                .maxByOrNull { it.config.version }
                ?.config
        val newRoutes = newestConfig?.let { newRoutesOrNull(it, "store", page.decodeMillis) }
        synchronized(this) {
            newRoutes?.let(::putInForce)
            val isNewer = page.position > snapshot.operatorPosition
            if (isNewer && (from == UNREAD || from == snapshot.operatorPosition)) {
                val previous = if (from == UNREAD) emptySet() else storedDataCentres.storedOut
                val updates = if (from == UNREAD) emptyList() else page.updates
                setDataCentresOut(applyDataCentreUpdates(previous, page.updates), page.position, updates)
            }
            snapshot = snapshot.copy(routesReadAtNanos = nanoTime())
            if (!isNewer) return
        }
        listeners.forEach { it(snapshot) }
    }

    /** Applies a page of the targets' log that was read from position [from], or that lists all targets if [UNREAD]. */
    fun onTargetsPage(from: Long, page: LogPage<TargetUpdate>) {
        logDecodeErrors(page)
        synchronized(this) {
            if (from != UNREAD && from != snapshot.targetsPosition) return
            if (page.position < snapshot.targetsPosition) return
            val previous = if (from == UNREAD) TargetTable() else storedTargets.stored
            setTargets(previous.withUpdates(page.updates), page.position, if (from == UNREAD) emptyList() else page.updates)
            snapshot = snapshot.copy(targetsReadAtNanos = nanoTime())
        }
        listeners.forEach { it(snapshot) }
    }

    /**
     * Returns the request for what a peer has according to [news] and this entry lacks; null if there is nothing. If both have
     * the same position of the targets' log, the peer's time of reading counts for this entry too, unless the stated age is
     * negative or longer than [MAX_PEER_AGE_MILLIS].
     */
    fun requestFor(news: Frame.FleetNews): Frame.FleetRequest? =
        synchronized(this) {
            val isSamePosition = news.targetsPosition == snapshot.targetsPosition && news.targetsPosition != UNREAD
            if (isSamePosition && news.targetsAgeMillis in 0..MAX_PEER_AGE_MILLIS) {
                val readAtNanos = nanoTime() - news.targetsAgeMillis * NANOS_PER_MILLI
                snapshot = snapshot.copy(targetsReadAtNanos = maxOf(snapshot.targetsReadAtNanos, readAtNanos))
            }
            val isAhead =
                news.configVersion > snapshot.configVersion ||
                    news.operatorPosition > snapshot.operatorPosition ||
                    news.targetsPosition > snapshot.targetsPosition
            if (isAhead) Frame.FleetRequest(snapshot.configVersion, snapshot.operatorPosition, snapshot.targetsPosition) else null
        }

    /** Returns the state that a peer lacks according to its [request], as the store gave it. */
    fun stateFor(request: Frame.FleetRequest): Frame.FleetState = synchronized(this) { storedStateFor(request) }

    private fun storedStateFor(request: Frame.FleetRequest): Frame.FleetState {
        val current = snapshot
        if (request.isTargetsOnly) {
            return Frame.FleetState(
                config = null,
                dataCentresOut = emptyList(),
                operatorPosition = UNREAD,
                targets = targetsAfter(request),
                targetsPosition = current.targetsPosition,
            )
        }
        return Frame.FleetState(
            config = current.routes?.config?.takeIf { it.version > request.configVersion },
            dataCentresOut = storedDataCentres.storedOut.toList(),
            operatorPosition = current.operatorPosition,
            targets = targetsAfter(request),
            targetsPosition = current.targetsPosition,
        )
    }

    private fun targetsAfter(request: Frame.FleetRequest): List<FleetTarget>? =
        if (snapshot.targetsPosition > request.targetsPosition) {
            storedTargets.stored.byId.values
                .toList()
        } else {
            null
        }

    /** Applies the parts of a peer's [state] that are newer than the local state. */
    fun onPeerState(state: Frame.FleetState) {
        val newRoutes = state.config?.let { newRoutesOrNull(it, "peer") }
        synchronized(this) {
            newRoutes?.let(::putInForce)
            if (state.operatorPosition > snapshot.operatorPosition) {
                setDataCentresOut(state.dataCentresOut.toSet(), state.operatorPosition)
            }
            val targets = state.targets
            if (targets != null && state.targetsPosition > snapshot.targetsPosition) {
                setTargets(TargetTable(usableTargets(targets).associateBy { it.id }), state.targetsPosition)
            }
        }
    }

    /** Routes of a received configuration that were built without the lock, as threads that serve requests take it too. */
    private class NewRoutes(
        val table: RouteTable,
        val source: String,
        val decodeMillis: Long,
        val startedNanos: Long,
    )

    /** Returns the routes of [config], or null if it is not newer than the current configuration. */
    private fun newRoutesOrNull(config: FleetConfig, source: String, decodeMillis: Long = 0): NewRoutes? {
        if (config.version <= snapshot.configVersion) return null
        val startedNanos = nanoTime()
        return NewRoutes(RouteTable(config), source, decodeMillis, startedNanos)
    }

    /** Puts [routes] in force unless a newer configuration has come into force since they were built. */
    private fun putInForce(routes: NewRoutes) {
        val config = routes.table.config
        if (config.version <= snapshot.configVersion) return
        val nowNanos = nanoTime()
        snapshot = snapshot.copy(routes = routes.table, routesReadAtNanos = nowNanos)
        events.write(
            LogEvent.CONFIG_IN_FORCE,
            LogField("version", "${config.version}"),
            LogField("routes", "${config.routes.size}"),
            LogField("source", routes.source),
            LogField("decodeMillis", "${routes.decodeMillis}"),
            LogField("applyMillis", "${(nowNanos - routes.startedNanos) / NANOS_PER_MILLI}"),
        )
    }

    /**
     * Brings into force what the store lists, if it was read after the time for which this entry keeps what it knew before the store came
     * back from an older copy.
     */
    fun endRetention() {
        synchronized(this) {
            if (storedDataCentres.endRetention(snapshot.routesReadAtNanos / NANOS_PER_MILLI)) bringDataCentresIntoForce()
            if (storedTargets.endRetention(snapshot.targetsReadAtNanos / NANOS_PER_MILLI)) bringTargetsIntoForce(snapshot.targetsPosition)
        }
    }

    /** Begins to keep what is in force if [position], that of a read log, shows that the store has come back from an older copy. */
    private fun noteEra(position: Long) {
        if (eraOfPosition(position) <= era) return
        era = eraOfPosition(position)
        if (snapshot.operatorPosition == UNREAD && snapshot.targetsPosition == UNREAD) return
        events.write(LogEvent.STORE_RETURNED, LogField("era", "$era"))
        storedTargets.onReturn()
        storedDataCentres.onReturn()
    }

    private fun setDataCentresOut(out: Set<String>, position: Long, updates: List<OperatorUpdate> = emptyList()) {
        noteEra(position)
        // The other log may have shown the return some time ago.
        if (isReturn(snapshot.operatorPosition, position)) storedDataCentres.onReturn()
        storedDataCentres.onRead(out, updates)
        bringDataCentresIntoForce()
        snapshot = snapshot.copy(operatorPosition = position)
    }

    private fun bringDataCentresIntoForce() {
        val out = storedDataCentres.inForceOut
        if (out != snapshot.dataCentresOut) events.write(LogEvent.DATA_CENTRE_CHANGED, LogField("out", out.sorted().joinToString(",")))
        snapshot = snapshot.copy(dataCentresOut = out)
    }

    private fun setTargets(targets: TargetTable, position: Long, updates: List<TargetUpdate> = emptyList()) {
        if (firstTargetsPosition == null) firstTargetsPosition = position
        noteEra(position)
        if (isReturn(snapshot.targetsPosition, position)) storedTargets.onReturn()
        storedTargets.onRead(targets, updates)
        bringTargetsIntoForce(position)
    }

    private fun bringTargetsIntoForce(position: Long) {
        val targets = storedTargets.inForce
        val previousIds = snapshot.targets.activeIds()
        val currentIds = targets.activeIds()
        snapshot = snapshot.copy(targets = targets, coldStartEndNanosById = coldStartEndNanosById(targets), targetsPosition = position)
        if (previousIds == currentIds) return
        val added = LogField("added", (currentIds - previousIds).joinToString(","))
        events.write(
            LogEvent.TARGETS_CHANGED,
            added,
            LogField("removed", (previousIds - currentIds).joinToString(",")),
            LogField("position", "$position"),
        )
    }

    /**
     * Returns the end of the cold start by target id. The remaining time of a target whose announcement has changed counts from
     * now.
     */
    private fun coldStartEndNanosById(targets: TargetTable): Map<String, Long> {
        val nowNanos = nanoTime()
        return targets.byId.values.filter { it.remainingColdStartMillis > 0 }.associate { target ->
            val isUnchanged = snapshot.targets.byId[target.id]?.statesSameAs(target) == true
            val endNanos =
                snapshot.coldStartEndNanosById[target.id]?.takeIf { isUnchanged }
                    ?: (nowNanos + target.remainingColdStartMillis * NANOS_PER_MILLI)
            target.id to endNanos
        }
    }

    /** Returns those of a peer's [targets] that can be used: a peer of an earlier release may have accepted others. */
    private fun usableTargets(targets: List<FleetTarget>): List<FleetTarget> =
        targets.filter { target ->
            val fault = target.faultOrNull()
            if (fault !=
                null
            ) {
                events.write(
                    LogEvent.RECORD_UNUSABLE,
                    LogField("detail", "target ${target.id.take(MAX_LOGGED_ID_CHARS)} of a peer: $fault"),
                )
            }
            fault == null
        }

    private fun logDecodeErrors(page: LogPage<*>) =
        page.decodeErrors.forEach { events.write(LogEvent.RECORD_UNUSABLE, LogField("detail", it)) }
}

/** Whether the store came back from an older copy between the reads up to [previous] and up to [position]. */
private fun isReturn(previous: Long, position: Long): Boolean = previous != UNREAD && eraOfPosition(position) > eraOfPosition(previous)

private fun TargetTable.activeIds(): Set<String> =
    byId.values
        .filterNot { it.isDraining }
        .map { it.id }
        .toSet()

private fun applyDataCentreUpdates(previous: Set<String>, updates: List<OperatorUpdate>): Set<String> =
    updates.filterIsInstance<OperatorUpdate.DataCentreChanged>().fold(previous) { out, update ->
        if (update.isOutOfService) out + update.dataCentre else out - update.dataCentre
    }

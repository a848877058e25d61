/*
 * Merges what the store and other entries tell into one [FleetView]. Knowledge never goes back: a version of the
 * configuration or a position in a log that is below the one in force changes nothing.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.TargetTable
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Holds the view of one entry. Thread-safe. */
internal class FleetKnowledge(
    private val events: EventLog,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val listeners = CopyOnWriteArrayList<(FleetView) -> Unit>()

    private val complete = CountDownLatch(1)

    /** What is known now. */
    @Volatile
    var view: FleetView = FleetView()
        private set(value) {
            field = value
            if (value.isComplete) complete.countDown()
        }

    /** Waits until callers can be served, at most [limitMillis]. */
    fun awaitComplete(limitMillis: Long) {
        complete.await(limitMillis, TimeUnit.MILLISECONDS)
    }

    /** Calls [listener] after each read of the store that brought something or confirmed the targets. */
    fun onRead(listener: (FleetView) -> Unit) {
        listeners += listener
    }

    /** Notes a page of the operator's log that was read from [from], which is [UNREAD] for all that is in force. */
    fun onOperatorPage(from: Long, page: LogPage<OperatorUpdate>) {
        logUnusable(page)
        synchronized(this) {
            page.updates.filterIsInstance<OperatorUpdate.Published>().forEach { adopt(it.config, "store") }
            val isNews = page.position > view.operatorPosition
            if (isNews && (from == UNREAD || from == view.operatorPosition)) {
                setDataCentresOut(dataCentresOut(if (from == UNREAD) emptySet() else view.dataCentresOut, page.updates))
                view = view.copy(operatorPosition = page.position)
            }
            view = view.copy(routesReadAtNanos = nanoTime())
            if (!isNews) return
        }
        listeners.forEach { it(view) }
    }

    /** Notes a page of the targets' log that was read from [from], which is [UNREAD] for all targets. */
    fun onTargetsPage(from: Long, page: LogPage<TargetUpdate>) {
        logUnusable(page)
        synchronized(this) {
            if (from != UNREAD && from != view.targetsPosition) return
            if (page.position < view.targetsPosition) return
            setTargets((if (from == UNREAD) TargetTable() else view.targets).withUpdates(page.updates), page.position)
            view = view.copy(targetsReadAtNanos = nanoTime())
        }
        listeners.forEach { it(view) }
    }

    /** Returns what to ask a peer for whose [news] are ahead, or null; notes that it has read what is known here. */
    fun requestFor(news: Frame.FleetNews): Frame.FleetRequest? =
        synchronized(this) {
            if (news.targetsPosition == view.targetsPosition && news.targetsPosition != UNREAD) {
                val readAtNanos = nanoTime() - news.targetsAgeMillis * NANOS_PER_MILLI
                view = view.copy(targetsReadAtNanos = maxOf(view.targetsReadAtNanos, readAtNanos))
            }
            val isAhead =
                news.configVersion > view.configVersion ||
                    news.operatorPosition > view.operatorPosition ||
                    news.targetsPosition > view.targetsPosition
            if (isAhead) Frame.FleetRequest(view.configVersion, view.operatorPosition, view.targetsPosition) else null
        }

    /** Returns what a peer lacks that has as much as [request] says. */
    fun stateFor(request: Frame.FleetRequest): Frame.FleetState {
        val now = view
        return Frame.FleetState(
            config = now.routes?.config?.takeIf { it.version > request.configVersion },
            dataCentresOut = now.dataCentresOut.toList(),
            operatorPosition = now.operatorPosition,
            targets =
                now.targets.byId.values
                    .toList()
                    .takeIf { now.targetsPosition > request.targetsPosition },
            targetsPosition = now.targetsPosition,
        )
    }

    /** Notes what a peer knows. */
    fun onPeerState(state: Frame.FleetState) {
        synchronized(this) {
            state.config?.let { adopt(it, "peer") }
            if (state.operatorPosition > view.operatorPosition) {
                setDataCentresOut(state.dataCentresOut.toSet())
                view = view.copy(operatorPosition = state.operatorPosition)
            }
            val targets = state.targets
            if (targets != null && state.targetsPosition > view.targetsPosition) {
                setTargets(TargetTable(targets.associateBy { it.id }), state.targetsPosition)
            }
        }
    }

    private fun adopt(config: FleetConfig, source: String) {
        if (config.version <= view.configVersion) return
        view = view.copy(routes = RouteTable(config), routesReadAtNanos = nanoTime())
        val routes = LogField("routes", "${config.routes.size}")
        events.write(LogEvent.CONFIG_IN_FORCE, LogField("version", "${config.version}"), routes, LogField("source", source))
    }

    private fun setDataCentresOut(out: Set<String>) {
        if (out != view.dataCentresOut) events.write(LogEvent.DATA_CENTRE_CHANGED, LogField("out", out.sorted().joinToString(",")))
        view = view.copy(dataCentresOut = out)
    }

    private fun setTargets(targets: TargetTable, position: Long) {
        val before = view.targets.idsInUse()
        val after = targets.idsInUse()
        view = view.copy(targets = targets, coldUntilNanos = coldUntil(targets), targetsPosition = position)
        if (before == after) return
        val added = LogField("added", (after - before).joinToString(","))
        events.write(
            LogEvent.TARGETS_CHANGED,
            added,
            LogField("removed", (before - after).joinToString(",")),
            LogField("position", "$position"),
        )
    }

    /** A target that says again that it is cold is cold for as long as it says from now on. */
    private fun coldUntil(targets: TargetTable): Map<String, Long> {
        val now = nanoTime()
        return targets.byId.values.filter { it.remainingColdStartMillis > 0 }.associate { target ->
            val isKnown = view.targets.byId[target.id] == target
            val until = view.coldUntilNanos[target.id]?.takeIf { isKnown } ?: (now + target.remainingColdStartMillis * NANOS_PER_MILLI)
            target.id to until
        }
    }

    private fun logUnusable(page: LogPage<*>) = page.decodeErrors.forEach { events.write(LogEvent.RECORD_UNUSABLE, LogField("detail", it)) }
}

private fun TargetTable.idsInUse(): Set<String> =
    byId.values
        .filterNot { it.isDraining }
        .map { it.id }
        .toSet()

private fun dataCentresOut(before: Set<String>, notices: List<OperatorUpdate>): Set<String> =
    notices.filterIsInstance<OperatorUpdate.DataCentreChanged>().fold(before) { out, notice ->
        if (notice.isOutOfService) out + notice.dataCentre else out - notice.dataCentre
    }

/*
 * Follows the operator's records and the targets' notices in the platform's store, a thread for each, and publishes the
 * result as a [FleetView]. A version of the configuration below one that has been in force is never taken.
 */
package io.jaybeam.entry.direct

import arrow.core.Either
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorNotice
import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.fleet.TargetNotice
import io.jaybeam.core.fleet.TargetTable
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread

// A leaving target is known well within the two seconds that it goes on serving.
private const val TARGETS_EVERY_MILLIS = 700L

// A read that waits costs one call however long it waits; a silent connection is noticed after this time.
private const val OPERATOR_WAIT_MILLIS = 5_000L
private const val RETRY_MILLIS = 250L

/** Keeps a [FleetView] up to date. */
internal class FleetFollower(
    private val store: FleetStore,
    private val events: EventLog,
) {
    private val current = AtomicReference(FleetView())

    /** What is known now. */
    val view: FleetView get() = current.get()

    fun start() {
        thread(name = "follow-operator", isDaemon = true) {
            follow("operator", { store.newestOperator() }, { store.operatorFrom(it, OPERATOR_WAIT_MILLIS) }, 0, ::onOperator)
        }
        thread(name = "follow-targets", isDaemon = true) {
            follow("targets", { store.newestTargets() }, { store.targetsFrom(it) }, TARGETS_EVERY_MILLIS, ::onTargets)
        }
    }

    private fun <T> follow(
        name: String,
        newest: () -> Either<StoreFault, LogPage<T>>,
        from: (Long) -> Either<StoreFault, LogPage<T>>,
        pauseMillis: Long,
        onPage: (LogPage<T>, isWhole: Boolean) -> Unit,
    ) {
        var position: Long? = null
        var isLost = false
        while (true) {
            val at = position
            val answer = if (at == null) newest() else from(at)
            answer.fold(
                { fault ->
                    if (fault is StoreFault.Expired) position = null
                    if (!isLost) events.write(LogEvent.STORE_LOST, LogField("follower", name), LogField("detail", fault.detail))
                    isLost = fault !is StoreFault.Expired
                },
                { page ->
                    if (isLost) events.write(LogEvent.STORE_REGAINED, LogField("follower", name), LogField("position", "${page.position}"))
                    isLost = false
                    position = page.position
                    page.unusable.forEach { events.write(LogEvent.RECORD_UNUSABLE, LogField("detail", it)) }
                    onPage(page, at == null)
                },
            )
            Thread.sleep(if (answer.isLeft()) RETRY_MILLIS else pauseMillis)
        }
    }

    private fun onOperator(page: LogPage<OperatorNotice>, isWhole: Boolean) {
        val now = System.nanoTime()
        val newest = page.notices.filterIsInstance<OperatorNotice.Published>().maxByOrNull { it.config.version }
        val before = current.get()
        val known = before.routes
        if (newest != null && newest.config.version > (known?.config?.version ?: -1)) {
            val table = RouteTable(newest.config)
            current.updateAndGet { it.copy(routes = table) }
            events.write(
                LogEvent.CONFIG_IN_FORCE,
                LogField("version", "${newest.config.version}"),
                LogField("routes", "${newest.config.routes.size}"),
            )
        }
        val out = dataCentresOut(if (isWhole) emptySet() else before.dataCentresOut, page.notices)
        if (out != before.dataCentresOut) events.write(LogEvent.DATA_CENTRE_CHANGED, LogField("out", out.sorted().joinToString(",")))
        current.updateAndGet { it.copy(dataCentresOut = out, routesReadAtNanos = now) }
    }

    private fun onTargets(page: LogPage<TargetNotice>, isWhole: Boolean) {
        val now = System.nanoTime()
        val before = current.get().targets ?: TargetTable()
        val after = (if (isWhole) TargetTable() else before).after(page.notices)
        current.updateAndGet { it.copy(targets = after, targetsReadAtNanos = now) }
        val usableBefore =
            before.byId.values
                .filterNot { it.isLeaving }
                .map { it.id }
                .toSet()
        val usableAfter =
            after.byId.values
                .filterNot { it.isLeaving }
                .map { it.id }
                .toSet()
        if (usableBefore == usableAfter) return
        val added = LogField("added", (usableAfter - usableBefore).joinToString(","))
        val removed = LogField("removed", (usableBefore - usableAfter).joinToString(","))
        events.write(LogEvent.TARGETS_CHANGED, added, removed, LogField("position", "${page.position}"))
    }
}

private fun dataCentresOut(before: Set<String>, notices: List<OperatorNotice>): Set<String> =
    notices.filterIsInstance<OperatorNotice.DataCentreOut>().fold(before) { out, notice ->
        if (notice.isOut) out + notice.dataCentre else out - notice.dataCentre
    }

/*
 * Calls ranks directly instead of through their sides, so that a side that is frozen or has ended does not block the group.
 * The platform charges for such calls, so they are made only for holds and for ranks whose sides are silent. The state of
 * a rank that is read from another instance is some time old, so after an order the rank is read only when its state is
 * more recent than the order.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.runtime.WorkerThread
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame

// Holds several orders for each rank of a group of 64.
private const val QUEUE_CAPACITY = 256
private const val TICK_INTERVAL_MILLIS = 20L

// Added to the report lag of the engine model.
private const val REPORT_LAG_MARGIN_MILLIS = 100L

/** A call to one or several ranks. */
internal sealed class RemoteCall {
    /** Reads the ranks at [addresses] and, unless [knownAddresses] is null, the targets in the store that are not in it. */
    data class Read(
        val addresses: List<HostPort>,
        val knownAddresses: Set<HostPort>?,
    ) : RemoteCall()

    /** Sends [order] to the rank at [address]. */
    data class SendOrder(
        val address: HostPort,
        val order: FencedOrder,
        val map: GroupMap?,
    ) : RemoteCall()
}

/** An order whose rank is read at [readAtNanos], when the state that the rank reports is more recent than the order. */
private class UnreadOrder(
    val call: RemoteCall.SendOrder,
    val outcome: OrderOutcome,
    val readAtNanos: Long,
)

/** Calls ranks directly, on its own thread, and passes the results to [onResult]. */
internal class RemoteRankClient(
    private val store: FleetStore,
    private val service: String?,
    private val rankPortAt: (HostPort) -> RankPort,
    private val maySendOrders: () -> Boolean,
    private val events: EventLog,
    private val onResult: (CoordinatorMessage) -> Unit,
) : AutoCloseable {
    private val ports = HashMap<HostPort, RankPort>()
    private val worker =
        WorkerThread<RemoteCall>("remote-ranks", QUEUE_CAPACITY, TICK_INTERVAL_MILLIS, events, ::onCall, ::readRanksAfterOrders)
    private val unreadOrders = ArrayDeque<UnreadOrder>()

    /** Maximum age of the state that is read from a rank, in milliseconds. */
    @Volatile
    var reportLagMillis = 0L

    fun start() = worker.start()

    override fun close() = worker.close()

    /** Reads the ranks at [addresses] and, unless [knownAddresses] is null, the targets in the store that are not in it. */
    fun read(addresses: List<HostPort>, knownAddresses: Set<HostPort>?) {
        // Skipped while calls are queued, as ranks are read again periodically.
        if (worker.backlog == 0) worker.offer(RemoteCall.Read(addresses, knownAddresses))
    }

    /** Sends [order] to the rank at [address]. The order is dropped if the queue is full, as orders are repeated. */
    fun sendOrder(address: HostPort, order: FencedOrder, map: GroupMap?) {
        worker.offer(RemoteCall.SendOrder(address, order, map))
    }

    private fun onCall(call: RemoteCall) =
        when (call) {
            is RemoteCall.Read -> (call.addresses + call.knownAddresses?.let(::unknownTargetAddresses).orEmpty()).forEach(::readStatus)
            is RemoteCall.SendOrder -> executeOrder(call)
        }

    private fun unknownTargetAddresses(knownAddresses: Set<HostPort>): List<HostPort> =
        store.readLatestTargets().fold(
            { fault ->
                events.write(LogEvent.STORE_LOST, LogField("follower", "remote-ranks"), LogField("detail", fault.detail))
                emptyList()
            },
            { logPage ->
                logPage.updates
                    .filterIsInstance<TargetUpdate.Announced>()
                    .filter { it.target.service == service }
                    .map { HostPort(it.target.host, it.target.port) }
                    .filter { it !in knownAddresses }
            },
        )

    private fun readStatus(address: HostPort) {
        cachedPort(address).status().fold(
            { events.write(LogEvent.RANK_UNREADABLE, LogField("address", "$address"), LogField("detail", it.detail)) },
            { onResult(CoordinatorMessage.RemoteStatus(address, it)) },
        )
    }

    private fun executeOrder(call: RemoteCall.SendOrder) {
        // The process may have been frozen since the order was queued.
        if (!maySendOrders()) return logOrder(call, "LEASE_ENDED", tookMillis = 0)
        val sentAtNanos = System.nanoTime()
        val outcome = cachedPort(call.address).sendOrder(call.order, call.map)
        val tookMillis = (System.nanoTime() - sentAtNanos) / NANOS_PER_MILLI
        logOrder(call, outcome.name, tookMillis)
        // Acceptance is reported immediately, and so is a hold without answer, which is then sent through its side. The state of the
        // rank after the order is reported later, once it can be read.
        val isUnansweredHold = call.order is FencedOrder.Hold && outcome == OrderOutcome.UNKNOWN
        if (outcome == OrderOutcome.ACCEPTED || isUnansweredHold) {
            onResult(CoordinatorMessage.Reply(Frame.RankReply(call.order, outcome, null)))
        }
        if (call.order is FencedOrder.Hold && outcome == OrderOutcome.ACCEPTED || isUnansweredHold) return
        val readAtNanos = System.nanoTime() + (reportLagMillis + REPORT_LAG_MARGIN_MILLIS) * NANOS_PER_MILLI
        unreadOrders += UnreadOrder(call, outcome, readAtNanos)
    }

    private fun logOrder(call: RemoteCall.SendOrder, outcome: String, tookMillis: Long) =
        events.write(
            LogEvent.RANK_ORDER,
            LogField("address", "${call.address}"),
            LogField("order", "${call.order}"),
            LogField("outcome", outcome),
            LogField("tookMillis", "$tookMillis"),
        )

    private fun readRanksAfterOrders() {
        while (unreadOrders.isNotEmpty() && System.nanoTime() >= unreadOrders.first().readAtNanos) {
            val unread = unreadOrders.removeFirst()
            val reading = cachedPort(unread.call.address).status().fold({ null }, { it.reading })
            onResult(CoordinatorMessage.Reply(Frame.RankReply(unread.call.order, unread.outcome, reading)))
        }
    }

    private fun cachedPort(address: HostPort) = ports.getOrPut(address) { rankPortAt(address) }
}

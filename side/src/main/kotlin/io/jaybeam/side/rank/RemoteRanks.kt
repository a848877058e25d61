/*
 * Reaches ranks without their sides: a side that is frozen or gone must not keep the whole group waiting. The platform
 * prices such calls, so they are made only for ranks whose sides are silent. A report that is read from afar shows the rank
 * as it was some time ago, so the rank is read after an order only when its reports are younger than that.
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

// Orders to all ranks of a group of 64, a few times over.
private const val QUEUED_CALLS = 256
private const val TICK_MILLIS = 20L

// Beyond the stated lag of reports.
private const val LAG_MARGIN_MILLIS = 100L

/** One call to be made. */
internal sealed class RemoteCall {
    /** Read the ranks at [silent], and all targets but those in [known] unless that is null. */
    data class Read(
        val silent: List<HostPort>,
        val known: Set<HostPort>?,
    ) : RemoteCall()

    /** Give an order. */
    data class Give(
        val address: HostPort,
        val order: FencedOrder,
        val map: GroupMap?,
    ) : RemoteCall()
}

/** An order whose rank is read as soon as its reports are younger than the order. */
private class UnreadOrder(
    val call: RemoteCall.Give,
    val outcome: OrderOutcome,
    val readAtNanos: Long,
)

/** Calls ranks from afar, on a thread of its own; what they answer goes to [tell]. */
internal class RemoteRanks(
    private val store: FleetStore,
    private val service: String?,
    private val rankAt: (HostPort) -> RankPort,
    private val events: EventLog,
    private val tell: (CoordinatorMessage) -> Unit,
) : AutoCloseable {
    private val ports = HashMap<HostPort, RankPort>()
    private val duty = WorkerThread<RemoteCall>("remote-ranks", QUEUED_CALLS, TICK_MILLIS, events, ::make, ::readAfterOrders)
    private val unread = ArrayDeque<UnreadOrder>()

    /** How old reports of ranks may be, in milliseconds. */
    @Volatile
    var reportLagMillis = 0L

    fun start() = duty.start()

    override fun close() = duty.close()

    /** Reads the ranks at [silent], and those that are in the store but not in [known] unless that is null. */
    fun read(silent: List<HostPort>, known: Set<HostPort>?) {
        // With calls still waiting, the next round will do.
        if (duty.backlog == 0) duty.offer(RemoteCall.Read(silent, known))
    }

    /** Gives [order] to the rank at [address]; dropped where too many calls wait, as orders are repeated. */
    fun give(address: HostPort, order: FencedOrder, map: GroupMap?) {
        duty.offer(RemoteCall.Give(address, order, map))
    }

    private fun make(call: RemoteCall) =
        when (call) {
            is RemoteCall.Read -> (call.silent + call.known?.let(::targetsBeside).orEmpty()).forEach(::readOne)
            is RemoteCall.Give -> giveOne(call)
        }

    private fun targetsBeside(known: Set<HostPort>): List<HostPort> =
        store.readLatestTargets().fold(
            { fault ->
                events.write(LogEvent.STORE_LOST, LogField("follower", "remote-ranks"), LogField("detail", fault.detail))
                emptyList()
            },
            { page ->
                page.updates
                    .filterIsInstance<TargetUpdate.Announced>()
                    .filter { it.target.service == service }
                    .map { HostPort(it.target.host, it.target.port) }
                    .filter { it !in known }
            },
        )

    private fun readOne(address: HostPort) {
        portAt(address).status().fold(
            { events.write(LogEvent.RANK_UNREADABLE, LogField("address", "$address"), LogField("detail", it.detail)) },
            { tell(CoordinatorMessage.Read(address, it)) },
        )
    }

    private fun giveOne(call: RemoteCall.Give) {
        val outcome = portAt(call.address).sendOrder(call.order, call.map)
        val order = LogField("order", "${call.order}")
        events.write(LogEvent.RANK_ORDER, LogField("address", "${call.address}"), order, LogField("outcome", outcome.name))
        // What a rank accepted is told at once; its state after that is not known before its reports show it.
        if (outcome == OrderOutcome.ACCEPTED) tell(CoordinatorMessage.Reply(Frame.RankReply(call.order, outcome, null)))
        if (call.order is FencedOrder.Hold && outcome == OrderOutcome.ACCEPTED) return
        val readAtNanos = System.nanoTime() + (reportLagMillis + LAG_MARGIN_MILLIS) * NANOS_PER_MILLI
        unread += UnreadOrder(call, outcome, readAtNanos)
    }

    private fun readAfterOrders() {
        while (unread.isNotEmpty() && System.nanoTime() >= unread.first().readAtNanos) {
            val order = unread.removeFirst()
            val reading = portAt(order.call.address).status().fold({ null }, { it.reading })
            tell(CoordinatorMessage.Reply(Frame.RankReply(order.call.order, order.outcome, reading)))
        }
    }

    private fun portAt(address: HostPort) = ports.getOrPut(address) { rankAt(address) }
}

/*
 * Reads the local rank, reports its state to the group's coordinator, and passes the coordinator's orders on to the rank.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.changedBy
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.core.rankgroup.RankReading
import io.jaybeam.core.rankgroup.RankStatus
import io.jaybeam.runtime.WorkerThread
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.reportedLoadOf

// A map change that takes longer than this has been abandoned.
private const val MAX_CHANGE_MILLIS = 2_000L
private const val TICK_INTERVAL_MILLIS = 30L
private const val QUEUE_CAPACITY = 64

/** Message to a [RankAgent]. */
internal sealed class RankAgentMessage {
    /** The [link] to the coordinator, which replaces any earlier one. */
    data class CoordinatorLink(
        val link: Link,
    ) : RankAgentMessage()

    /** [link] to a coordinator was closed, possibly after a newer one was opened. */
    data class CoordinatorLinkClosed(
        val link: Link,
    ) : RankAgentMessage()

    /** An order that the coordinator sent over [link]. */
    data class Order(
        val link: Link,
        val frame: Frame.RankOrder,
    ) : RankAgentMessage()
}

/** The last [map] received over [link]. */
private class ReceivedMap(
    val link: Link,
    val map: GroupMap,
)

/** Reads and reports one rank and executes orders for it, on its own thread. */
internal class RankAgent(
    private val rank: RankPort,
    private val address: HostPort,
    private val events: EventLog,
    private val nanoTime: () -> Long = System::nanoTime,
) : AutoCloseable {
    private val worker = WorkerThread("rank", QUEUE_CAPACITY, TICK_INTERVAL_MILLIS, events, ::onMessage, ::onTick)
    private val demandSampler = DemandSampler(rank, nanoTime)
    private var link: Link? = null
    private var receivedMap: ReceivedMap? = null
    private var reportedMapVersion: Long? = null
    private var sentReading: RankReading? = null
    private var nextReadAtNanos = nanoTime()
    private var nextReportAtNanos = nanoTime()
    private var changeUntilNanos = nanoTime()
    private var mapVersionBeforeChange = 0L
    private var groupSize = 1
    private var isUnreadable = false

    /** Highest fencing token of the orders that were passed on to the rank. */
    private var highestFence = 0L

    /** Name of the rank's group; null until the rank has been read. */
    @Volatile
    var groupName: String? = null
        private set

    /** Number of the rank in its group; null until the rank has been read. */
    @Volatile
    var rankNumber: Int? = null
        private set

    fun start() = worker.start()

    /** Queues [message]; returns false if the queue is full. */
    fun offer(message: RankAgentMessage): Boolean = worker.offer(message)

    override fun close() = worker.close()

    private fun onMessage(message: RankAgentMessage) {
        when (message) {
            is RankAgentMessage.CoordinatorLink -> {
                link = message.link
                reportedMapVersion = null
                nextReadAtNanos = nanoTime()
                nextReportAtNanos = nanoTime()
            }

            is RankAgentMessage.CoordinatorLinkClosed -> {
                if (link === message.link) link = null
            }

            is RankAgentMessage.Order -> {
                if (message.frame.order.fence < highestFence) refuse(message) else executeOrder(message)
            }
        }
    }

    /** Refuses an order of a coordinator that was replaced, which a rank that does not check fencing tokens would carry out. */
    private fun refuse(message: RankAgentMessage.Order) {
        val order = message.frame.order
        message.link.send(Frame.RankReply(order, OrderOutcome.FENCED, reading = null))
        events.write(LogEvent.RANK_ORDER, LogField("order", "$order"), LogField("outcome", "${OrderOutcome.FENCED} by the side"))
    }

    private fun executeOrder(message: RankAgentMessage.Order) {
        val order = message.frame.order
        highestFence = order.fence
        val map = if (order is FencedOrder.Prepare) mapOfOrNull(message) ?: return else null
        if (map != null) receivedMap = ReceivedMap(message.link, map)
        val outcome = rank.sendOrder(order, map)
        if (outcome == OrderOutcome.ACCEPTED &&
            order is FencedOrder.Prepare
        ) {
            changeUntilNanos = nanoTime() + MAX_CHANGE_MILLIS * NANOS_PER_MILLI
        }
        val status = readStatusOrNull()
        message.link.send(Frame.RankReply(order, outcome, status?.reading))
        if (status != null) sentReading = status.reading
        if (outcome !=
            OrderOutcome.ACCEPTED
        ) {
            events.write(LogEvent.RANK_ORDER, LogField("order", "$order"), LogField("outcome", outcome.name))
        }
    }

    /** Returns the map of an order to prepare one, or closes the link if its change does not fit the last map received over it. */
    private fun mapOfOrNull(message: RankAgentMessage.Order): GroupMap? {
        val frame = message.frame
        val previous = receivedMap?.takeIf { it.link === message.link }?.map
        return try {
            frame.map
                ?: frame.compactMapChange?.mapAfter(previous)
                ?: frame.mapChange?.let { previous?.changedBy(it) }
                ?: null.also { message.link.close("an order to prepare a map came without a map, or with a change before any map") }
        } catch (e: IllegalArgumentException) {
            null.also { message.link.close("a map change does not fit the last map: ${e.message}") }
        }
    }

    private fun onTick() {
        demandSampler.onTick()
        if (nanoTime() < nextReadAtNanos && !isDemandDue) return
        val isChanging = nanoTime() < changeUntilNanos
        nextReadAtNanos = nanoTime() + readIntervalMillis(groupSize, isChanging) * NANOS_PER_MILLI
        val status = readStatusOrNull() ?: return
        groupSize = status.groupSize
        val reading = status.reading
        if (isChanging && reading.mapVersion > mapVersionBeforeChange) changeUntilNanos = nanoTime()
        if (!isChanging) mapVersionBeforeChange = reading.mapVersion
        val isReportDue = isDemandDue || nanoTime() >= nextReportAtNanos
        if (!isChanging || isReportDue || isNewState(reading)) report(status)
    }

    private val isDemandDue: Boolean get() = link?.isOpen == true && demandSampler.isDue

    /** Whether [reading] differs from the last reading sent in more than the passes that have begun since. */
    private fun isNewState(reading: RankReading) = reading != sentReading?.copy(lastPass = reading.lastPass)

    private fun report(status: RankStatus) {
        nextReportAtNanos = nanoTime() + reportIntervalMillis(groupSize) * NANOS_PER_MILLI
        val reading = status.reading
        val openLink = link?.takeIf { it.isOpen } ?: return
        val experts = if (reportedMapVersion == reading.mapVersion) null else readExpertsOrNull(reading.mapVersion)
        openLink.send(
            Frame.RankReport(
                reading,
                status.groupSize,
                emptyList(),
                experts,
                address,
                demandSampler.takeIfDue(groupSize),
                acceptsMapChanges = true,
                acceptsCompactMapChanges = true,
                load = reportedLoadOf(status),
            ),
        )
        sentReading = reading
        if (experts != null) reportedMapVersion = reading.mapVersion
    }

    private fun readStatusOrNull(): RankStatus? =
        rank.status().fold(
            { fault ->
                if (!isUnreadable) events.write(LogEvent.RANK_UNREADABLE, LogField("detail", fault.detail))
                isUnreadable = true
                null
            },
            { status ->
                isUnreadable = false
                groupName = status.group
                rankNumber = status.reading.rank
                status
            },
        )

    private fun readExpertsOrNull(mapVersion: Long): List<List<Int>>? =
        rank.experts().fold(
            { fault ->
                events.write(LogEvent.RANK_UNREADABLE, LogField("detail", fault.detail))
                null
            },
            { experts -> experts.sets.takeIf { experts.mapVersion == mapVersion } },
        )
}

internal const val NANOS_PER_MILLI = 1_000_000L

/*
 * Reads the rank on this machine, reports to the group's coordinator and carries out its orders.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.rankgroup.ExpertCounts
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.core.rankgroup.RankStatus
import io.jaybeam.runtime.WorkerThread
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

// A change that takes longer has been given up.
private const val CHANGE_MILLIS = 2_000L
private const val TICK_MILLIS = 30L
private const val QUEUED_ORDERS = 64

/** What the watch is told. */
internal sealed class WatchMessage {
    /** The coordinator is reached over [link]; null while there is none. */
    data class Coordinator(
        val link: Link?,
    ) : WatchMessage()

    /** The coordinator gave an order over [link]. */
    data class Order(
        val link: Link,
        val frame: Frame.RankOrder,
    ) : WatchMessage()
}

/** Watches one rank, on a thread of its own. */
internal class RankWatch(
    private val rank: RankPort,
    private val address: HostPort,
    private val events: EventLog,
    private val nanoTime: () -> Long = System::nanoTime,
) : AutoCloseable {
    private val duty = WorkerThread("rank", QUEUED_ORDERS, TICK_MILLIS, events, ::onMessage, ::onTick)
    private var link: Link? = null
    private var lastCounts: ExpertCounts? = null
    private var reportedMap: Long? = null
    private var nextReportNanos = 0L
    private var changingUntilNanos = nanoTime()
    private var mapBeforeChange = 0L
    private var groupSize = 1
    private var isUnreadable = false

    /** Name of the rank's group; null until the rank was read. */
    @Volatile
    var group: String? = null
        private set

    /** The rank's number in its group; null until the rank was read. */
    @Volatile
    var rankNumber: Int? = null
        private set

    fun start() = duty.start()

    /** Tells the watch something; returns false if it is too busy. */
    fun tell(message: WatchMessage): Boolean = duty.offer(message)

    override fun close() = duty.close()

    private fun onMessage(message: WatchMessage) {
        when (message) {
            is WatchMessage.Coordinator -> {
                link = message.link
                reportedMap = null
                nextReportNanos = 0
            }

            is WatchMessage.Order -> {
                carryOut(message)
            }
        }
    }

    private fun carryOut(message: WatchMessage.Order) {
        val order = message.frame.order
        val outcome = rank.sendOrder(order, message.frame.map)
        if (outcome == OrderOutcome.ACCEPTED &&
            order is FencedOrder.Prepare
        ) {
            changingUntilNanos = nanoTime() + CHANGE_MILLIS * NANOS_PER_MILLI
        }
        val status = statusOrNull()
        message.link.send(Frame.RankReply(order, outcome, status?.reading))
        if (outcome !=
            OrderOutcome.ACCEPTED
        ) {
            events.write(LogEvent.RANK_ORDER, LogField("order", "$order"), LogField("outcome", outcome.name))
        }
    }

    private fun onTick() {
        if (nanoTime() < nextReportNanos) return
        val isChanging = nanoTime() < changingUntilNanos
        nextReportNanos = nanoTime() + reportMillis(groupSize, isChanging) * NANOS_PER_MILLI
        val status = statusOrNull() ?: return
        groupSize = status.groupSize
        val reading = status.reading
        if (isChanging && reading.mapVersion > mapBeforeChange) changingUntilNanos = nanoTime()
        if (!isChanging) mapBeforeChange = reading.mapVersion
        val open = link?.takeIf { it.isOpen } ?: return
        val experts = if (reportedMap == reading.mapVersion) null else expertsOrNull(reading.mapVersion)
        open.send(Frame.RankReport(reading, status.groupSize, demandSinceLast(), experts, address))
        if (experts != null) reportedMap = reading.mapVersion
    }

    private fun statusOrNull(): RankStatus? =
        rank.status().fold(
            { fault ->
                if (!isUnreadable) events.write(LogEvent.RANK_UNREADABLE, LogField("detail", fault.detail))
                isUnreadable = true
                null
            },
            { status ->
                isUnreadable = false
                group = status.group
                rankNumber = status.reading.rank
                status
            },
        )

    private fun expertsOrNull(mapVersion: Long): List<List<Int>>? =
        rank.experts().fold(
            { fault ->
                events.write(LogEvent.RANK_UNREADABLE, LogField("detail", fault.detail))
                null
            },
            { experts -> experts.sets.takeIf { experts.mapVersion == mapVersion } },
        )

    /** Counts grow from the rank's start; a rank that started again has lower ones. */
    private fun demandSinceLast(): List<Int> {
        val now = rank.counts().fold({ return emptyList() }, { it })
        val before = lastCounts?.takeIf { it.counts.size == now.counts.size && it.epoch == now.epoch }
        lastCounts = now
        if (before == null) return emptyList()
        return now.counts.indices.map { (now.counts[it] - before.counts[it]).coerceIn(0, Int.MAX_VALUE.toLong()).toInt() }
    }
}

internal const val NANOS_PER_MILLI = 1_000_000L

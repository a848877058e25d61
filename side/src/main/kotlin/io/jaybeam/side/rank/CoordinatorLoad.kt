/*
 * Measures what coordinating a group costs: traffic on links, orders sent, and how long ranks take to answer them.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.LinkTotals

private const val LOG_INTERVAL_MILLIS = 1_000L

/** Logs the load of the coordinator once a second, as the difference from the previous line. Not thread-safe. */
internal class CoordinatorLoad(
    private val linkTotals: () -> LinkTotals,
    private val events: EventLog,
) {
    private val firstSentAtMillis = HashMap<FencedOrder, Long>()
    private val sentByKind = sortedMapOf<String, Int>()
    private var slowestReplyMillis = 0L
    private var lastTotals = linkTotals()
    private var lastLoggedAtMillis = 0L

    /** Records that [order] is being sent. */
    fun onOrderSent(order: FencedOrder, nowMillis: Long) {
        firstSentAtMillis.putIfAbsent(order, nowMillis)
        sentByKind.merge(order::class.simpleName.orEmpty(), 1, Int::plus)
    }

    /** Records that a rank has answered [order]. */
    fun onOrderAnswered(order: FencedOrder, nowMillis: Long) {
        val sentAtMillis = firstSentAtMillis.remove(order) ?: return
        slowestReplyMillis = maxOf(slowestReplyMillis, nowMillis - sentAtMillis)
    }

    /** Forgets orders that no longer matter, as their change is over. */
    fun onChangeOver() = firstSentAtMillis.clear()

    /** Writes a line if the last one is a second old; [backlog] is the number of messages that wait for the coordinator. */
    fun logIfDue(backlog: Int, nowMillis: Long) {
        if (nowMillis - lastLoggedAtMillis < LOG_INTERVAL_MILLIS) return
        lastLoggedAtMillis = nowMillis
        val totals = linkTotals()
        val traffic = totals - lastTotals
        events.write(
            LogEvent.COORDINATOR_LOAD,
            LogField("backlog", "$backlog"),
            LogField("receivedFrames", "${traffic.receivedFrames}"),
            LogField("receivedBytes", "${traffic.receivedBytes}"),
            LogField("sentFrames", "${traffic.sentFrames}"),
            LogField("sentBytes", "${traffic.sentBytes}"),
            LogField("slowestReplyMillis", "$slowestReplyMillis"),
            LogField("ordersUnanswered", "${firstSentAtMillis.size}"),
            LogField("ordersSent", sentByKind.entries.joinToString { "${it.key} ${it.value}" }),
        )
        lastTotals = totals
        sentByKind.clear()
        slowestReplyMillis = 0
    }
}

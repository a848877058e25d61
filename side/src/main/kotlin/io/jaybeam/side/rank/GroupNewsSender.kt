/*
 * Tells entries what the ranks of a group do, while this process coordinates the group. The entries choose groups by it.
 *
 * A group that opens, closes or forms again is news at once; loads follow at an interval that grows with the group, and only while
 * an entry says that they are of use. Each report carries its age, as clocks of instances differ.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.GroupReport
import io.jaybeam.core.rankgroup.GroupObserver
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.compactGroupReportOf

/** Where news of a group are sent. Thread-safe. */
internal interface GroupNewsReceivers {
    /** Whether a receiver uses the loads of ranks. */
    val areLoadsUseful: Boolean

    /** Counts the receivers that have been found, so that a change shows that there is a new one. */
    val receiverGeneration: Int

    /** Searches for receivers until [release] is called. */
    fun request()

    /** Ends the links to all receivers. */
    fun release()

    fun send(news: Frame.GroupNews)
}

/** Sends news of a group of [service]. Not thread-safe: the coordinator's thread calls it. */
internal class GroupNewsSender(
    service: String,
    private val receivers: GroupNewsReceivers,
    private val events: EventLog,
) {
    private val observer = GroupObserver(service)
    private var sentReport: GroupReport? = null
    private var sentAtMillis = 0L
    private var sentGeneration = 0

    /** Records a report of a rank's side. */
    fun onReport(frame: Frame.RankReport, nowMillis: Long) =
        observer.onReport(frame.reading, frame.groupSize, frame.load?.toRankLoad(frame.address, frame.reading.rank), nowMillis)

    /** Ends the news of a process that does not coordinate any more. */
    fun onTermEnded() {
        observer.clear()
        sentReport = null
        receivers.release()
    }

    /** Sends the state of [group] if a report is due in [term]. */
    fun sendIfDue(group: String, term: Long, nowMillis: Long) {
        receivers.request()
        val isStateNew = observer.isOpen != sentReport?.isOpen || observer.epoch != sentReport?.epoch
        val isReceiverNew = receivers.receiverGeneration != sentGeneration
        val areLoadsUseful = receivers.areLoadsUseful
        val intervalMillis = groupNewsIntervalMillis(observer.rankCount, areLoadsUseful)
        if (!isStateNew && !isReceiverNew && nowMillis - sentAtMillis < intervalMillis) return
        val ageMillis = observer.ageMillis(nowMillis) ?: return
        val report = observer.report(group, term, nowMillis) ?: return
        if (isStateNew) logChange(report, ageMillis)
        sentGeneration = receivers.receiverGeneration
        // Loads name the members of the group, which each entry needs once.
        val sentLoads = if (areLoadsUseful || isStateNew || isReceiverNew) report.ranks else emptyList()
        receivers.send(Frame.GroupNews(compactGroupReportOf(report.copy(ranks = sentLoads)), ageMillis))
        sentReport = report
        sentAtMillis = nowMillis
    }

    private fun logChange(report: GroupReport, ageMillis: Long) =
        events.write(
            LogEvent.GROUP_CHANGED,
            LogField("service", report.service),
            LogField("group", report.group),
            LogField("epoch", "${report.epoch}"),
            LogField("isOpen", "${report.isOpen}"),
            LogField("ranks", "${report.ranks.size}"),
            LogField("rankCount", "${report.rankCount}"),
            LogField("passMillis", "${report.passMillis}"),
            LogField("ageMillis", "$ageMillis"),
        )
}

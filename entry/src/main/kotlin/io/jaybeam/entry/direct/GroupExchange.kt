/*
 * News of rank groups at an entry: keeps what sides and other entries report, and passes on what was new.
 *
 * A group that opens, closes or forms again is told to all peers at once, in a frame without loads. Regular reports go to a few
 * peers chosen at random, which pass them on in turn, within a budget of bytes that does not depend on the number of entries,
 * groups or ranks. Where there are too many groups for that budget, loads become too old to be trusted before the states do.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.cost.AgedRankLoad
import io.jaybeam.core.fleet.ByteBudget
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.GROUP_NEWS_BYTES_PER_SECOND
import io.jaybeam.core.fleet.GROUP_NEWS_RECEIVERS
import io.jaybeam.core.fleet.GroupKey
import io.jaybeam.core.fleet.GroupNewsOutcome
import io.jaybeam.core.fleet.GroupReport
import io.jaybeam.core.fleet.GroupView
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.KnownGroup
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.approximateBytes
import io.jaybeam.wire.compactGroupReportOf
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

private const val BURST_BYTES = 4_000

// Loads leave half of the burst to states, of which each entry needs one in a few seconds.
private const val LOADS_MIN_BUDGET_SHARE = 0.5
private const val STATE_INTERVAL_MILLIS = 1_000L
private const val LOG_INTERVAL_MILLIS = 1_000L
private const val MAX_LOGGED_CHARS = 80

/**
 * Keeps the [view] of one entry and passes news on. Thread-safe; [nowMillis] is monotonic. [areSingleGroupLoadsUseful] tells whether
 * loads are used if the group of a report is the only one of its service.
 */
internal class GroupExchange(
    private val isKnownService: (String) -> Boolean,
    private val events: EventLog,
    val nowMillis: () -> Long,
    private val random: Random = Random.Default,
    private val areSingleGroupLoadsUseful: (GroupReport) -> Boolean = { false },
) {
    private val listeners = CopyOnWriteArrayList<(KnownGroup, Long) -> Unit>()
    private val budget = ByteBudget(GROUP_NEWS_BYTES_PER_SECOND, BURST_BYTES)
    private val statePassedOnAtMillis = HashMap<GroupKey, Long>()
    private var refusalLoggedAtMillis: Long? = null

    /** What is known of all groups. */
    @Volatile
    var view: GroupView = GroupView()
        private set

    /** Whether loads decide anything: a request has several groups to go to, or a single one's ranks are chosen by their reports. */
    val areLoadsUseful: Boolean
        get() =
            view
                .groups(nowMillis())
                .groupBy { it.report.service }
                .any { (_, groups) -> areLoadsUsed(groups) }

    /** Returns what [target] has reported as a rank; null if there is no recent report, or if loads of its service are not used. */
    fun reportedLoadOf(target: FleetTarget): AgedRankLoad? {
        val now = nowMillis()
        if (!areLoadsUsed(view.groupsOf(target.service, now))) return null
        return view.reportedLoadOf(target.service, HostPort(target.host, target.port), now)
    }

    private fun areLoadsUsed(groupsOfService: List<KnownGroup>): Boolean =
        groupsOfService.size > 1 || groupsOfService.any { areSingleGroupLoadsUseful(it.report) }

    /** Calls [listener] with each group of which a new report has arrived, and the age of that report in milliseconds. */
    fun addListener(listener: (KnownGroup, Long) -> Unit) {
        listeners += listener
    }

    /** Records [news] from [peer] and passes on to [receivers] what was new. */
    fun onNews(news: Frame.GroupNews, peer: String, receivers: List<Link>) {
        val report =
            try {
                news.report.toReport()
            } catch (e: IllegalArgumentException) {
                return refuse(peer, news, "${e.message}")
            }
        if (!isKnownService(report.service)) return refuse(peer, news, "the configuration has no such service")
        add(news, report, peer, receivers)?.let { known -> listeners.forEach { it(known, news.ageMillis) } }
    }

    /** Returns what is known of the group if [report] was new. */
    @Synchronized
    private fun add(
        news: Frame.GroupNews,
        report: GroupReport,
        peer: String,
        receivers: List<Link>,
    ): KnownGroup? {
        when (val outcome = view.add(report, news.ageMillis, nowMillis())) {
            is GroupNewsOutcome.Known -> return null

            is GroupNewsOutcome.Refused -> return null.also { refuse(peer, news, outcome.problem) }

            is GroupNewsOutcome.Added -> {
                view = outcome.view
                if (outcome.isStateNew) logChange(outcome.known, news.ageMillis)
                passOn(news, report, outcome.isStateNew, receivers)
                return outcome.known
            }
        }
    }

    /** Returns what a peer needs that has just connected. */
    fun currentNews(): List<Frame.GroupNews> {
        val now = nowMillis()
        return view.groups(now).flatMap { known ->
            val loadsAtMillis = known.loadsTrueAtMillis?.takeIf { known.areLoadsTrusted(now) }
            val loads = loadsAtMillis?.let { newsOf(known.report.copy(sequence = known.loadSequence), now - it) }
            listOfNotNull(loads, newsOf(known.report.copy(ranks = emptyList()), now - known.trueAtMillis))
        }
    }

    private fun newsOf(report: GroupReport, ageMillis: Long) = Frame.GroupNews(compactGroupReportOf(report), ageMillis)

    private fun passOn(
        news: Frame.GroupNews,
        report: GroupReport,
        isStateNew: Boolean,
        receivers: List<Link>,
    ) {
        val now = nowMillis()
        val key = GroupKey(report.service, report.group)
        val state by lazy { newsOf(report.copy(ranks = emptyList()), news.ageMillis) }
        if (isStateNew) {
            statePassedOnAtMillis[key] = now
            send(state, receivers)
        }
        val availableShare = budget.availableShare(now)
        val hasUsefulLoads = report.ranks.isNotEmpty() && (isStateNew || areLoadsUseful)
        val isStateDue = now - (statePassedOnAtMillis[key] ?: (now - STATE_INTERVAL_MILLIS)) >= STATE_INTERVAL_MILLIS
        if (hasUsefulLoads && availableShare >= LOADS_MIN_BUDGET_SHARE) {
            statePassedOnAtMillis[key] = now
            send(news, receivers.shuffled(random).take(GROUP_NEWS_RECEIVERS))
        } else if (isStateDue && availableShare > 0) {
            statePassedOnAtMillis[key] = now
            send(state, receivers.shuffled(random).take(GROUP_NEWS_RECEIVERS))
        }
        if (statePassedOnAtMillis.size > MAX_KEPT_TIMES) statePassedOnAtMillis.values.removeIf { now - it > STATE_INTERVAL_MILLIS }
    }

    private fun send(news: Frame.GroupNews, receivers: List<Link>) {
        budget.spend(news.report.approximateBytes * receivers.size)
        receivers.forEach { it.send(news) }
    }

    private fun refuse(peer: String, news: Frame.GroupNews, problem: String) {
        val now = nowMillis()
        synchronized(this) {
            if (refusalLoggedAtMillis?.let { now - it < LOG_INTERVAL_MILLIS } == true) return
            refusalLoggedAtMillis = now
        }
        events.write(
            LogEvent.GROUP_NEWS_REFUSED,
            LogField("peer", peer),
            LogField("service", news.report.service.take(MAX_LOGGED_CHARS)),
            LogField("group", news.report.group.take(MAX_LOGGED_CHARS)),
            LogField("detail", problem),
        )
    }

    private fun logChange(known: KnownGroup, ageMillis: Long) {
        val report = known.report
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

    private companion object {
        const val MAX_KEPT_TIMES = 1_024
    }
}

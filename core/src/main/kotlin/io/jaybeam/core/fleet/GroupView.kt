/*
 * What an entry knows of the rank groups of all services, from the reports of their coordinators.
 *
 * Reports arrive over several entries, late, twice and out of order, and from coordinators that were replaced without noticing.
 * Within a group a higher term wins, within a term a higher sequence, and an epoch never goes back. Each report counts from the
 * time when it was true, and for a limited time: what ranks have to do changes within a second, whether a group is open within
 * several. A group whose reports all are too old is unknown, as if there had never been any.
 */
package io.jaybeam.core.fleet

import io.jaybeam.core.cost.AgedRankLoad

/** Time after which a rank's load says nothing of what the rank does now: a few intervals between reports. */
public const val LOAD_TRUST_MILLIS: Long = 2_500L

/** Time after which a report does not say any more whether a group is open, or which targets belong to it. */
public const val STATE_TRUST_MILLIS: Long = 6_000L

private const val MAX_GROUPS = 512

/** Identifies a group in a fleet. */
public data class GroupKey(
    val service: String,
    val group: String,
)

/**
 * The last reports of one group. Times are monotonic milliseconds of the entry that keeps them.
 *
 * @property report its [GroupReport.ranks] come from the last report that states loads.
 * @property trueAtMillis time for which the report was made.
 * @property loadsTrueAtMillis time for which the loads were read; null if there are none of this epoch.
 * @property loadSequence sequence of the report that states the loads.
 */
public data class KnownGroup(
    val report: GroupReport,
    val trueAtMillis: Long,
    val loadsTrueAtMillis: Long?,
    val loadSequence: Long,
) {
    internal val loadByAddress: Map<HostPort, RankLoad> by lazy { report.ranks.associateBy { it.address } }

    /** Whether the group's state and members may be relied on at [nowMillis]. */
    public fun isStateTrusted(nowMillis: Long): Boolean = nowMillis - trueAtMillis <= STATE_TRUST_MILLIS

    /** Whether the loads of the group's ranks may be relied on at [nowMillis]. */
    public fun areLoadsTrusted(nowMillis: Long): Boolean = loadsTrueAtMillis != null && nowMillis - loadsTrueAtMillis <= LOAD_TRUST_MILLIS
}

/** Outcome of adding a report to a [GroupView]. */
public sealed class GroupNewsOutcome {
    /**
     * The report was new.
     *
     * @property known what is known of the group now.
     * @property isStateNew whether the group has opened, closed, formed again or been seen for the first time.
     */
    public data class Added(
        val view: GroupView,
        val known: KnownGroup,
        val isStateNew: Boolean,
    ) : GroupNewsOutcome()

    /** A later report is known, or the same one. */
    public data object Known : GroupNewsOutcome()

    /** The report cannot be used because of [problem]. */
    public data class Refused(
        val problem: String,
    ) : GroupNewsOutcome()
}

/** The groups that are known at one time. Immutable; times are passed in as monotonic milliseconds. */
public class GroupView private constructor(
    private val knownByKey: Map<GroupKey, KnownGroup>,
) {
    /** A view without any group. */
    public constructor() : this(emptyMap())

    private val groupByAddressByService: Map<String, Map<HostPort, String>> =
        knownByKey.values.groupBy { it.report.service }.mapValues { (_, groups) ->
            // The same address may have belonged to another group, whose report is older then.
            groups
                .sortedBy { it.loadsTrueAtMillis ?: it.trueAtMillis }
                .flatMap { known -> known.report.ranks.map { it.address to known.report.group } }
                .toMap()
        }

    /** All groups whose state is trusted at [nowMillis]. */
    public fun groups(nowMillis: Long): List<KnownGroup> = knownByKey.values.filter { it.isStateTrusted(nowMillis) }

    /** The groups of [service] whose state is trusted at [nowMillis], by name. */
    public fun groupsOf(service: String, nowMillis: Long): List<KnownGroup> =
        groups(nowMillis).filter { it.report.service == service }.sortedBy { it.report.group }

    /** Returns the group of [service] with the name [group]; null if nothing trusted is known of it at [nowMillis]. */
    public fun group(service: String, group: String, nowMillis: Long): KnownGroup? =
        knownByKey[GroupKey(service, group)]?.takeIf { it.isStateTrusted(nowMillis) }

    /** Returns the name of the group of the target at [address]; null if it is unknown at [nowMillis]. */
    public fun groupOf(service: String, address: HostPort, nowMillis: Long): String? =
        groupByAddressByService[service]?.get(address)?.takeIf { group(service, it, nowMillis) != null }

    /** Returns the load of the rank at [address]; null if it is unknown or too old at [nowMillis]. */
    public fun loadOf(service: String, address: HostPort, nowMillis: Long): RankLoad? = reportedLoadOf(service, address, nowMillis)?.load

    /** Returns the load of the rank at [address] and its age; null if it is unknown or too old at [nowMillis]. */
    public fun reportedLoadOf(service: String, address: HostPort, nowMillis: Long): AgedRankLoad? {
        val known = groupOf(service, address, nowMillis)?.let { group(service, it, nowMillis) } ?: return null
        val trueAtMillis = known.loadsTrueAtMillis?.takeIf { known.areLoadsTrusted(nowMillis) } ?: return null
        return known.loadByAddress[address]?.let { AgedRankLoad(it, nowMillis - trueAtMillis) }
    }

    /** Adds [report], which was true [ageMillis] before [nowMillis]. */
    public fun add(report: GroupReport, ageMillis: Long, nowMillis: Long): GroupNewsOutcome {
        val problem =
            report.faultOrNull()
                ?: "age of $ageMillis ms is not within 0..$STATE_TRUST_MILLIS".takeIf { ageMillis !in 0..STATE_TRUST_MILLIS }
        if (problem != null) return GroupNewsOutcome.Refused(problem)
        val key = GroupKey(report.service, report.group)
        val previous = knownByKey[key]?.takeIf { it.isStateTrusted(nowMillis) }
        if (previous == null &&
            groups(nowMillis).size >= MAX_GROUPS
        ) {
            return GroupNewsOutcome.Refused("$MAX_GROUPS groups are known already")
        }
        val known = merge(previous, report, nowMillis - ageMillis) ?: return GroupNewsOutcome.Known
        val others = knownByKey.filter { it.key != key && it.value.isStateTrusted(nowMillis) }
        return GroupNewsOutcome.Added(GroupView(others + (key to known)), known, isStateNew(previous?.report, report))
    }

    /** Returns what is known after [report]; null if it says nothing new. */
    private fun merge(previous: KnownGroup?, report: GroupReport, trueAtMillis: Long): KnownGroup? {
        val last = previous?.report
        val isSameReport = last != null && report.term == last.term && report.sequence == last.sequence
        return when {
            last == null -> KnownGroup(report, trueAtMillis, trueAtMillis.takeIf { report.ranks.isNotEmpty() }, report.sequence)
            report.epoch < last.epoch || report.isBefore(last) -> null
            isSameReport -> withLoads(previous, report, trueAtMillis)
            report.ranks.isNotEmpty() -> KnownGroup(report, trueAtMillis, trueAtMillis, report.sequence)
            else -> withState(previous, report, trueAtMillis)
        }
    }

    private fun GroupReport.isBefore(last: GroupReport) = term < last.term || term == last.term && sequence < last.sequence

    /** Adds loads that arrive after the report without them that an entry passed on ahead. */
    private fun withLoads(previous: KnownGroup, report: GroupReport, trueAtMillis: Long): KnownGroup? {
        val areLoadsNew = report.ranks.isNotEmpty() && report.sequence > previous.loadSequence
        return if (areLoadsNew) KnownGroup(report, previous.trueAtMillis, trueAtMillis, report.sequence) else null
    }

    private fun withState(previous: KnownGroup, report: GroupReport, trueAtMillis: Long): KnownGroup {
        val last = previous.report
        val loadsTrueAtMillis = previous.loadsTrueAtMillis.takeIf { report.epoch == last.epoch }
        // A sequence of an earlier term does not keep out the loads of this one.
        val loadSequence = if (report.term == last.term) previous.loadSequence else 0
        return KnownGroup(report.copy(ranks = last.ranks), trueAtMillis, loadsTrueAtMillis, loadSequence)
    }

    private fun isStateNew(previous: GroupReport?, report: GroupReport) =
        previous == null || previous.isOpen != report.isOpen || previous.epoch != report.epoch
}

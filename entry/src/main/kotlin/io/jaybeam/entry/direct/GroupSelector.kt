/*
 * Puts together what is known of the groups of a service for the choice of a group, and restricts targets to the chosen one.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.GroupChance
import io.jaybeam.core.fleet.GroupKey
import io.jaybeam.core.fleet.GroupOption
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.KnownGroup
import io.jaybeam.core.fleet.RecentStarts
import io.jaybeam.core.fleet.chooseGroup
import io.jaybeam.core.fleet.groupChances
import kotlin.random.Random

/** Selects groups for one entry. Thread-safe. */
internal class GroupSelector(
    private val groups: GroupExchange,
    private val loads: TargetLoads,
    private val entryCount: () -> Int,
    private val isGateClosed: (GroupKey) -> Boolean = { false },
    private val random: Random = Random.Default,
) {
    private val starts = RecentStarts()

    /**
     * Returns the group of [service] for a new request among the groups of [targets], which are all that the service has, and
     * counts the request there; null if the service is to be served as a whole.
     */
    fun choose(service: String, targets: () -> List<FleetTarget>): String? {
        val chosen = chooseGroup(options(service, targets), entryCount(), random) ?: return null
        starts.onStart(GroupKey(service, chosen), groups.nowMillis())
        return chosen
    }

    /** Returns what [choose] would decide on each group of [service], without counting a request; empty if it is served as a whole. */
    fun preview(service: String, targets: () -> List<FleetTarget>): List<GroupChance> =
        groupChances(options(service, targets), entryCount())

    private fun options(service: String, targets: () -> List<FleetTarget>): List<GroupOption> {
        val now = groups.nowMillis()
        val known = groups.view.groupsOf(service, now)
        if (known.size < 2) return emptyList()
        val targetsByGroup = targets().groupBy { groups.view.groupOf(service, it.address, now) }
        // Another group whose coordinator does not report would get no requests if only the known ones were chosen.
        val unknownCount = targetsByGroup[null]?.size ?: 0
        if (unknownCount * 2 > known.minOf { it.report.rankCount }) return emptyList()
        return known.mapNotNull { group -> targetsByGroup[group.report.group]?.let { option(group, it, now) } }
    }

    /** Records that a request for which [group] was chosen has not been sent there. */
    fun onNotStarted(service: String, group: String) = starts.onStartCancelled(GroupKey(service, group))

    /** Whether one of [targets] belongs to another group of [service] than [group] and that group takes requests. */
    fun hasOtherOpenGroup(service: String, group: String?, targets: List<FleetTarget>): Boolean {
        val now = groups.nowMillis()
        val open =
            groups.view
                .groupsOf(service, now)
                .filter { it.report.isOpen && !isGateClosed(GroupKey(service, it.report.group)) }
                .mapTo(HashSet()) { it.report.group }
        open -= setOfNotNull(group)
        return open.isNotEmpty() && targets.any { groups.view.groupOf(service, it.address, now) in open }
    }

    /** Returns the group of [target]; null if it is unknown. */
    fun groupOf(target: FleetTarget): String? = groups.view.groupOf(target.service, target.address, groups.nowMillis())

    /** Returns the number of ranks of [group]; null if nothing is known of it any more. */
    fun rankCountOf(service: String, group: String): Int? =
        groups.view
            .group(service, group, groups.nowMillis())
            ?.report
            ?.rankCount

    /**
     * Returns those of [candidates] that a request for which [group] was chosen should go to: the members of that group, or, after
     * attempts at targets, of which [tried] are still listed, those of other open groups. Returns all of them if there are none of these.
     */
    fun preferred(
        service: String,
        group: String,
        candidates: List<FleetTarget>,
        tried: List<FleetTarget>,
        hasTried: Boolean = tried.isNotEmpty(),
    ): List<FleetTarget> {
        val now = groups.nowMillis()
        val view = groups.view
        if (!hasTried) return candidates.filter { view.groupOf(service, it.address, now) == group }.ifEmpty { candidates }
        val triedGroups = tried.mapNotNull { view.groupOf(service, it.address, now) }.toSet().ifEmpty { setOf(group) }
        val openGroups =
            view
                .groupsOf(service, now)
                .filter { it.report.isOpen }
                .map { it.report.group }
                .toSet()
        val untriedGroups = openGroups - triedGroups
        return candidates
            .filter { view.groupOf(service, it.address, now) in untriedGroups }
            .ifEmpty { candidates.filter { view.groupOf(service, it.address, now) in openGroups } }
            .ifEmpty { candidates }
    }

    private fun option(known: KnownGroup, targets: List<FleetTarget>, now: Long): GroupOption {
        val report = known.report
        val loadsTrueAtMillis = known.loadsTrueAtMillis?.takeIf { known.areLoadsTrusted(now) }
        val key = GroupKey(report.service, report.group)
        return GroupOption(
            report.group,
            report.isOpen && !isGateClosed(key),
            report.rankCount,
            report.passMillis,
            requestCount = loadsTrueAtMillis?.let { report.ranks.sumOf { it.requestCount } },
            ownStarts = loadsTrueAtMillis?.let { starts.countSince(key, it) } ?: 0,
            ownInFlight = targets.sumOf { loads.ownRequests(it) },
        )
    }
}

private val FleetTarget.address get() = HostPort(host, port)

/*
 * Chooses the rank group of a request, before a rank in it is chosen.
 *
 * The load for which it is made: groups of one service whose passes differ, because demand shifts in one of them or one of its
 * ranks is slow, and a group that opens empty beside a full one. The time that a request takes grows with the duration of passes
 * and with the work of each rank, and the group with the smallest product of both is chosen. Reports are up to some seconds old
 * and all entries have the same ones, so a group that looks better would receive the requests of all of them: what this entry has
 * started since the report counts as often as there are entries, which start about as much.
 */
package io.jaybeam.core.fleet

import kotlin.random.Random

// Differences below this share are within what reports and passes vary by.
private const val TIE_SHARE = 0.05

/**
 * Returns the group for the next request among [options] of one service, which [entryCount] entries share; null if the choice is
 * not between at least two groups or none of them is open, so that the service is served as a whole.
 */
public fun chooseGroup(options: List<GroupOption>, entryCount: Int, random: Random): String? {
    val least = leastCostGroups(options, entryCount)
    return if (least.isEmpty()) null else weightedByRanks(least, random).group
}

/**
 * A group that a request may go to.
 *
 * @property relativeTime time that a request takes there, up to a factor common to all; null if the group is not open.
 * @property chance probability with which it is chosen, 0 to 1.
 */
public data class GroupChance(
    val option: GroupOption,
    val relativeTime: Double?,
    val chance: Double,
)

/** Returns each of [options] with the chance that [chooseGroup] returns it; all are 0 if the service is served as a whole. */
public fun groupChances(options: List<GroupOption>, entryCount: Int): List<GroupChance> {
    val open = options.filter { it.isUsable }
    val times = open.zip(expectedTimes(open, entryCount)).toMap()
    val least = leastCostGroups(options, entryCount)
    val rankCount = least.sumOf { it.rankCount }
    return options.map { GroupChance(it, times[it], if (it in least) it.rankCount.toDouble() / rankCount else 0.0) }
}

private val GroupOption.isUsable get() = isOpen && rankCount > 0

private fun leastCostGroups(options: List<GroupOption>, entryCount: Int): List<GroupOption> {
    val open = options.filter { it.isUsable }
    if (options.size < 2 || open.isEmpty()) return emptyList()
    val times = expectedTimes(open, entryCount)
    val maxTime = times.min() * (1 + TIE_SHARE)
    return open.filterIndexed { index, _ -> times[index] <= maxTime }
}

/** Returns for each of [open] the time that a request takes there, up to a factor common to all. */
private fun expectedTimes(open: List<GroupOption>, entryCount: Int): List<Double> {
    // A group that has just opened has run no passes yet, and its first ones are not longer than those of a group in use.
    val shortestKnownPassMillis = open.map { it.passMillis }.filter { it > 0 }.minOrNull() ?: 1
    // Without a report of one group, its load cannot be compared with the reported loads of others.
    val areLoadsKnown = open.all { it.requestCount != null }
    return open.map {
        val passMillis = if (it.passMillis > 0) it.passMillis else shortestKnownPassMillis
        val entries = maxOf(entryCount, 1)
        val reportedCount = it.requestCount?.takeIf { areLoadsKnown }
        val requestCount =
            if (reportedCount !=
                null
            ) {
                reportedCount + it.ownStarts.toDouble() * entries
            } else {
                it.ownInFlight.toDouble() * entries
            }
        passMillis * (requestCount + 1) / it.rankCount
    }
}

private fun weightedByRanks(options: List<GroupOption>, random: Random): GroupOption {
    var remaining = random.nextInt(options.sumOf { it.rankCount })
    return options.first {
        remaining -= it.rankCount
        remaining < 0
    }
}

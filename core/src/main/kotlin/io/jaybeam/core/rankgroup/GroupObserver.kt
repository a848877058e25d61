/*
 * Sums up what the sides of a group report to its coordinator, as a report for entries.
 *
 * Ranks read their group's state at different times. The latest epoch that any of them states is the group's, and the group is open
 * while all ranks that were read in that epoch say so: the first rank that notices a broken group closes it for all.
 */
package io.jaybeam.core.rankgroup

import io.jaybeam.core.fleet.GroupReport
import io.jaybeam.core.fleet.RankLoad

// A rank whose side has been silent for longer is left out. Its target may have ended.
private const val MAX_RANK_AGE_MILLIS = 3_000L

/** Observes one group of [service]. Not thread-safe; times are monotonic milliseconds. */
public class GroupObserver(
    private val service: String,
) {
    private class ObservedRank(
        val reading: RankReading,
        val load: RankLoad?,
        val atMillis: Long,
    )

    private val ranks = sortedMapOf<Int, ObservedRank>()
    private val passMeter = PassRateMeter()
    private var sequence = 0L
    private var term = 0L

    /** Number of ranks that the group needs; 0 before the first report. */
    public var rankCount: Int = 0
        private set

    /** The latest epoch that a rank has reported. */
    public var epoch: Long = 0
        private set

    /** Whether the group runs passes, as far as its ranks have reported. */
    public val isOpen: Boolean
        get() =
            ranks.values.filter { it.reading.epoch == epoch }.let { current ->
                current.isNotEmpty() && current.all { it.reading.isOpen }
            }

    /** Records a report of a rank of a group of [groupSize] ranks; [load] is null if its side states none. */
    public fun onReport(
        reading: RankReading,
        groupSize: Int,
        load: RankLoad?,
        nowMillis: Long,
    ) {
        rankCount = groupSize
        if (reading.epoch > epoch) {
            epoch = reading.epoch
            passMeter.clear()
        }
        ranks[reading.rank] = ObservedRank(reading, load, nowMillis)
        if (reading.epoch != epoch) return
        if (isIdle) passMeter.clear() else passMeter.onPass(reading.lastPass, nowMillis)
    }

    /** Returns the report of the coordinator's [currentTerm]; null if no rank has reported recently. */
    public fun report(group: String, currentTerm: Long, nowMillis: Long): GroupReport? {
        ranks.values.removeIf { nowMillis - it.atMillis > MAX_RANK_AGE_MILLIS }
        if (ranks.isEmpty()) return null
        if (currentTerm != term) sequence = 0
        term = currentTerm
        sequence += 1
        val loads = ranks.values.filter { it.reading.epoch == epoch }.mapNotNull { it.load }
        val passMillis = if (isOpen) passMeter.passMillis() else null
        return GroupReport(service, group, epoch, term, sequence, isOpen, rankCount, passMillis ?: 0, loads)
    }

    /** Returns the time since the last report of a rank, in milliseconds; null if there is none. */
    public fun ageMillis(nowMillis: Long): Long? = ranks.values.maxOfOrNull { it.atMillis }?.let { nowMillis - it }

    /** Forgets what was reported, because another process coordinates the group. The sequence goes on. */
    public fun clear() {
        ranks.clear()
        passMeter.clear()
        epoch = 0
    }

    private val isIdle: Boolean
        get() = ranks.values.all { rank -> rank.load != null && rank.load.running + rank.load.waiting == 0 }
}

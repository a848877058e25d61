/*
 * Improves a placement by local search. Each iteration applies the exchange or replacement of slots that reduces the time
 * of the slowest rank the most per move. If no single change does, it tries short chains of changes, in which later changes
 * relieve the rank that the first one overloads. Several copies of a heavily loaded expert can make many ranks equally
 * slow; only a further copy then speeds all of them up.
 */
package io.jaybeam.core.placement

private sealed class Change {
    abstract val slowestAfter: Double
    abstract val moves: Int

    /** Exchanges the experts of two slots. */
    data class Exchange(
        val slot: Int,
        val other: Int,
        override val slowestAfter: Double,
    ) : Change() {
        override val moves get() = 2
    }

    /** Loads another expert into a slot. */
    data class Replace(
        val slot: Int,
        val expert: Int,
        override val slowestAfter: Double,
    ) : Change() {
        override val moves get() = 1
    }
}

private const val MIN_RELIEF = 1e-9
private const val MAX_ITERATIONS = 2_000
private const val MAX_CHAIN_STARTS_PER_KIND = 12
private const val MAX_CHAIN_LENGTH = 10

/**
 * Searches from [start]. [maxNewByRank] is, by rank, the maximum number of loaded experts that the rank does not hold in
 * [start]; null means no limit. Not thread-safe.
 */
internal class PlacementSearch(
    start: ExpertMap,
    private val load: LayerLoad,
    private val maxNewByRank: List<Int>? = null,
) {
    private val slotsPerRank = start.slotsPerRank
    private val expertBySlot = start.expertBySlot.toIntArray()
    private val copies = IntArray(load.expertCount)
    private val work = DoubleArray(load.rankCount)
    private val slotsByExpert = List(load.expertCount) { mutableListOf<Int>() }
    private val isHeldAtStart =
        List(load.rankCount) { rank ->
            BooleanArray(load.expertCount).also { held ->
                slotsOf(rank).forEach { held[expertBySlot[it]] = true }
            }
        }
    private val newCountByRank = IntArray(load.rankCount)

    /** Work that the replacement being evaluated adds to each rank. */
    private val extraWork = DoubleArray(load.rankCount)

    init {
        expertBySlot.forEachIndexed { slot, expert ->
            copies[expert] += 1
            slotsByExpert[expert] += slot
        }
        expertBySlot.forEachIndexed { slot, expert -> work[rankOf(slot)] += loadPerCopy(expert) }
    }

    /** Applies changes until the skew is at most [targetSkew], [maxMoves] are used up or no change helps; returns the map. */
    fun improve(maxMoves: Int, targetSkew: Double): ExpertMap {
        var movesLeft = maxMoves
        repeat(MAX_ITERATIONS) {
            if (skew() <= targetSkew) return currentMap()
            val change = bestChange(movesLeft)
            val moves = if (change == null) applyChain(movesLeft) else change.moves.also { apply(change) }
            if (moves == 0) return currentMap()
            movesLeft -= moves
        }
        return currentMap()
    }

    private fun currentMap() = ExpertMap(slotsPerRank, expertBySlot.toList())

    private fun rankOf(slot: Int) = slot / slotsPerRank

    private fun durationOf(rank: Int) = work[rank] / load.speedByRank[rank]

    private fun durationOf(rank: Int, extra: Double) = (work[rank] + extra) / load.speedByRank[rank]

    private fun loadPerCopy(expert: Int) = load.loadByExpert[expert] / copies[expert]

    private fun skew(): Double {
        val durations = work.indices.map(::durationOf)
        return durations.max() / durations.average()
    }

    /** Returns the change that reduces the time of the slowest rank the most per move, or null if none reduces it. */
    private fun bestChange(movesLeft: Int): Change? {
        val slowest = work.indices.maxBy(::durationOf)
        val slowestDuration = durationOf(slowest)
        var best: Change? = null
        var bestReliefPerMove = MIN_RELIEF
        changesOf(slowest).filter { it.moves <= movesLeft && isWithinNewLimit(it) }.forEach { change ->
            val reliefPerMove = (slowestDuration - change.slowestAfter) / change.moves
            if (reliefPerMove > bestReliefPerMove) {
                best = change
                bestReliefPerMove = reliefPerMove
            }
        }
        return best
    }

    /**
     * Applies a change that relieves the slowest rank but overloads another, followed by changes that relieve that other
     * rank, if together they reduce the time of the slowest rank.
     *
     * Returns the number of moves, or 0 if no such chain was found.
     */
    private fun applyChain(movesLeft: Int): Int {
        val slowest = work.indices.maxBy(::durationOf)
        val slowestDuration = durationOf(slowest)
        val heaviestSlot = slotsOf(slowest).maxBy { loadPerCopy(expertBySlot[it]) }
        val copyChanges =
            addedCopies(expertBySlot[heaviestSlot])
                .filter(::isWithinNewLimit)
                .sortedBy { it.slowestAfter }
                .take(MAX_CHAIN_STARTS_PER_KIND)
        val exchanges =
            expertBySlot.indices
                .mapNotNull { exchange(heaviestSlot, it) }
                .filter(::isWithinNewLimit)
                .sortedBy { it.slowestAfter }
                .take(MAX_CHAIN_STARTS_PER_KIND)
        return (copyChanges + exchanges).firstNotNullOfOrNull { tryChainOrNull(it, movesLeft, slowestDuration) } ?: 0
    }

    private fun tryChainOrNull(first: Change, movesLeft: Int, slowestDuration: Double): Int? {
        val undo = ArrayDeque<Change>()
        var moves = 0
        var next: Change? = first.takeIf { it.moves <= movesLeft }
        while (next != null && undo.size < MAX_CHAIN_LENGTH) {
            undo.addFirst(inverseOf(next))
            apply(next)
            moves += next.moves
            if (work.indices.maxOf(::durationOf) < slowestDuration - MIN_RELIEF) return moves
            next = bestChange(movesLeft - moves)
        }
        undo.forEach(::apply)
        return null
    }

    private fun slotsOf(rank: Int) = rank * slotsPerRank until (rank + 1) * slotsPerRank

    private fun inverseOf(change: Change): Change =
        when (change) {
            is Change.Exchange -> change
            is Change.Replace -> Change.Replace(change.slot, expertBySlot[change.slot], change.slowestAfter)
        }

    private fun changesOf(slowest: Int): Sequence<Change> =
        sequence {
            val slots = slotsOf(slowest)
            for (slot in slots) {
                for (other in expertBySlot.indices) {
                    if (rankOf(other) != slowest) exchange(slot, other)?.let { yield(it) }
                }
                yieldAll(addedCopies(expertBySlot[slot]))
            }
            slots.filter { copies[expertBySlot[it]] > 1 }.forEach { slot -> yieldAll(replacements(slot)) }
        }

    private fun exchange(slot: Int, other: Int): Change? {
        val delta = loadPerCopy(expertBySlot[slot]) - loadPerCopy(expertBySlot[other])
        if (delta <= 0 || holds(rankOf(other), expertBySlot[slot]) || holds(rankOf(slot), expertBySlot[other])) return null
        return Change.Exchange(slot, other, maxOf(durationOf(rankOf(slot), -delta), durationOf(rankOf(other), delta)))
    }

    private fun holds(rank: Int, expert: Int) = slotsByExpert[expert].any { rankOf(it) == rank }

    /** Returns changes that add a copy of [expert] in place of an expert that has further copies. */
    private fun addedCopies(expert: Int): List<Change> {
        if (copies[expert] >= load.rankCount) return emptyList()
        val loadAfter = load.loadByExpert[expert] / (copies[expert] + 1)
        return expertBySlot.indices.mapNotNull { slot ->
            val replaced = expertBySlot[slot]
            if (copies[replaced] < 2 || replaced == expert || holds(rankOf(slot), expert)) return@mapNotNull null
            replacement(slot, replaced, expert, loadAfter)
        }
    }

    /** Returns changes that replace the expert in [slot], which has further copies, by a copy of another one. */
    private fun replacements(slot: Int): Sequence<Change> =
        load.loadByExpert.indices.asSequence().mapNotNull { expert ->
            if (expert == expertBySlot[slot] || holds(rankOf(slot), expert)) return@mapNotNull null
            replacement(slot, expertBySlot[slot], expert, load.loadByExpert[expert] / (copies[expert] + 1))
        }

    /** Returns the change that loads [added] into [slot] in place of [old], with the time of the slowest rank affected by it. */
    private fun replacement(
        slot: Int,
        old: Int,
        added: Int,
        addedLoad: Double,
    ): Change.Replace {
        val oldLoad = loadPerCopy(old)
        val oldLoadAfter = load.loadByExpert[old] / (copies[old] - 1)
        val addedLoadBefore = loadPerCopy(added)
        slotsByExpert[old].forEach { extraWork[rankOf(it)] += if (it == slot) -oldLoad else oldLoadAfter - oldLoad }
        slotsByExpert[added].forEach { extraWork[rankOf(it)] += addedLoad - addedLoadBefore }
        extraWork[rankOf(slot)] += addedLoad
        val slowest = maxOf(slowestWith(old), slowestWith(added), durationOf(rankOf(slot), extraWork[rankOf(slot)]))
        slotsByExpert[old].forEach { extraWork[rankOf(it)] = 0.0 }
        slotsByExpert[added].forEach { extraWork[rankOf(it)] = 0.0 }
        extraWork[rankOf(slot)] = 0.0
        return Change.Replace(slot, added, slowest)
    }

    private fun slowestWith(expert: Int): Double {
        var slowest = 0.0
        slotsByExpert[expert].forEach { slowest = maxOf(slowest, durationOf(rankOf(it), extraWork[rankOf(it)])) }
        return slowest
    }

    private fun isWithinNewLimit(change: Change): Boolean =
        maxNewByRank == null ||
            when (change) {
                is Change.Exchange ->
                    isWithinNewLimit(change.slot, expertBySlot[change.other]) &&
                        isWithinNewLimit(change.other, expertBySlot[change.slot])
                is Change.Replace -> isWithinNewLimit(change.slot, change.expert)
            }

    private fun isWithinNewLimit(slot: Int, added: Int): Boolean {
        val rank = rankOf(slot)
        return newCountByRank[rank] - newExpertCount(rank, expertBySlot[slot]) + newExpertCount(rank, added) <=
            (maxNewByRank?.get(rank) ?: Int.MAX_VALUE)
    }

    private fun newExpertCount(rank: Int, expert: Int) = if (isHeldAtStart[rank][expert]) 0 else 1

    private fun apply(change: Change) {
        when (change) {
            is Change.Exchange -> {
                val first = expertBySlot[change.slot]
                val second = expertBySlot[change.other]
                assign(change.slot, second)
                assign(change.other, first)
            }

            is Change.Replace -> {
                assign(change.slot, change.expert)
            }
        }
    }

    private fun assign(slot: Int, expert: Int) {
        val old = expertBySlot[slot]
        newCountByRank[rankOf(slot)] += newExpertCount(rankOf(slot), expert) - newExpertCount(rankOf(slot), old)
        redistribute(old) {
            copies[old] -= 1
            slotsByExpert[old].remove(slot)
        }
        expertBySlot[slot] = expert
        redistribute(expert) {
            copies[expert] += 1
            slotsByExpert[expert] += slot
        }
    }

    /** Removes the work of [expert] from all ranks, runs [change] on its slots and distributes the work again. */
    private fun redistribute(expert: Int, change: () -> Unit) {
        slotsByExpert[expert].forEach { work[rankOf(it)] -= loadPerCopy(expert) }
        change()
        slotsByExpert[expert].forEach { work[rankOf(it)] += loadPerCopy(expert) }
    }
}

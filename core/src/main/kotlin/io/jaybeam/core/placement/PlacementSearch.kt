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

// Slots that all chains of a search may look at together. In a group of more than a hundred ranks one chain looks at ten thousand, and
// a map that is planned slower than demand shifts is of no use.
private const val MAX_CHAIN_SLOTS = 200_000

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

    private var chainSlotsLeft = MAX_CHAIN_SLOTS

    /** Number of slots in which a rank holds an expert, by rank and expert. */
    private val heldCounts = IntArray(load.rankCount * load.expertCount)

    init {
        expertBySlot.forEachIndexed { slot, expert ->
            copies[expert] += 1
            slotsByExpert[expert] += slot
            heldCounts[rankOf(slot) * load.expertCount + expert] += 1
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
        var slowest = 0.0
        var sum = 0.0
        for (rank in work.indices) {
            val duration = durationOf(rank)
            sum += duration
            if (duration > slowest) slowest = duration
        }
        return slowest * work.size / sum
    }

    /** Returns the change that reduces the time of the slowest rank the most per move, or null if none reduces it. */
    private fun bestChange(movesLeft: Int): Change? {
        val slowest = slowestRank()
        val best = BestChange(durationOf(slowest), movesLeft)
        for (slot in slotsOf(slowest)) {
            for (other in expertBySlot.indices) if (rankOf(other) != slowest) best.considerExchange(slot, other)
            best.considerCopies(expertBySlot[slot])
        }
        for (slot in slotsOf(slowest)) {
            if (copies[expertBySlot[slot]] > 1) load.loadByExpert.indices.forEach { best.considerReplacement(slot, it) }
        }
        return best.toChange()
    }

    /** The change with the most relief per move of those considered, of which thousands are in each iteration. */
    private inner class BestChange(
        private val slowestDuration: Double,
        private val movesLeft: Int,
    ) {
        private var reliefPerMove = MIN_RELIEF
        private var slot = -1
        private var other = -1
        private var expert = -1
        private var slowestAfter = 0.0

        fun considerExchange(slot: Int, other: Int) {
            if (movesLeft < 2) return
            val after = slowestAfterExchange(slot, other)
            if (isBetter(after, moves = 2) && isExchangeWithinNewLimit(slot, other)) record(slot, other, -1, after, moves = 2)
        }

        /** Considers a further copy of [added] in place of any expert that has several. */
        fun considerCopies(added: Int) {
            if (copies[added] < load.rankCount) expertBySlot.indices.forEach { considerReplacement(it, added) }
        }

        fun considerReplacement(slot: Int, added: Int) {
            if (movesLeft < 1 || !canReplace(slot, added)) return
            val after = slowestAfterReplacement(slot, added, giveUpAt = slowestDuration - reliefPerMove)
            if (isBetter(after, moves = 1) && isWithinNewLimit(slot, added)) record(slot, -1, added, after, moves = 1)
        }

        fun toChange(): Change? =
            when {
                slot < 0 -> null
                other >= 0 -> Change.Exchange(slot, other, slowestAfter)
                else -> Change.Replace(slot, expert, slowestAfter)
            }

        private fun isBetter(after: Double, moves: Int) = (slowestDuration - after) / moves > reliefPerMove

        private fun record(
            slot: Int,
            other: Int,
            expert: Int,
            after: Double,
            moves: Int,
        ) {
            this.slot = slot
            this.other = other
            this.expert = expert
            slowestAfter = after
            reliefPerMove = (slowestDuration - after) / moves
        }
    }

    private fun slowestRank(): Int {
        var slowest = 0
        for (rank in work.indices) if (durationOf(rank) > durationOf(slowest)) slowest = rank
        return slowest
    }

    /**
     * Applies a change that relieves the slowest rank but overloads another, followed by changes that relieve that other
     * rank, if together they reduce the time of the slowest rank.
     *
     * Returns the number of moves, or 0 if no such chain was found.
     */
    private fun applyChain(movesLeft: Int): Int {
        val slowest = slowestRank()
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
        while (next != null && undo.size < MAX_CHAIN_LENGTH && chainSlotsLeft > 0) {
            chainSlotsLeft -= expertBySlot.size
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

    private fun exchange(slot: Int, other: Int): Change? {
        val slowestAfter = slowestAfterExchange(slot, other)
        return if (slowestAfter < Double.MAX_VALUE) Change.Exchange(slot, other, slowestAfter) else null
    }

    /** Returns the time of the slower of the two ranks after an exchange, or the highest number if it does not help or is not possible. */
    private fun slowestAfterExchange(slot: Int, other: Int): Double {
        val delta = loadPerCopy(expertBySlot[slot]) - loadPerCopy(expertBySlot[other])
        if (delta <= 0 || holds(rankOf(other), expertBySlot[slot]) || holds(rankOf(slot), expertBySlot[other])) return Double.MAX_VALUE
        return maxOf(durationOf(rankOf(slot), -delta), durationOf(rankOf(other), delta))
    }

    private fun heldCount(rank: Int, expert: Int) = heldCounts[rank * load.expertCount + expert]

    private fun holds(rank: Int, expert: Int) = heldCount(rank, expert) > 0

    /** Returns changes that add a copy of [expert] in place of an expert that has further copies. */
    private fun addedCopies(expert: Int): List<Change> {
        if (copies[expert] >= load.rankCount) return emptyList()
        return expertBySlot.indices
            .filter { canReplace(it, expert) }
            .map { Change.Replace(it, expert, slowestAfterReplacement(it, expert, giveUpAt = Double.MAX_VALUE)) }
    }

    /** Whether the expert in [slot] has further copies and the rank does not hold [added]. */
    private fun canReplace(slot: Int, added: Int) = copies[expertBySlot[slot]] > 1 && !holds(rankOf(slot), added)

    /**
     * Returns the time of the slowest rank that is affected if [added] is loaded into [slot], or a time of at least [giveUpAt] if it is
     * not lower.
     */
    private fun slowestAfterReplacement(slot: Int, added: Int, giveUpAt: Double): Double {
        val old = expertBySlot[slot]
        val oldLoadAfter = load.loadByExpert[old] / (copies[old] - 1)
        val addedLoad = load.loadByExpert[added] / (copies[added] + 1)
        val oldExtra = oldLoadAfter - loadPerCopy(old)
        val addedExtra = addedLoad - loadPerCopy(added)
        val changed = rankOf(slot)
        // A free slot repeats an expert of its rank, so a rank may hold an expert several times.
        var slowest = durationOf(changed, addedLoad - loadPerCopy(old) + (heldCount(changed, old) - 1) * oldExtra)
        for (expert in intArrayOf(old, added)) {
            for (other in slotsByExpert[expert]) {
                val rank = rankOf(other)
                if (slowest >= giveUpAt) return slowest
                if (rank == changed) continue
                val duration = durationOf(rank, heldCount(rank, old) * oldExtra + heldCount(rank, added) * addedExtra)
                if (duration > slowest) slowest = duration
            }
        }
        return slowest
    }

    private fun isWithinNewLimit(change: Change): Boolean =
        maxNewByRank == null ||
            when (change) {
                is Change.Exchange -> isExchangeWithinNewLimit(change.slot, change.other)
                is Change.Replace -> isWithinNewLimit(change.slot, change.expert)
            }

    private fun isExchangeWithinNewLimit(slot: Int, other: Int) =
        isWithinNewLimit(slot, expertBySlot[other]) && isWithinNewLimit(other, expertBySlot[slot])

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
            heldCounts[rankOf(slot) * load.expertCount + old] -= 1
        }
        expertBySlot[slot] = expert
        redistribute(expert) {
            copies[expert] += 1
            slotsByExpert[expert] += slot
            heldCounts[rankOf(slot) * load.expertCount + expert] += 1
        }
    }

    /** Removes the work of [expert] from all ranks, runs [change] on its slots and distributes the work again. */
    private fun redistribute(expert: Int, change: () -> Unit) {
        slotsByExpert[expert].forEach { work[rankOf(it)] -= loadPerCopy(expert) }
        change()
        slotsByExpert[expert].forEach { work[rankOf(it)] += loadPerCopy(expert) }
    }
}

/*
 * Improves a placement step by step: each step takes the one exchange or replacement of slots that relieves the
 * slowest rank the most for its moves, or where none does, a short chain of which the later ones undo the harm of the
 * first. Copies of one hot expert make many ranks equally slow, and only another copy relieves them all.
 */
package io.jaybeam.core.placement

private sealed class Change {
    abstract val worstAfter: Double
    abstract val moves: Int

    /** Exchange the experts of two slots. */
    data class Exchange(
        val slot: Int,
        val other: Int,
        override val worstAfter: Double,
    ) : Change() {
        override val moves get() = 2
    }

    /** Load a slot with another expert. */
    data class Replace(
        val slot: Int,
        val expert: Int,
        override val worstAfter: Double,
    ) : Change() {
        override val moves get() = 1
    }
}

private const val MIN_RELIEF = 1e-9
private const val MAX_STEPS = 2_000
private const val CHAIN_WIDTH = 12
private const val CHAIN_LENGTH = 10

/**
 * Searches from [start], loading onto each rank at most [newByRank] experts that it does not hold at the start; null is no
 * limit. Not thread-safe.
 */
internal class PlacementSearch(
    start: ExpertMap,
    private val load: LayerLoad,
    private val newByRank: List<Int>? = null,
) {
    private val slotsPerRank = start.slotsPerRank
    private val expertBySlot = start.expertBySlot.toIntArray()
    private val copies = IntArray(load.expertCount)
    private val work = DoubleArray(load.rankCount)
    private val slotsByExpert = List(load.expertCount) { mutableListOf<Int>() }
    private val heldAtStart =
        List(load.rankCount) { rank ->
            BooleanArray(load.expertCount).also { held ->
                slotsOf(rank).forEach {
                    held[expertBySlot[it]] =
                        true
                }
            }
        }
    private val newOnRank = IntArray(load.rankCount)

    /** Work that the replacement under examination adds to each rank. */
    private val extraWork = DoubleArray(load.rankCount)

    init {
        expertBySlot.forEachIndexed { slot, expert ->
            copies[expert] += 1
            slotsByExpert[expert] += slot
        }
        expertBySlot.forEachIndexed { slot, expert -> work[rankOf(slot)] += share(expert) }
    }

    /** Takes steps until the skew is at most [targetSkew], [maxMoves] are used or nothing helps; returns the map. */
    fun improve(maxMoves: Int, targetSkew: Double): ExpertMap {
        var movesLeft = maxMoves
        repeat(MAX_STEPS) {
            if (skew() <= targetSkew) return result()
            val change = best(movesLeft)
            val moves = if (change == null) applyChain(movesLeft) else change.moves.also { apply(change) }
            if (moves == 0) return result()
            movesLeft -= moves
        }
        return result()
    }

    private fun result() = ExpertMap(slotsPerRank, expertBySlot.toList())

    private fun rankOf(slot: Int) = slot / slotsPerRank

    private fun time(rank: Int) = work[rank] / load.speedByRank[rank]

    private fun time(rank: Int, added: Double) = (work[rank] + added) / load.speedByRank[rank]

    private fun share(expert: Int) = load.loadByExpert[expert] / copies[expert]

    private fun skew(): Double {
        val times = work.indices.map(::time)
        return times.max() / times.average()
    }

    /** Returns the change that relieves the slowest rank most per move. */
    private fun best(movesLeft: Int): Change? {
        val slowest = work.indices.maxBy(::time)
        val slowestTime = time(slowest)
        var best: Change? = null
        var bestRelief = MIN_RELIEF
        changesAt(slowest).filter { it.moves <= movesLeft && isWithinNew(it) }.forEach { change ->
            val relief = (slowestTime - change.worstAfter) / change.moves
            if (relief > bestRelief) {
                best = change
                bestRelief = relief
            }
        }
        return best
    }

    /**
     * Applies a change of the slowest rank that overloads another, and those that relieve that other, if together
     * they relieve the slowest; returns their moves, or 0 if no such chain was found.
     */
    private fun applyChain(movesLeft: Int): Int {
        val slowest = work.indices.maxBy(::time)
        val slowestTime = time(slowest)
        val heaviest = slotsOf(slowest).maxBy { share(expertBySlot[it]) }
        val copies = relieving(expertBySlot[heaviest]).filter(::isWithinNew).sortedBy { it.worstAfter }.take(CHAIN_WIDTH)
        val exchanges =
            expertBySlot.indices
                .mapNotNull { exchange(heaviest, it) }
                .filter(::isWithinNew)
                .sortedBy { it.worstAfter }
                .take(CHAIN_WIDTH)
        return (copies + exchanges).firstNotNullOfOrNull { movesOfChainOrNull(it, movesLeft, slowestTime) } ?: 0
    }

    private fun movesOfChainOrNull(first: Change, movesLeft: Int, slowestTime: Double): Int? {
        val undo = ArrayDeque<Change>()
        var moves = 0
        var next: Change? = first.takeIf { it.moves <= movesLeft }
        while (next != null && undo.size < CHAIN_LENGTH) {
            undo.addFirst(undoOf(next))
            apply(next)
            moves += next.moves
            if (work.indices.maxOf(::time) < slowestTime - MIN_RELIEF) return moves
            next = best(movesLeft - moves)
        }
        undo.forEach(::apply)
        return null
    }

    private fun slotsOf(rank: Int) = rank * slotsPerRank until (rank + 1) * slotsPerRank

    private fun undoOf(change: Change): Change =
        when (change) {
            is Change.Exchange -> change
            is Change.Replace -> Change.Replace(change.slot, expertBySlot[change.slot], change.worstAfter)
        }

    private fun changesAt(slowest: Int): Sequence<Change> =
        sequence {
            val slots = slotsOf(slowest)
            for (slot in slots) {
                for (other in expertBySlot.indices) {
                    if (rankOf(other) != slowest) exchange(slot, other)?.let { yield(it) }
                }
                yieldAll(relieving(expertBySlot[slot]))
            }
            slots.filter { copies[expertBySlot[it]] > 1 }.forEach { slot -> yieldAll(replacements(slot)) }
        }

    private fun exchange(slot: Int, other: Int): Change? {
        val delta = share(expertBySlot[slot]) - share(expertBySlot[other])
        if (delta <= 0 || holds(rankOf(other), expertBySlot[slot]) || holds(rankOf(slot), expertBySlot[other])) return null
        return Change.Exchange(slot, other, maxOf(time(rankOf(slot), -delta), time(rankOf(other), delta)))
    }

    private fun holds(rank: Int, expert: Int) = slotsByExpert[expert].any { rankOf(it) == rank }

    /** Copies of [expert] in slots that hold the second copy of something cold. */
    private fun relieving(expert: Int): List<Change> {
        if (copies[expert] >= load.rankCount) return emptyList()
        val shareAfter = load.loadByExpert[expert] / (copies[expert] + 1)
        return expertBySlot.indices.mapNotNull { slot ->
            val cold = expertBySlot[slot]
            if (copies[cold] < 2 || cold == expert || holds(rankOf(slot), expert)) return@mapNotNull null
            replacement(slot, cold, expert, shareAfter)
        }
    }

    /** Puts a copy of something light in [slot], whose expert stands elsewhere too. */
    private fun replacements(slot: Int): Sequence<Change> =
        load.loadByExpert.indices.asSequence().mapNotNull { expert ->
            if (expert == expertBySlot[slot] || holds(rankOf(slot), expert)) return@mapNotNull null
            replacement(slot, expertBySlot[slot], expert, load.loadByExpert[expert] / (copies[expert] + 1))
        }

    /** Works out the slowest of the ranks that loading [slot] with [next] in place of [old] touches. */
    private fun replacement(
        slot: Int,
        old: Int,
        next: Int,
        nextShare: Double,
    ): Change.Replace {
        val oldShare = share(old)
        val oldShareAfter = load.loadByExpert[old] / (copies[old] - 1)
        val nextShareBefore = share(next)
        slotsByExpert[old].forEach { extraWork[rankOf(it)] += if (it == slot) -oldShare else oldShareAfter - oldShare }
        slotsByExpert[next].forEach { extraWork[rankOf(it)] += nextShare - nextShareBefore }
        extraWork[rankOf(slot)] += nextShare
        val worst = maxOf(worstTouched(old), worstTouched(next), time(rankOf(slot), extraWork[rankOf(slot)]))
        slotsByExpert[old].forEach { extraWork[rankOf(it)] = 0.0 }
        slotsByExpert[next].forEach { extraWork[rankOf(it)] = 0.0 }
        extraWork[rankOf(slot)] = 0.0
        return Change.Replace(slot, next, worst)
    }

    private fun worstTouched(expert: Int): Double {
        var worst = 0.0
        slotsByExpert[expert].forEach { worst = maxOf(worst, time(rankOf(it), extraWork[rankOf(it)])) }
        return worst
    }

    private fun isWithinNew(change: Change): Boolean =
        newByRank == null ||
            when (change) {
                is Change.Exchange ->
                    isWithinNew(change.slot, expertBySlot[change.other]) &&
                        isWithinNew(change.other, expertBySlot[change.slot])
                is Change.Replace -> isWithinNew(change.slot, change.expert)
            }

    private fun isWithinNew(slot: Int, next: Int): Boolean {
        val rank = rankOf(slot)
        return newOnRank[rank] - newCount(rank, expertBySlot[slot]) + newCount(rank, next) <= (newByRank?.get(rank) ?: Int.MAX_VALUE)
    }

    private fun newCount(rank: Int, expert: Int) = if (heldAtStart[rank][expert]) 0 else 1

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
        newOnRank[rankOf(slot)] += newCount(rankOf(slot), expert) - newCount(rankOf(slot), old)
        reshare(old) {
            copies[old] -= 1
            slotsByExpert[old].remove(slot)
        }
        expertBySlot[slot] = expert
        reshare(expert) {
            copies[expert] += 1
            slotsByExpert[expert] += slot
        }
    }

    /** Takes the work of [expert] off all ranks, lets [change] change its slots and spreads the work again. */
    private fun reshare(expert: Int, change: () -> Unit) {
        slotsByExpert[expert].forEach { work[rankOf(it)] -= share(expert) }
        change()
        slotsByExpert[expert].forEach { work[rankOf(it)] += share(expert) }
    }
}

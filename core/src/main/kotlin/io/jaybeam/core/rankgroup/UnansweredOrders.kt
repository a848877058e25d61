/*
 * How many orders to the ranks of a group go unanswered, and how long before the pass that switches the map they must begin.
 *
 * Load pattern: a share of all orders gets no answer and is carried out seconds later. That an order is unanswered is known
 * only after a timeout, and in a group of dozens of ranks some orders are unanswered several times in a row. If the pass were
 * due before all ranks are armed, the whole group would stand still, and all running streams with it. A new map may come
 * somewhat later, so the pass is chosen so late that unanswered orders can be repeated before it is due.
 */
package io.jaybeam.core.rankgroup

import kotlin.math.pow

// A longer lead makes every change later; a shorter one makes more of them keep the group waiting.
private const val MAX_LATE_SHARE = 0.05

// The order to hold the pass, the one that arms the coordinator's rank and the one that releases the pass, one after the other.
private const val SINGLE_ORDERS = 3
private const val MAX_REPEATS = 8

// Several times the orders of a change of the largest group.
private const val MAX_ORDERS = 8_192

/** Counts orders by whether their first sending was answered, in the present map change and the one before. Not thread-safe. */
internal class UnansweredOrders {
    private var isAnsweredByOrder = HashMap<FencedOrder, Boolean>()
    private var isAnsweredBefore: Map<FencedOrder, Boolean> = emptyMap()

    /** Begins a new change; of the earlier ones, only the last still counts. */
    fun onChange() {
        isAnsweredBefore = isAnsweredByOrder
        isAnsweredByOrder = HashMap()
    }

    /** Records the outcome of [order]. Repeats do not count, so that a rank that never answers counts as one rank. */
    fun onOutcome(order: FencedOrder, outcome: OrderOutcome) {
        if (isAnsweredByOrder.size >= MAX_ORDERS) return
        isAnsweredByOrder.putIfAbsent(order, outcome != OrderOutcome.UNKNOWN)
    }

    /** Share of orders that went unanswered: that of both changes, or that of the present one if it is higher. */
    val share: Double
        get() = maxOf(unansweredShare(isAnsweredByOrder.values), unansweredShare(isAnsweredByOrder.values + isAnsweredBefore.values))

    private fun unansweredShare(answers: Collection<Boolean>): Double {
        if (answers.isEmpty()) return 0.0
        return answers.count { isAnswered -> !isAnswered }.toDouble() / answers.size
    }
}

/**
 * Returns how many timeouts of unanswered orders a change of [ranks] ranks must have time for, if [unansweredShare] of all
 * orders go unanswered: with this many, at most a share of [MAX_LATE_SHARE] of all changes takes longer.
 */
internal fun repeatsExpected(unansweredShare: Double, ranks: Int): Int {
    if (unansweredShare <= 0.0) return 0
    // Probabilities that orders need a given number of repeats. All ranks but the coordinator's are armed at the same time.
    var likelihoods = repeatLikelihoods(unansweredShare, parallelOrders = maxOf(ranks - 1, 1))
    repeat(SINGLE_ORDERS) { likelihoods = likelihoods.followedBy(repeatLikelihoods(unansweredShare, parallelOrders = 1)) }
    var likelihood = 0.0
    likelihoods.forEachIndexed { repeats, likelihoodOfRepeats ->
        likelihood += likelihoodOfRepeats
        if (likelihood >= 1 - MAX_LATE_SHARE) return repeats
    }
    return MAX_REPEATS
}

private fun repeatLikelihoods(unansweredShare: Double, parallelOrders: Int): List<Double> {
    val cumulative = (0..MAX_REPEATS).map { repeats -> (1 - unansweredShare.pow(repeats + 1)).pow(parallelOrders) }
    return cumulative.indices.map { repeats -> if (repeats == 0) cumulative[0] else cumulative[repeats] - cumulative[repeats - 1] }
}

private fun List<Double>.followedBy(others: List<Double>): List<Double> =
    indices.map { repeats -> (0..repeats).sumOf { this[it] * others[repeats - it] } }

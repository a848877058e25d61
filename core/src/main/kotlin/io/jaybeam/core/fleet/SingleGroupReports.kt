/*
 * Decides whether entries use the reports of the ranks of a service that has a single group.
 *
 * Such reports serve only the choice of a rank, and replace what an entry does not know by something else that it does not know.
 * Without them it does not see how other entries round: each keeps its own requests at the ranks within one of one another. With
 * them it does not see what others have started since, and what they start by the same reports until the next ones. Reports are
 * used where that is at most half as uncertain, with all slots of the ranks in use, when placement matters.
 *
 * The load for which it is made: the same ranks under few entries, each of which sees most of their requests, and under many, none
 * of which does.
 */
package io.jaybeam.core.fleet

// Of the loads of its ranks, about 12 bytes each, a coordinator sends to three entries together some 9 KB a second, whatever the
// size of the group. That is a hundredth of a link of 5 Mbit/s.
private const val MIN_LOAD_INTERVAL_MILLIS = 250L
private const val LOAD_INTERVAL_MILLIS_PER_RANK = 4L

// What the report of a rank's load takes at most.
private const val BYTES_PER_RANK = 12

/** Number of entries to which a coordinator sends a report, and to which each entry passes it on: these reach nearly all. */
public const val GROUP_NEWS_RECEIVERS: Int = 3

/** Bytes a second that an entry spends on passing on reports; with what entries exchange otherwise, this stays below 3 KB. */
public const val GROUP_NEWS_BYTES_PER_SECOND: Int = 2_000
private const val MILLIS_PER_SECOND = 1_000L

// A number that is rounded up with a chance of f has a variance of f (1 - f), which is 1/6 on average over f.
private const val ROUNDING_VARIANCE = 1.0 / 6

// Numbers of requests are then known twice as exactly, as a standard deviation.
private const val MIN_VARIANCE_RATIO = 4.0

/** Returns the interval between two reports of the loads of a group of [rankCount] ranks, in milliseconds. */
public fun loadIntervalMillis(rankCount: Int): Long = maxOf(MIN_LOAD_INTERVAL_MILLIS, rankCount * LOAD_INTERVAL_MILLIS_PER_RANK)

/** Returns the time between two reports of the loads of [rankCount] ranks that an entry gets; it grows with what passing one on takes. */
public fun loadSpreadMillis(rankCount: Int): Long {
    val bytes = rankCount.toLong() * BYTES_PER_RANK * GROUP_NEWS_RECEIVERS
    return maxOf(loadIntervalMillis(rankCount), bytes * MILLIS_PER_SECOND / GROUP_NEWS_BYTES_PER_SECOND)
}

/** Whether [entryCount] entries place requests better by the reports of [rankCount] ranks, which are the only group of a service. */
public fun areSingleGroupReportsUseful(engine: EngineModel, rankCount: Int, entryCount: Int): Boolean {
    if (!engine.hasRequestCost || engine.meanAnswerTokens <= 0 || entryCount < 2) return false
    // Reports that are too old to be trusted before the next ones arrive would change the way of placement again and again.
    if (loadSpreadMillis(rankCount) > LOAD_TRUST_MILLIS) return false
    val others = entryCount - 1.0
    // Others start as many requests between two reports as before the mean age of a report and after it.
    val unseenStarts = engine.fullStartsPerMilli() * loadSpreadMillis(rankCount) * others / entryCount
    return others * ROUNDING_VARIANCE >= unseenStarts * MIN_VARIANCE_RATIO
}

/** Returns the rate at which a rank starts requests while all its slots are in use, per millisecond. */
private fun EngineModel.fullStartsPerMilli(): Double {
    val fullStepMillis = stepMillis + stepMillisPerRequest * batchSlots
    val requestMillis = readMillis(meanPromptTokens) + meanAnswerTokens * fullStepMillis
    return batchSlots / requestMillis
}

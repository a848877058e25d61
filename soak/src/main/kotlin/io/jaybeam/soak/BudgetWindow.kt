/*
 * The rule BUDGET: arrivals beyond the first of each request, in sliding windows.
 */
package io.jaybeam.soak

/** A window with [repeats] repeats, of which [allowed] are allowed for [requests] requests. */
internal class BudgetWindow(
    val repeats: Int,
    val requests: Int,
    val lastRepeatId: String,
) {
    val allowed: Double get() = BUDGET_RATIO * requests + BUDGET_SLACK

    /** Over 1 if more is sent again than is allowed. */
    val shareOfAllowed: Double get() = repeats / allowed

    override fun toString(): String = "repeats %d of %.0f allowed for %d requests in 10 s".format(repeats, allowed, requests)
}

/**
 * Returns the window that uses most of what it allows, of those that begin or end with a repeat.
 *
 * The requests of a window are those of itself, of the one half a window before it or of the one before it, whichever has most.
 */
internal fun worstWindowOrNull(requests: List<SentRequest>, arrivals: List<Arrival>): BudgetWindow? {
    val requestNanos = requests.map { it.sentNanos }.sorted()
    val seen = mutableSetOf<String>()
    val repeats = arrivals.sortedBy { it.atNanos }.filterNot { seen.add(it.id) }
    val repeatNanos = repeats.map { it.atNanos }
    val starts = repeatNanos.flatMap { listOf(it, it - WINDOW_NANOS + 1) }
    return starts
        .map { start ->
            val requestCount = listOf(0, WINDOW_NANOS / 2, WINDOW_NANOS).maxOf { countFrom(requestNanos, start - it) }
            val last = indexAt(repeatNanos, start + WINDOW_NANOS) - 1
            BudgetWindow(countFrom(repeatNanos, start), requestCount, repeats[last].id)
        }.maxByOrNull { it.shareOfAllowed }
}

private fun countFrom(sortedNanos: List<Long>, start: Long) = indexAt(sortedNanos, start + WINDOW_NANOS) - indexAt(sortedNanos, start)

/** Index of the first value that is at least [nanos]. */
private fun indexAt(sortedNanos: List<Long>, nanos: Long): Int {
    val found = sortedNanos.binarySearch { if (it < nanos) -1 else 1 }
    return -(found + 1)
}

internal const val BUDGET_RATIO = 0.2
internal const val BUDGET_SLACK = 94
internal const val BUDGET_WINDOW_SECONDS = 10
private const val WINDOW_NANOS = BUDGET_WINDOW_SECONDS * 1_000_000_000L

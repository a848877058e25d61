/*
 * How often sides report to their coordinator. A coordinator of 0.45 cores takes some 150 reports a second, so the ranks of
 * a large group report less often.
 */
package io.jaybeam.side.rank

// A shift of demand shows in the second report after it; reading the own rank is free but for processor time.
private const val REPORT_MILLIS = 80L

// A change of map waits for the last rank at each of its steps, so reports come faster until the map is in use.
private const val CHANGE_REPORT_MILLIS = 50L
private const val REPORT_MILLIS_PER_RANK = 6L
private const val CHANGE_REPORT_MILLIS_PER_RANK = 4L

// A side that has missed three reports may be frozen or gone.
private const val MISSED_REPORTS = 3.5

/** Returns the time between two reports of a rank in a group of [groupSize], in milliseconds. */
internal fun reportMillis(groupSize: Int, isChanging: Boolean): Long =
    if (isChanging) {
        maxOf(CHANGE_REPORT_MILLIS, groupSize * CHANGE_REPORT_MILLIS_PER_RANK)
    } else {
        maxOf(REPORT_MILLIS, groupSize * REPORT_MILLIS_PER_RANK)
    }

/** Returns the time after which a side that has said nothing counts as silent, in milliseconds. */
internal fun silentMillis(groupSize: Int): Long = (reportMillis(groupSize, isChanging = false) * MISSED_REPORTS).toLong()

/*
 * Intervals at which sides report to their coordinator. Both the processor and the network link of the coordinator's instance
 * are limited, so the ranks of a large group report less often.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.loadIntervalMillis

// A shift of demand is detected in the second report after it.
private const val MIN_REPORT_INTERVAL_MILLIS = 80L
private const val REPORT_INTERVAL_MILLIS_PER_RANK = 6L

// Each step of a map change waits for the slowest rank. Reading the local rank costs only processor time.
private const val CHANGE_READ_INTERVAL_MILLIS = 50L

// Bytes of demand that all sides of a group send together. The rest of a link of 5 Mbit/s is for orders.
private const val MAX_DEMAND_BYTES_PER_SECOND = 200_000L
private const val MILLIS_PER_SECOND = 1_000L

// Entries trust a group's state for several of these.
private const val GROUP_STATE_INTERVAL_MILLIS = 1_000L

// A side that has missed three reports in a row may be frozen or have ended.
private const val SILENCE_TIMEOUT_REPORT_INTERVALS = 3.5

/** Returns the interval between two reports of a rank whose state stays the same, in milliseconds. */
internal fun reportIntervalMillis(groupSize: Int): Long = maxOf(MIN_REPORT_INTERVAL_MILLIS, groupSize * REPORT_INTERVAL_MILLIS_PER_RANK)

/** Returns the interval at which a side reads its rank; it reports a new state as soon as it has read it. */
internal fun readIntervalMillis(groupSize: Int, isChanging: Boolean): Long =
    if (isChanging) CHANGE_READ_INTERVAL_MILLIS else reportIntervalMillis(groupSize)

/** Returns the time without a report after which a side counts as silent, in milliseconds. */
internal fun silenceTimeoutMillis(groupSize: Int): Long = (reportIntervalMillis(groupSize) * SILENCE_TIMEOUT_REPORT_INTERVALS).toLong()

/** Returns the interval between two reports of a rank that contain its demand, which takes [demandBytes], in milliseconds. */
internal fun demandIntervalMillis(groupSize: Int, demandBytes: Int): Long =
    maxOf(
        reportIntervalMillis(groupSize),
        groupSize * demandBytes * MILLIS_PER_SECOND / MAX_DEMAND_BYTES_PER_SECOND,
    )

/** Returns the interval at which a group's coordinator sends its state to entries, with the loads of its ranks if [areLoadsUseful]. */
internal fun groupNewsIntervalMillis(groupSize: Int, areLoadsUseful: Boolean): Long =
    if (areLoadsUseful) loadIntervalMillis(groupSize) else GROUP_STATE_INTERVAL_MILLIS

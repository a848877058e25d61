/*
 * How long callers wait before they send a stream again that a rank group could not take.
 */
package io.jaybeam.entry.direct

import kotlin.random.Random

// A group that has lost a rank stalls for 1.5 s and takes another 0.6 s to form again, so an earlier retry fails.
private const val GROUP_RECOVERY_MILLIS = 2_100L

// Spreads the retries of callers. The total delay stays below a third of a deadline of 8 s, the longest that callers wait
// before a retry.
private const val RETRY_JITTER_MILLIS = 500L

/** Returns the time after which a group that is unavailable now has probably recovered, different for each caller. */
internal fun groupRecoveryMillis(): Long = GROUP_RECOVERY_MILLIS + Random.nextLong(RETRY_JITTER_MILLIS)

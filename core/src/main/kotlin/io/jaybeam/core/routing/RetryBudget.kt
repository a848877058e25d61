/*
 * Bounds retries to a share of first attempts, so that retries cannot multiply an overload.
 */
package io.jaybeam.core.routing

/**
 * A token bucket filled by first attempts. Thread-safe.
 *
 * @property percent retries allowed for every hundred first attempts.
 * @property burst retries allowed with no first attempt before.
 */
public class RetryBudget(
    private val percent: Int,
    private val burst: Int,
) {
    private var hundredths = burst * HUNDRED

    /** Notes a first attempt. */
    @Synchronized
    public fun onFirstAttempt() {
        hundredths = minOf(hundredths + percent, maxOf(burst, 1) * HUNDRED)
    }

    /** Takes one retry if the budget has it. */
    @Synchronized
    public fun tryRetry(): Boolean {
        if (hundredths < HUNDRED) return false
        hundredths -= HUNDRED
        return true
    }
}

private const val HUNDRED = 100

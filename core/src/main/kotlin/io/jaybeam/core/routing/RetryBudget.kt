/*
 * Bounds retries to a share of first attempts, so that retries cannot multiply an overload.
 */
package io.jaybeam.core.routing

/**
 * A token bucket filled by first attempts. Thread-safe.
 *
 * @property burst retries allowed with no first attempt before.
 */
public class RetryBudget(
    private val burst: Int,
) {
    private var hundredths = burst * HUNDRED

    /** Notes a first attempt, of which every hundred allow [percent] retries by the bundle in force now. */
    @Synchronized
    public fun onFirstAttempt(percent: Int) {
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

/*
 * Limits retries to a share of first attempts, so that retries cannot amplify an overload.
 */
package io.jaybeam.core.routing

/**
 * A token bucket that first attempts refill. Thread-safe.
 *
 * @property burst retries allowed before any first attempt.
 */
public class RetryBudget(
    private val burst: Int,
) {
    private var tokenHundredths = burst * HUNDREDTHS_PER_TOKEN

    /** Counts a first attempt. Every hundred first attempts allow [percent] retries, a value of the current bundle. */
    @Synchronized
    public fun onFirstAttempt(percent: Int) {
        tokenHundredths = minOf(tokenHundredths + percent, maxOf(burst, 1) * HUNDREDTHS_PER_TOKEN)
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    @Synchronized
    public fun tryRetry(): Boolean {
        if (tokenHundredths < HUNDREDTHS_PER_TOKEN) return false
        tokenHundredths -= HUNDREDTHS_PER_TOKEN
        return true
    }
}

private const val HUNDREDTHS_PER_TOKEN = 100

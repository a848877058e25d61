/*
 * Limits retries to a share of first attempts, so that retries cannot amplify an overload.
 *
 * Load pattern: targets fail while instances are killed and start again. An instance does not know what an earlier process in its place
 * has spent, so it starts with a single retry and saves others from first attempts only. All retries of a fleet within any window then stay
 * within the share of its first attempts, what the running instances had saved before, and one for each start.
 */
package io.jaybeam.core.routing

/**
 * A token bucket that first attempts refill. Thread-safe.
 *
 * @param burst retries that may be saved at most.
 * @param initialRetries retries allowed before any first attempt. Other than 0, each start of a process allows them again.
 */
public class RetryBudget(
    burst: Int,
    initialRetries: Int = 0,
) {
    private var burst = burst
    private var tokenHundredths = initialRetries * HUNDREDTHS_PER_TOKEN

    /** Whole retries that the budget allows now. */
    public val retriesLeft: Int
        @Synchronized get() = tokenHundredths / HUNDREDTHS_PER_TOKEN

    /** Counts a first attempt. Every hundred first attempts allow [percent] retries, a value of the current bundle. */
    @Synchronized
    public fun onFirstAttempt(percent: Int) {
        tokenHundredths = minOf(tokenHundredths + percent, maxOf(burst, 1) * HUNDREDTHS_PER_TOKEN)
    }

    /** Lowers the retries that may be saved up to [limit], if more are allowed. */
    @Synchronized
    public fun limitBurst(limit: Int) {
        if (limit >= burst) return
        burst = limit
        tokenHundredths = minOf(tokenHundredths, limit * HUNDREDTHS_PER_TOKEN)
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    @Synchronized
    public fun tryRetry(): Boolean {
        if (tokenHundredths < HUNDREDTHS_PER_TOKEN) return false
        tokenHundredths -= HUNDREDTHS_PER_TOKEN
        return true
    }
}

/**
 * Returns the retries that one of [instanceCount] instances may save of [slack], the retries that all instances together may make beyond
 * their share. The rest of its part of the slack covers [initialRetriesPerInstance] of [STARTS_PER_WINDOW] starts.
 */
public fun retrySlackPerInstance(slack: Int, instanceCount: Int): Int =
    partOfInstance(slack, instanceCount) - STARTS_PER_WINDOW * initialRetriesPerInstance(slack, instanceCount)

/** Returns the retries that one of [instanceCount] instances may make before any first attempt, each time it starts. */
public fun initialRetriesPerInstance(slack: Int, instanceCount: Int): Int =
    if (partOfInstance(slack, instanceCount) > STARTS_PER_WINDOW) 1 else 0

private fun partOfInstance(slack: Int, instanceCount: Int) = slack / maxOf(instanceCount, MIN_INSTANCES)

private const val HUNDREDTHS_PER_TOKEN = 100

// An instance that has just started knows of few others. Fleets of fewer instances leave part of the slack unused.
private const val MIN_INSTANCES = 12

// Starts of an instance within the window of the slack. Fleets of fewer than MIN_INSTANCES may start more often.
private const val STARTS_PER_WINDOW = 2

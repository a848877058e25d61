/*
 * Retry budgets, one for each organisation.
 */
package io.jaybeam.entry.forward

import com.github.benmanes.caffeine.cache.Caffeine
import io.jaybeam.core.routing.RetryBudget
import io.jaybeam.entry.calls.Call

private const val MAX_ORGANISATIONS = 50_000L

/**
 * Holds the retry budget of each organisation. Thread-safe.
 *
 * @property burst number of retries that a new budget allows before any first attempt.
 */
internal class RetryBudgets(
    private val burst: Int,
) {
    private val byOrganisation = Caffeine.newBuilder().maximumSize(MAX_ORGANISATIONS).build<String, RetryBudget>()

    /** Counts [call] as a first attempt and returns the budget of its organisation. */
    fun recordFirstAttempt(call: Call): RetryBudget = budgetOf(call).also { it.onFirstAttempt(call.bundle.requestLimits.retryPercent) }

    private fun budgetOf(call: Call) = byOrganisation.get(call.organisation) { RetryBudget(burst, initialRetries = burst) }
}

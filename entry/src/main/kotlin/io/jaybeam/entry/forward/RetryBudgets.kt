/*
 * The retry budget of each organisation.
 */
package io.jaybeam.entry.forward

import com.github.benmanes.caffeine.cache.Caffeine
import io.jaybeam.core.routing.RetryBudget
import io.jaybeam.entry.calls.Call

private const val MAX_ORGANISATIONS = 50_000L

/** The budgets of all organisations, each with a [burst] of retries at first. Thread-safe. */
internal class RetryBudgets(
    private val burst: Int,
) {
    private val byOrganisation = Caffeine.newBuilder().maximumSize(MAX_ORGANISATIONS).build<String, RetryBudget>()

    /** Returns the budget of the call's organisation, with the call counted as a first attempt. */
    fun noteFirstAttempt(call: Call): RetryBudget = budgetOf(call).also { it.onFirstAttempt(call.bundle.requestLimits.retryPercent) }

    private fun budgetOf(call: Call) = byOrganisation.get(call.organisation) { RetryBudget(burst) }
}

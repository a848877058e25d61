package io.jaybeam.core.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class RetryBudgetTest {
    private fun RetryBudget.retriesAfter(firstAttempts: Int, percent: Int): Int =
        (1..firstAttempts).sumOf {
            onFirstAttempt(percent)
            generateSequence { tryRetry() }.takeWhile { it }.count()
        }

    @Test
    fun `retries stay within their share of first attempts`() {
        val budget = RetryBudget(burst = 2)
        repeat(2) { assertTrue(budget.tryRetry()) }
        assertFalse(budget.tryRetry())
        assertEquals(100, budget.retriesAfter(firstAttempts = 1_000, percent = 10))
    }

    @Test
    fun `the share of a new bundle applies from the next first attempt on`() {
        val budget = RetryBudget(burst = 1)
        budget.retriesAfter(firstAttempts = 100, percent = 20)
        assertEquals(0, budget.retriesAfter(firstAttempts = 100, percent = 0))
        assertEquals(50, budget.retriesAfter(firstAttempts = 100, percent = 50))
    }

    @Test
    fun `unused retries accumulate up to the burst only`() {
        val budget = RetryBudget(burst = 2)
        repeat(1_000) { budget.onFirstAttempt(percent = 100) }
        assertTrue(budget.tryRetry())
        assertTrue(budget.tryRetry())
        assertFalse(budget.tryRetry())
    }

    @Test
    fun `all instances of a large fleet together keep to the slack of the fleet`() {
        for (instances in listOf(1, 12, 18, 60)) {
            val slack = 124
            val budgets = List(instances) { RetryBudget(retrySlackPerInstance(slack, instanceCount = 1)) }
            // Each learns of the others later.
            budgets.forEach { it.limitBurst(retrySlackPerInstance(slack, instances)) }
            val retries = budgets.sumOf { budget -> generateSequence { budget.tryRetry() }.takeWhile { it }.count() }
            assertTrue(retries <= slack, "$retries retries of $instances instances")
        }
    }
}

/*
 * An entry notices a target that has stopped answering while its requests there still wait.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.cost.CostEstimator
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

// The objective of the call's route is shorter than a lost packet takes.
private const val BOUND_MILLIS = 500L
private const val TRIAL_MILLIS = 2_000L

internal class SilentTargetTest {
    private var nowMillis = 1_000L
    private val loads = TargetLoads(nanoTime = { nowMillis * NANOS_PER_MILLI })
    private val accounts = CostAccounts(loads, CostEstimator({ nowMillis }))
    private val target = newTarget(port = 1)

    private fun attempt() = AttemptCost(newCall(bodyBytes = 0), target, accounts, writtenEvents = 0)

    private val isSilent: Boolean get() = loads.of(target).isSilent

    @Test
    fun `a target is silent while its requests wait too long, and until it answers one`() {
        val attempt = attempt()
        assertFalse(isSilent)
        nowMillis += BOUND_MILLIS
        assertTrue(isSilent)
        attempt.end(outcome = null, hasFailed = true, writtenEvents = 0)
        nowMillis += TRIAL_MILLIS - 1
        assertTrue(isSilent)
        nowMillis += 1
        assertFalse(isSilent)
        attempt()
        assertTrue(isSilent)
        loads.onSign(target.id)
        assertFalse(isSilent)
    }

    @Test
    fun `output of one request shows that the target answers`() {
        val attempts = List(2) { attempt() }
        nowMillis += BOUND_MILLIS - 1
        attempts.first().onOutput(writtenEvents = 0)
        nowMillis += BOUND_MILLIS - 1
        assertFalse(isSilent)
    }

    @Test
    fun `a target whose caller left early is not silent`() {
        attempt().end(outcome = null, hasFailed = true, writtenEvents = 0)
        nowMillis += BOUND_MILLIS
        assertFalse(isSilent)
    }
}

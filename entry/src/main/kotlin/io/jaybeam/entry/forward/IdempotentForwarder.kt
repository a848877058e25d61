/*
 * Forwards requests that may run any number of times. While no part of an answer was sent to the caller, a failed
 * attempt is retried at another target, within the retry budget.
 */
package io.jaybeam.entry.forward

import io.jaybeam.core.config.EffectiveConfig
import io.jaybeam.core.quarantine.CrashStatus
import io.jaybeam.core.quarantine.CrashTracker
import io.jaybeam.core.routing.RetryBudget
import io.jaybeam.core.routing.Router
import io.jaybeam.core.routing.TargetSnapshot
import io.jaybeam.entry.calls.Call
import io.jaybeam.entry.calls.CallResult
import io.jaybeam.entry.calls.CallerResponse
import io.jaybeam.entry.calls.noTarget
import io.jaybeam.entry.calls.outcomeUnknown
import io.jaybeam.entry.targets.TargetDirectory

private const val MAX_ATTEMPTS = 4
private const val RETRY_BURST = 10

/**
 * Forwards idempotent calls. Its functions block.
 *
 * @property reattachMillis maximum time to wait for a lost link to a target to be open again.
 */
internal class IdempotentForwarder(
    private val directory: TargetDirectory,
    private val router: Router,
    private val crashTracker: CrashTracker,
    private val reattachMillis: Long,
    private val config: () -> EffectiveConfig,
    private val monotonicMillis: () -> Long,
    private val onRetry: () -> Unit,
) {
    private val budgets = RetryBudgets(RETRY_BURST)

    /** State that the attempts of one call share. */
    private class AttemptState {
        val triedInstances = mutableSetOf<String>()
        var mayHaveRun = false
        var lastDetail: String? = null
    }

    /** Runs [call] and writes its answer to [response]. */
    fun forward(call: Call, response: CallerResponse): CallResult {
        val relay = AnswerRelay(call, response, reattachMillis)
        val state = AttemptState()
        val budget = budgets.recordFirstAttempt(call)
        repeat(MAX_ATTEMPTS) { attemptIndex ->
            val crashStatus = crashTracker.status(call.fingerprint, monotonicMillis())
            if (crashStatus == CrashStatus.QUARANTINED) return CallResult.Failed(quarantined(state.mayHaveRun))
            val target = pickOrNull(call, state.triedInstances) ?: return attemptsExhausted(call, state)
            if (attemptIndex > 0 && !mayRetry(budget)) return attemptsExhausted(call, state)
            state.triedInstances += target.identity.instance
            runOn(relay, target, state, crashStatus == CrashStatus.SUSPECT)?.let { return it }
        }
        return attemptsExhausted(call, state)
    }

    private fun mayRetry(budget: RetryBudget) = budget.tryRetry().also { if (it) onRetry() }

    /** Returns the result of the call, or null if another target may be tried. */
    private fun runOn(
        relay: AnswerRelay,
        target: TargetSnapshot,
        state: AttemptState,
        isSuspect: Boolean,
    ): CallResult? {
        val channel = directory.channelOf(target.identity) ?: return null
        return when (val outcome = relay.run(channel, target.identity, ticket = null, isSuspect = isSuspect)) {
            is RelayOutcome.Completed ->
                CallResult
                    .Relayed(
                        outcome.status,
                    ).also { if (isSuspect) crashTracker.onCompleted(relay.fingerprint) }
            is RelayOutcome.CallerDisconnected -> CallResult.CallerDisconnected
            is RelayOutcome.DeadlineExceeded -> relay.failure(deadlineExceeded())
            is RelayOutcome.AnswerLost -> onAnswerLost(relay, state, outcome)
            is RelayOutcome.Refused -> null.also { state.lastDetail = outcome.reason.describe() }
            is RelayOutcome.Undecided, RelayOutcome.NotSent -> null
        }
    }

    private fun onAnswerLost(relay: AnswerRelay, state: AttemptState, outcome: RelayOutcome.AnswerLost): CallResult? {
        state.mayHaveRun = true
        state.lastDetail = outcome.detail
        return if (relay.progress.hasBegun) CallResult.Truncated(outcome.detail) else null
    }

    private fun attemptsExhausted(call: Call, state: AttemptState): CallResult {
        val detail = state.lastDetail ?: noTargetAvailable(call.service)
        if (!state.mayHaveRun) return CallResult.Failed(noTarget(detail))
        return CallResult.Failed(outcomeUnknown(detail, "the request is idempotent: send it again"))
    }

    private fun pickOrNull(call: Call, triedInstances: Set<String>): TargetSnapshot? {
        val candidates = directory.candidates(call.service, config()).filter { it.identity.instance !in triedInstances }
        return router.pick(candidates, call.prefixHash)
    }
}

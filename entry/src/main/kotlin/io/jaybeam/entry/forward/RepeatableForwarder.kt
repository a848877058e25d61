/*
 * Forwards requests that may run any number of times: another target is tried within the retry budget until
 * the caller has seen part of an answer.
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

/** Forwards idempotent calls. Calls block. */
internal class RepeatableForwarder(
    private val directory: TargetDirectory,
    private val router: Router,
    private val crashes: CrashTracker,
    private val reattachMillis: Long,
    private val config: () -> EffectiveConfig,
    private val monotonicMillis: () -> Long,
    private val onRetry: () -> Unit,
) {
    private val budgets = RetryBudgets(RETRY_BURST)

    /** What the attempts of one call have come to. */
    private class Attempts {
        val triedInstances = mutableSetOf<String>()
        var mayHaveRun = false
        var lastDetail: String? = null
    }

    /** Runs [call] and writes its answer to [response]. */
    fun forward(call: Call, response: CallerResponse): CallResult {
        val relay = AnswerRelay(call, response, reattachMillis)
        val attempts = Attempts()
        val budget = budgets.noteFirstAttempt(call)
        repeat(MAX_ATTEMPTS) { attempt ->
            val standing = crashes.status(call.fingerprint, monotonicMillis())
            if (standing == CrashStatus.QUARANTINED) return CallResult.Refusal(quarantined(attempts.mayHaveRun))
            val target = pickOrNull(call, attempts.triedInstances) ?: return exhausted(call, attempts)
            if (attempt > 0 && !mayRetry(budget)) return exhausted(call, attempts)
            attempts.triedInstances += target.identity.instance
            attempt(relay, target, attempts, standing == CrashStatus.SUSPECT)?.let { return it }
        }
        return exhausted(call, attempts)
    }

    private fun mayRetry(budget: RetryBudget) = budget.tryRetry().also { if (it) onRetry() }

    /** Returns how the call ended, or null if another target may be tried. */
    private fun attempt(
        relay: AnswerRelay,
        target: TargetSnapshot,
        attempts: Attempts,
        suspect: Boolean,
    ): CallResult? {
        val channel = directory.channelOf(target.identity) ?: return null
        return when (val end = relay.run(channel, target.identity, ticket = null, suspect = suspect)) {
            is RelayEnd.Done -> CallResult.Relayed(end.status).also { if (suspect) crashes.onCompleted(relay.fingerprint) }
            is RelayEnd.CallerGone -> CallResult.CallerGone
            is RelayEnd.TimedOut -> relay.unfinished(deadlinePassed())
            is RelayEnd.Lost -> lost(relay, attempts, end)
            is RelayEnd.Refused -> null.also { attempts.lastDetail = end.reason.describe() }
            is RelayEnd.Undecided, RelayEnd.NotSent -> null
        }
    }

    private fun lost(relay: AnswerRelay, attempts: Attempts, end: RelayEnd.Lost): CallResult? {
        attempts.mayHaveRun = true
        attempts.lastDetail = end.detail
        return if (relay.progress.begun) CallResult.CutOff(end.detail) else null
    }

    private fun exhausted(call: Call, attempts: Attempts): CallResult {
        val detail = attempts.lastDetail ?: noTargetTakesWork(call.service)
        if (!attempts.mayHaveRun) return CallResult.Refusal(noTarget(detail))
        return CallResult.Refusal(outcomeUnknown(detail, "the request is idempotent: send it again"))
    }

    private fun pickOrNull(call: Call, triedInstances: Set<String>): TargetSnapshot? {
        val candidates = directory.candidates(call.service, config()).filter { it.identity.instance !in triedInstances }
        return router.pick(candidates, call.prefixHash)
    }
}

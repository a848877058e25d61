/*
 * The attempts of one call: the targets it was sent to, and whether it may be sent to another.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.routing.RetryBudget

/**
 * Whether the retry budget allowed another attempt, for the log.
 *
 * @property attempt number of the attempt, counted from 1.
 * @property retriesLeft whole retries that the budget allows after the decision.
 */
internal data class RetryDecision(
    val attempt: Int,
    val isAllowed: Boolean,
    val retriesLeft: Int,
)

/** The attempts of [call]. Not thread-safe: one thread serves a call. */
internal class CallAttempts(
    private val call: DirectCall,
    private val budget: RetryBudget,
    private val onRetryDecided: (DirectCall, RetryDecision) -> Unit,
) {
    private val triedIds = mutableSetOf<String>()

    /** Those of [triedIds] at which the call did not run for a reason that its route's attempts do not count. */
    private val uncountedIds = mutableSetOf<String>()
    private var sendCount = 0
    private var hasReachedTarget = false

    /** Ids of the targets that the call was sent to. */
    val triedTargetIds: Set<String> get() = triedIds

    /** Whether the call may have run at a target. */
    var mayHaveRun = false
        private set

    /** Why the last attempt failed. */
    var lastDetail = ""
        private set

    /** Whether the call was sent to a target. */
    var isRepeated = false
        private set

    /** Whether the last attempt was turned away for a reason that the route's attempts do not count. */
    var wasTurnedAway = false
        private set

    /** Whether the next attempt draws on the retry budget. */
    val isNextCounted: Boolean get() = hasReachedTarget

    /** Whether the retry budget allows an attempt now. */
    val isBudgetLeft: Boolean get() = budget.retriesLeft > 0

    /** Whether the call has been sent to targets as often as a call may be. */
    val isExhausted: Boolean get() = sendCount >= maxOf(MAX_SENDS, call.route.maxTargets)

    fun onAttempt(targetId: String) {
        triedIds += targetId
        uncountedIds -= targetId
        isRepeated = true
        sendCount += 1
    }

    /** Forgets the targets that turned the call away, which may take it later. */
    fun forgetUncounted() {
        triedIds -= uncountedIds
        uncountedIds.clear()
    }

    /** Records that the call may have run in the last attempt, which failed because of [detail]. */
    fun onFailure(detail: String) {
        mayHaveRun = true
        wasTurnedAway = false
        hasReachedTarget = true
        lastDetail = detail
    }

    /**
     * Records that the call did not run at the target with [targetId], because of [outcome]. Unless [isCounted], this is none of the
     * attempts that the route allows, as those bound the targets at which a call runs.
     */
    fun onNotRun(targetId: String, outcome: SendOutcome.NotRun, isCounted: Boolean) {
        if (!outcome.reason.isUnsent) hasReachedTarget = true
        if (!isCounted) uncountedIds += targetId
        wasTurnedAway = !isCounted
        // A connection that is refused costs neither side anything.
        if (outcome.reason == NotRunReason.REFUSED_CONNECTION) sendCount -= 1
        lastDetail = outcome.detail
    }

    /** Whether the route allows another attempt; [isResumable] if what the caller received can be continued. */
    fun mayRepeat(isResumable: Boolean): Boolean {
        val isRepeatable = !mayHaveRun || call.route.isRetryable
        val countedTargets = triedIds.size - uncountedIds.size
        return countedTargets < call.route.maxTargets && !isExhausted && isRepeatable && isResumable
    }

    /**
     * Takes another attempt from the retry budget if the route allows one. If no target has received anything of the call yet, the next
     * attempt is no retry.
     */
    fun tryRetry(isResumable: Boolean): Boolean {
        if (!mayRepeat(isResumable)) return false
        if (!hasReachedTarget) return true
        val isAllowed = budget.tryRetry()
        onRetryDecided(call, RetryDecision(sendCount + 1, isAllowed, budget.retriesLeft))
        return isAllowed
    }
}

/** Targets that one call is sent to at most, whether it runs there or not. */
private const val MAX_SENDS = 4

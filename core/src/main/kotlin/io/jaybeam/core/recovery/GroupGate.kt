/*
 * Decides whether the targets of a rank group take requests at all. They stand and fall together: once one has lost power, all others
 * turn requests away until the group has formed again.
 *
 * Load pattern: hundreds of callers in the seconds after a fall. Each request that is sent too early is turned away, spends the retry
 * budget that all instances share, and is lost if its caller does not come back. Requests therefore wait while the gate is closed, a few
 * are sent to find out when the group is back, and the others follow at the pace at which the group fills.
 */
package io.jaybeam.core.recovery

import io.jaybeam.core.admission.GateState
import io.jaybeam.core.admission.StartGate

/**
 * What a [GroupGate] is shared by and leads to.
 *
 * @property instanceCount instances that send requests to the group.
 * @property places requests that all targets of the group run concurrently.
 */
public data class GroupShare(
    val instanceCount: Int,
    val places: Int,
)

/**
 * A gate that closes when two targets have turned requests away with no answer in between, and opens with an answer. Until the first
 * answer, requests pass at the pace of an opening, as the targets may be those of before a fall.
 *
 * @param formMillis time in which the group forms after its last target is back; null if it is not known.
 * @param share returns the current share of the group, which bounds trials and the pace after an opening.
 */
public class GroupGate(
    private val formMillis: Long? = null,
    private val share: () -> GroupShare,
) : StartGate {
    private sealed class Phase {
        data object Open : Phase()

        /** Open, but passes are spaced until [untilMillis], or until the first answer if that is null. */
        data class Filling(
            val untilMillis: Long?,
            val nextPassMillis: Double,
        ) : Phase()

        data class Closed(
            val sinceMillis: Long,
            val nextTrialMillis: Long,
        ) : Phase()
    }

    private var phase: Phase = Phase.Filling(untilMillis = null, nextPassMillis = Double.NEGATIVE_INFINITY)
    private val turningAway = mutableSetOf<String>()
    private var lastAnswerMillis = Long.MIN_VALUE
    private var lastTurnedAwayMillis = Long.MIN_VALUE
    private var expectedClosedMillis = formMillis

    /** Requests that were let through while the gate was closed. */
    @get:Synchronized
    public var trialCount: Long = 0
        private set

    /** Whether requests are held back. */
    public val isClosed: Boolean
        @Synchronized get() = phase is Phase.Closed

    @Synchronized
    override fun state(nowMillis: Long): GateState {
        val closed = phase as? Phase.Closed ?: return GateState.Open
        val elapsedMillis = nowMillis - closed.sinceMillis
        return GateState.Closed(expectedClosedMillis?.let { it - elapsedMillis }?.takeIf { it > 0 })
    }

    @Synchronized
    override fun tryPass(nowMillis: Long): Boolean =
        when (val current = phase) {
            is Phase.Open -> true
            is Phase.Filling -> tryFill(current, nowMillis)
            is Phase.Closed -> tryTrial(current, nowMillis)
        }

    /**
     * Records that the target with [targetId] turned a request away for another reason than being full; returns whether this closes the
     * gate.
     */
    @Synchronized
    public fun onTurnedAway(targetId: String, nowMillis: Long): Boolean {
        lastTurnedAwayMillis = nowMillis
        if (phase is Phase.Closed) return false
        turningAway += targetId
        if (turningAway.size < TARGETS_TO_CLOSE) return false
        close(nowMillis)
        return true
    }

    /**
     * Records that a target began or continued an answer; returns the time for which the gate was closed, in milliseconds, if this opens
     * it.
     */
    @Synchronized
    public fun onAnswer(nowMillis: Long): Long? {
        lastAnswerMillis = nowMillis
        turningAway.clear()
        val isFirst = phase is Phase.Filling && (phase as Phase.Filling).untilMillis == null
        if (isFirst) phase = Phase.Open
        return open(nowMillis)
    }

    /**
     * Records what the group's coordinator states: whether a group of the service was open [ageMillis] ago. A statement older than what
     * the targets themselves have shown since changes nothing. Returns whether the gate opens or closes with it.
     */
    @Synchronized
    public fun onGroupState(isOpen: Boolean, ageMillis: Long, nowMillis: Long): Boolean {
        val statedAtMillis = nowMillis - ageMillis
        val isClosed = phase is Phase.Closed
        return when {
            isOpen && isClosed && statedAtMillis > lastTurnedAwayMillis -> open(nowMillis) != null
            !isOpen && !isClosed && statedAtMillis > lastAnswerMillis -> true.also { close(nowMillis) }
            else -> false
        }
    }

    private fun close(nowMillis: Long) {
        turningAway.clear()
        phase = Phase.Closed(nowMillis, nowMillis + trialIntervalMillis())
    }

    private fun open(nowMillis: Long): Long? {
        val closed = phase as? Phase.Closed ?: return null
        val closedMillis = nowMillis - closed.sinceMillis
        // A gate that stayed closed for longer was not tried, as no request waited.
        if (closedMillis <=
            MAX_MEASURED_CLOSED_MILLIS
        ) {
            expectedClosedMillis = expectedClosedMillis?.let { (it + closedMillis) / 2 } ?: closedMillis
        }
        phase = Phase.Filling(nowMillis + FILL_MILLIS, nowMillis.toDouble())
        return closedMillis
    }

    private fun tryFill(filling: Phase.Filling, nowMillis: Long): Boolean {
        if (filling.untilMillis != null && nowMillis >= filling.untilMillis) {
            phase = Phase.Open
            return true
        }
        if (nowMillis < filling.nextPassMillis) return false
        // Waiting requests look at an interval, in which several passes may have come due.
        val dueMillis = maxOf(filling.nextPassMillis, (nowMillis - MAX_UNUSED_MILLIS).toDouble())
        val minIntervalMillis = if (filling.untilMillis == null) UNPROVEN_INTERVAL_MILLIS else 0.0
        phase = filling.copy(nextPassMillis = dueMillis + maxOf(passIntervalMillis(), minIntervalMillis))
        return true
    }

    private fun passIntervalMillis(): Double {
        val passes = share().let { it.places / maxOf(it.instanceCount, 1) }
        return FILL_MILLIS.toDouble() / maxOf(passes, MIN_PASSES_WHILE_FILLING)
    }

    private fun tryTrial(closed: Phase.Closed, nowMillis: Long): Boolean {
        if (nowMillis < closed.nextTrialMillis) return false
        phase = closed.copy(nextTrialMillis = nowMillis + trialIntervalMillis())
        trialCount += 1
        return true
    }

    private fun trialIntervalMillis(): Long =
        (share().instanceCount * TRIAL_INTERVAL_MILLIS).coerceIn(MIN_TRIAL_INTERVAL_MILLIS, MAX_TRIAL_INTERVAL_MILLIS)

    private companion object {
        const val TARGETS_TO_CLOSE = 2

        /** Time between the trials of all instances together. */
        const val TRIAL_INTERVAL_MILLIS = 50L
        const val MIN_TRIAL_INTERVAL_MILLIS = 100L

        // A caller that waits for its first event leaves after two seconds, so an opening has to be noticed well before.
        const val MAX_TRIAL_INTERVAL_MILLIS = 1_000L

        // Time in which the places of a group are filled after an opening, several passes of a full group.
        const val FILL_MILLIS = 500L
        const val MIN_PASSES_WHILE_FILLING = 5
        const val MAX_UNUSED_MILLIS = 25L

        const val MAX_MEASURED_CLOSED_MILLIS = 5_000L

        // Before the first answer: a request that is turned away needs a retry, and an instance that has just started has few.
        const val UNPROVEN_INTERVAL_MILLIS = 25.0
    }
}

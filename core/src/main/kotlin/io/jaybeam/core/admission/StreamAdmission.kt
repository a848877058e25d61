/*
 * Decides how many streams may run at a rank group. Each running stream lengthens the group's forward passes, and a pass that is
 * longer than callers accept makes all running streams late at once. A new stream therefore waits while passes are long, which
 * happens when the demand for experts shifts faster than the expert map follows, and under a load above the group's capacity.
 * Which of the waiting streams starts first is decided by [WaitingRoom], and how long one may wait by [isHopeless].
 */
package io.jaybeam.core.admission

import io.jaybeam.core.fleet.EngineModel

// Passes take 15% longer while weights are copied, and as much again while new prompts are read.
private const val TARGET_PASS_SHARE_OF_GAP = 0.75

// If passes take more than this share of the accepted gap, prompts are sent one after the other.
private const val PROMPT_SPACING_SHARE_OF_GAP = 0.6

// One new prompt per pass for this many running streams, as each prompt lengthens the pass that reads it.
private const val STREAMS_PER_NEW_PROMPT = 12

// Load of the most loaded rank divided by the mean, with a map that does not reflect the demand.
private const val WORST_RANK_SKEW = 3.2

// An instance may always have this many streams while the pass duration is unknown.
private const val MIN_INITIAL_STREAMS = 3

// The rest of the current pass, the one that reads the prompt and the one that writes the first event.
private const val PASSES_TO_FIRST_EVENT = 3

/**
 * Streams of one instance at one service or group.
 *
 * @property started streams that were sent to a target and have not ended.
 * @property running started streams that have had an event.
 * @property passMillis duration of recent passes; null if unknown.
 * @property sinceLastStartMillis time since the last stream was sent to a target.
 * @property tightestGapMillis shortest accepted gap of the started streams; null if none is started.
 * @property unreadMillis time that the prompts of streams without an event take to read.
 */
public data class StreamLoad(
    val started: Int,
    val running: Int,
    val passMillis: Long?,
    val sinceLastStartMillis: Long,
    val tightestGapMillis: Long? = null,
    val unreadMillis: Double = 0.0,
)

/**
 * Admits streams whose events may be [maxGapMillis] apart to a group of [rankCount] targets that [engine] describes and that
 * [instanceCount] instances share. Immutable.
 */
public class StreamAdmission(
    private val engine: EngineModel,
    private val maxGapMillis: Long,
    private val rankCount: Int,
    private val instanceCount: Int,
) {
    private val basePassMillis = engine.stepMillis * engine.stepsPerPass
    private val passesPerStream = maxOf(engine.meanAnswerTokens.toDouble() / engine.stepsPerPass, 1.0)

    // Streams that one instance may start while the pass duration is unknown, for example after a restart of all instances with
    // many callers waiting.
    private val initialStreamLimit = maxOf((rankCount * streamsPerRank() / maxOf(instanceCount, 1)).toInt(), MIN_INITIAL_STREAMS)

    // Streams that one instance may have at most, as targets run no more.
    private val places = rankCount.toDouble() * engine.batchSlots / maxOf(instanceCount, 1)

    private fun streamsPerRank(): Double {
        val millisPerStream = engine.stepsPerPass * engine.stepMillisPerRequest * engine.expertShare * WORST_RANK_SKEW
        return if (millisPerStream > 0) (maxGapMillis - basePassMillis) / millisPerStream else engine.batchSlots.toDouble()
    }

    /** Whether another stream may start now. */
    public fun canStart(load: StreamLoad): Boolean {
        val passMillis = load.passMillis ?: return load.started < initialStreamLimit
        return load.started < streamLimit(load, passMillis) && load.sinceLastStartMillis >= startSpacingMillis(load, passMillis)
    }

    /**
     * Returns when streams are expected to start: some at once while the group is not full, the others as those that run end. A group that
     * is filling has few streams, whose ends say nothing of when others may start.
     */
    public fun forecast(load: StreamLoad): StartForecast {
        // A longer pass than callers accept does not last: nothing starts meanwhile, or the group has stalled.
        val usualPassMillis = load.passMillis?.let { minOf(it, gapMillis(load)) }
        val firstEventMillis = (usualPassMillis ?: basePassMillis.toLong()) * PASSES_TO_FIRST_EVENT + unreadMillisPerRank(load)
        if (usualPassMillis == null || load.started == 0) return StartForecast(0, null, firstEventMillis)
        val intervalMillis = passesPerStream * usualPassMillis / load.started
        val limit = streamLimit(load, usualPassMillis)
        val delayMillis = maxOf((load.started - limit) * intervalMillis, 0.0).toLong()
        val freeStarts = maxOf(minOf(limit, places) - load.started, 0.0).toInt()
        return StartForecast(delayMillis, intervalMillis, firstEventMillis, freeStarts, startSpacingMillis(load, usualPassMillis))
    }

    /** The shortest gap that a caller of the streams that would run together accepts. */
    private fun gapMillis(load: StreamLoad) = minOf(maxGapMillis, load.tightestGapMillis ?: maxGapMillis)

    /** Assumes that other instances have sent as many prompts and that the ranks read them in parallel. */
    private fun unreadMillisPerRank(load: StreamLoad) = (load.unreadMillis * instanceCount / maxOf(rankCount, 1)).toLong()

    /** Returns how many streams this instance may have so that passes reach their target duration if all others do the same. */
    private fun streamLimit(load: StreamLoad, passMillis: Long): Double {
        val millisPerStream = (passMillis - basePassMillis) / maxOf(load.running, 1)
        if (millisPerStream <= 0.0) return Double.MAX_VALUE
        val limit = (gapMillis(load) * TARGET_PASS_SHARE_OF_GAP - basePassMillis) / millisPerStream
        // With few streams of its own, an instance cannot tell from short passes how many more the group takes.
        return if (arePassesShort(load, passMillis)) maxOf(limit, initialStreamLimit.toDouble()) else limit
    }

    private fun arePassesShort(load: StreamLoad, passMillis: Long) = passMillis < gapMillis(load) * PROMPT_SPACING_SHARE_OF_GAP

    private fun startSpacingMillis(load: StreamLoad, passMillis: Long): Long {
        if (arePassesShort(load, passMillis)) return 0
        return passMillis * STREAMS_PER_NEW_PROMPT / maxOf(load.running, STREAMS_PER_NEW_PROMPT)
    }
}

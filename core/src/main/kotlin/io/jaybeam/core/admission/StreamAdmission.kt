/*
 * Decides when a new stream may start at a rank group. Each running stream lengthens the group's forward passes, and a pass
 * that is longer than callers accept makes all running streams late at once. A new stream therefore waits while passes are
 * long, which happens when the demand for experts shifts faster than the expert map follows, and is refused if the expected
 * wait is too long.
 *
 * This handles a load that is sustainable on average but not in the second after a shift of demand, and a load above the
 * group's capacity.
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

// With fewer running streams, the pass duration depends more on other instances' streams than on this one's.
private const val MIN_RUNNING_STREAMS = 3

/**
 * Longest wait of a stream, in milliseconds. Callers abandon a stream that has no event for 2 s, and the first event arrives
 * within about 400 ms after the stream has started at a target.
 */
public const val MAX_STREAM_WAIT_MILLIS: Long = 1_200L

/** Decision on a stream that requests to start. */
public sealed class StreamDecision {
    /** The stream may be sent to a target now. */
    public data object Start : StreamDecision()

    /** The stream waits in the stream queue. */
    public data object Wait : StreamDecision()

    /** The stream would wait too long; capacity is expected in [retryAfterMillis]. */
    public data class Refuse(
        val retryAfterMillis: Long,
    ) : StreamDecision()
}

/**
 * Streams of one instance at one service.
 *
 * @property started streams that were sent to a target and have not ended.
 * @property running started streams that have had an event.
 * @property queued streams that wait ahead of the one to decide on.
 * @property passMillis duration of recent passes; null if unknown.
 * @property sinceLastStartMillis time since the last stream was sent to a target.
 */
public data class StreamLoad(
    val started: Int,
    val running: Int,
    val queued: Int,
    val passMillis: Long?,
    val sinceLastStartMillis: Long,
)

/**
 * Admits streams whose events may be [maxGapMillis] apart to a group of [rankCount] targets that [engine] describes and that
 * [instanceCount] instances share. Immutable.
 */
public class StreamAdmission(
    private val engine: EngineModel,
    private val maxGapMillis: Long,
    rankCount: Int,
    instanceCount: Int,
) {
    private val basePassMillis = engine.stepMillis * engine.stepsPerPass
    private val passesPerStream = maxOf(engine.meanAnswerTokens.toDouble() / engine.stepsPerPass, 1.0)

    // Streams that one instance may start while the pass duration is unknown, for example after a restart of all instances with
    // many callers waiting.
    private val initialStreamLimit = maxOf((rankCount * streamsPerRank() / maxOf(instanceCount, 1)).toInt(), MIN_RUNNING_STREAMS)

    private fun streamsPerRank(): Double {
        val millisPerStream = engine.stepsPerPass * engine.stepMillisPerRequest * engine.expertShare * WORST_RANK_SKEW
        return if (millisPerStream > 0) (maxGapMillis - basePassMillis) / millisPerStream else engine.batchSlots.toDouble()
    }

    /** Decides on a stream that arrives. */
    public fun onArrival(load: StreamLoad): StreamDecision {
        if (load.queued == 0 && canStart(load)) return StreamDecision.Start
        val waitMillis = expectedWaitMillis(load)
        return if (waitMillis > MAX_STREAM_WAIT_MILLIS) StreamDecision.Refuse(waitMillis) else StreamDecision.Wait
    }

    /** Whether the stream at the head of the queue may start. */
    public fun canStart(load: StreamLoad): Boolean {
        val passMillis = load.passMillis
        if (passMillis == null || load.running < MIN_RUNNING_STREAMS) return load.started < initialStreamLimit
        return load.started < streamLimit(load.running, passMillis) && load.sinceLastStartMillis >= startSpacingMillis(load, passMillis)
    }

    /** Returns how many streams this instance may have so that passes reach their target duration if all others do the same. */
    private fun streamLimit(running: Int, passMillis: Long): Double {
        val millisPerStream = (passMillis - basePassMillis) / running
        if (millisPerStream <= 0.0) return Double.MAX_VALUE
        return (maxGapMillis * TARGET_PASS_SHARE_OF_GAP - basePassMillis) / millisPerStream
    }

    private fun startSpacingMillis(load: StreamLoad, passMillis: Long): Long {
        if (passMillis < maxGapMillis * PROMPT_SPACING_SHARE_OF_GAP) return 0
        return passMillis * STREAMS_PER_NEW_PROMPT / maxOf(load.running, STREAMS_PER_NEW_PROMPT)
    }

    /** Assumes that queued streams start as fast as running ones end. */
    private fun expectedWaitMillis(load: StreamLoad): Long {
        val passMillis = load.passMillis ?: return 0
        if (load.running < MIN_RUNNING_STREAMS) return 0
        val streamMillis = passesPerStream * passMillis
        return ((load.queued + 1) * streamMillis / maxOf(load.running, 1)).toLong()
    }
}

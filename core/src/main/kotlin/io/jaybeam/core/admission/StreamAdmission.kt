/*
 * Decides when a new stream may go to a rank group. Every running stream makes the group's passes longer, and a pass that
 * is longer than callers accept makes all running streams late at once. So a new stream waits while the passes are long,
 * which happens when demand for experts moves faster than the expert map, and is refused if the wait would be too long.
 *
 * Answers a load that is bearable on the whole but not for the second after a shift, and a load above what the group can
 * serve.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.fleet.EngineModel

// Passes grow by 15% while weights are copied, and by as much again with the prompts that are being read.
private const val TARGET_SHARE_OF_GAP = 0.75

// Above this share of the accepted gap, prompts are handed over one after the other.
private const val PACED_SHARE_OF_GAP = 0.6

// One new prompt in each pass for so many running streams: each prompt lengthens the pass in which it is read.
private const val STREAMS_PER_NEW_PROMPT = 12

// Most loaded over mean rank of a map that knows nothing of the demand.
private const val WORST_SKEW = 3.2

// With fewer, the pace says more about other instances' streams than about this one's.
private const val MIN_STREAMS = 3

/**
 * Longest wait of a stream, in milliseconds. Callers give up a stream that has no event for two seconds, and the first
 * event comes within some 400 ms of the hand-over.
 */
public const val MAX_STREAM_WAIT_MILLIS: Long = 1_200L

/** What becomes of a stream that asks to begin. */
public sealed class StreamDecision {
    /** It may go to a target now. */
    public data object Begin : StreamDecision()

    /** It waits. */
    public data object Wait : StreamDecision()

    /** It would wait too long; there is room again in [retryAfterMillis]. */
    public data class Refuse(
        val retryAfterMillis: Long,
    ) : StreamDecision()
}

/**
 * Streams of one instance at one service.
 *
 * @property begun streams that were handed to a target and have not ended.
 * @property running those of them that have had an event.
 * @property waiting streams that wait before the one that asks.
 * @property passMillis length of the last passes; null where it is not known.
 * @property sinceBeginMillis time since the last stream was handed over.
 */
public data class StreamLoad(
    val begun: Int,
    val running: Int,
    val waiting: Int,
    val passMillis: Long?,
    val sinceBeginMillis: Long,
)

/**
 * Decides for streams whose events may be [maxGapMillis] apart, at [ranks] targets that [engine] describes and that
 * [instances] send to. Immutable.
 */
public class StreamAdmission(
    private val engine: EngineModel,
    private val maxGapMillis: Long,
    ranks: Int,
    instances: Int,
) {
    private val fixedMillis = engine.stepMillis * engine.stepsPerPass
    private val passesPerStream = maxOf(engine.usualAnswerTokens.toDouble() / engine.stepsPerPass, 1.0)

    // Streams that one instance begins before it knows the pace, as after a restart of all with many callers waiting.
    private val firstStreams = maxOf((ranks * streamsPerRank() / maxOf(instances, 1)).toInt(), MIN_STREAMS)

    private fun streamsPerRank(): Double {
        val millisPerStream = engine.stepsPerPass * engine.stepMillisPerRequest * engine.expertShare * WORST_SKEW
        return if (millisPerStream > 0) (maxGapMillis - fixedMillis) / millisPerStream else engine.batchSlots.toDouble()
    }

    /** Returns what becomes of a stream that arrives. */
    public fun onArrival(load: StreamLoad): StreamDecision {
        if (load.waiting == 0 && mayBegin(load)) return StreamDecision.Begin
        val waitMillis = expectedWaitMillis(load)
        return if (waitMillis > MAX_STREAM_WAIT_MILLIS) StreamDecision.Refuse(waitMillis) else StreamDecision.Wait
    }

    /** Whether the stream at the head of the queue may begin. */
    public fun mayBegin(load: StreamLoad): Boolean {
        val pass = load.passMillis
        if (pass == null || load.running < MIN_STREAMS) return load.begun < firstStreams
        return load.begun < streamsInPace(load.running, pass) && load.sinceBeginMillis >= spacingMillis(load, pass)
    }

    /** Returns how many streams this instance may have, so that passes reach their target length if all others do likewise. */
    private fun streamsInPace(running: Int, passMillis: Long): Double {
        val millisPerStream = (passMillis - fixedMillis) / running
        if (millisPerStream <= 0.0) return Double.MAX_VALUE
        return (maxGapMillis * TARGET_SHARE_OF_GAP - fixedMillis) / millisPerStream
    }

    private fun spacingMillis(load: StreamLoad, passMillis: Long): Long {
        if (passMillis < maxGapMillis * PACED_SHARE_OF_GAP) return 0
        return passMillis * STREAMS_PER_NEW_PROMPT / maxOf(load.running, STREAMS_PER_NEW_PROMPT)
    }

    /** Streams begin as fast as running ones end. */
    private fun expectedWaitMillis(load: StreamLoad): Long {
        val pass = load.passMillis ?: return 0
        if (load.running < MIN_STREAMS) return 0
        val streamMillis = passesPerStream * pass
        return ((load.waiting + 1) * streamMillis / maxOf(load.running, 1)).toLong()
    }
}

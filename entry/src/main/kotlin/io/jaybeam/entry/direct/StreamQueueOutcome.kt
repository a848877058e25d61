/*
 * What comes of a stream in the stream queue.
 */
package io.jaybeam.entry.direct

/** Outcome of waiting in the stream queue. */
internal sealed class StreamQueueOutcome {
    /** Time for which the stream waited. */
    abstract val waitedMillis: Long

    /**
     * The stream may be sent to a target.
     *
     * @property passMillis pass duration on which the decision was based; null if unknown.
     */
    data class Passed(
        override val waitedMillis: Long,
        val passMillis: Long?,
    ) : StreamQueueOutcome()

    /**
     * The stream was not sent.
     *
     * @property expectedWaitMillis time for which it would have waited yet.
     * @property retryAfterMillis time after which the caller may send the request again.
     * @property passMillis pass duration on which the decision was based; null if unknown.
     */
    data class Refused(
        val reason: HoldReason,
        override val waitedMillis: Long,
        val expectedWaitMillis: Long,
        val retryAfterMillis: Long,
        val passMillis: Long?,
    ) : StreamQueueOutcome()

    /** The targets of the stream's group take no requests, and those of another group do. */
    data class Moved(
        override val waitedMillis: Long,
    ) : StreamQueueOutcome()

    /** The caller closed its connection while the stream waited. */
    data class CallerGone(
        override val waitedMillis: Long,
    ) : StreamQueueOutcome()
}

/** Why a stream was refused by the stream queue. */
internal enum class HoldReason {
    /** Its first event is expected after its caller has given up. */
    TOO_LATE,

    /** The targets take no requests until then. */
    GATE_CLOSED,

    /** As many streams wait as the queue holds, and none of them is less urgent. */
    QUEUE_FULL,

    /** It gave its place in the full queue to a more urgent stream. */
    EVICTED,
}

/**
 * What the stream queue would decide on a stream that arrives now.
 *
 * @property waiting streams that wait.
 * @property started streams of this entry that were sent to a target and have not ended.
 * @property passMillis duration of recent passes; null if unknown.
 * @property mayStart whether it would start at once.
 * @property waitMillis time until it is expected to start.
 * @property firstEventMillis time from its start to its first event.
 * @property isRefused whether it is refused at once, as the queue is full or its caller is expected to give up before its first event.
 */
internal data class StreamPreview(
    val waiting: Int,
    val started: Int,
    val passMillis: Long?,
    val mayStart: Boolean,
    val waitMillis: Long,
    val firstEventMillis: Long,
    val isRefused: Boolean,
)

/*
 * A request that this side process has queued, runs or has run.
 */
package io.jaybeam.side

import io.jaybeam.wire.Frame

/** Processing stage of a request. */
internal enum class RequestStage {
    QUEUED,
    RUNNING,
    FINISHED,
}

/**
 * One request. Its mutable members, except volatile ones, are confined to the scheduler's worker thread.
 *
 * @property key id of the ticket, or of the request if it has no ticket.
 * @property requestIds ids under which entries have attached to the request.
 * @property detachedAtMillis time at which the link of the last relaying entry closed; null if an entry has attached since or no
 *   link has closed.
 */
internal class ServedRequest(
    val key: String,
    val execute: Frame.Execute,
    val arrivedAtMillis: Long,
) {
    val answer = AnswerBuffer(shouldRetain = execute.ticket != null)
    val requestIds = mutableSetOf<String>()
    var stage = RequestStage.QUEUED
    var finishedAtMillis = 0L
    var detachedAtMillis: Long? = null

    /** Incarnation of the target that runs the request. */
    @Volatile
    var targetIncarnation: String? = null

    @Volatile
    var call: TargetCall? = null
}

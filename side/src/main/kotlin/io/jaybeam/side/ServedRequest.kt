/*
 * A request that this process runs, queues or has run.
 */
package io.jaybeam.side

import io.jaybeam.wire.Frame

/** How far a request has come. */
internal enum class Stage {
    QUEUED,
    RUNNING,
    OVER,
}

/**
 * One request. Only the work thread touches its mutable members.
 *
 * @property key the ticket's id, or the request's where it has no ticket.
 */
internal class ServedRequest(
    val key: String,
    val execute: Frame.Execute,
    val arrivedAtMillis: Long,
) {
    val answer = AnswerBuffer(retain = execute.ticket != null)
    val requestIds = mutableSetOf<String>()
    var stage = Stage.QUEUED
    var overAtMillis = 0L
    var detachedAtMillis: Long? = null

    /** Life of the target that runs it. */
    @Volatile
    var targetIncarnation: String? = null

    @Volatile
    var call: TargetCall? = null
}

/*
 * The queues in which streams wait for their turn: one for each group, or one for a service that is served as a whole. What waits
 * and what was started is counted for peers.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.Urgency
import java.util.concurrent.ConcurrentHashMap

/** Lets streams of one entry wait. Thread-safe. */
internal class StreamTurns(
    private val groups: GroupSelector,
    private val ownWork: OwnWork,
) {
    private val queues = ConcurrentHashMap<String, StreamQueue>()

    /** Number of streams that wait in each queue, by urgency. */
    val waitingByUrgency: List<Map<Urgency, Int>> get() = queues.values.map { it.waitingByUrgency }

    /** Returns the queue of [group], or of all of [service] if it is null. */
    fun queueFor(service: String, group: String?): StreamQueue = queues.computeIfAbsent(queueKey(service, group)) { StreamQueue() }

    /** Returns what the queue of [group], or of all of [service] if it is null, would decide on the stream of [start] now. */
    fun preview(service: String, group: String?, start: StreamStart): StreamPreview =
        (queues[queueKey(service, group)] ?: StreamQueue()).preview(start)

    private fun queueKey(service: String, group: String?) = if (group == null) service else "$service/$group"

    /** Runs [block], which sends [call] to targets; the call counts as started meanwhile. */
    fun <T> whileStarted(call: DirectCall, block: () -> T): T {
        ownWork.onStarted(call.service, call.urgency)
        return try {
            block()
        } finally {
            ownWork.onEnded(call.service, call.urgency)
        }
    }

    /** Blocks in [queue] until [call], for which [group] was chosen, may start or is refused. */
    fun await(
        call: DirectCall,
        group: String?,
        queue: StreamQueue,
        start: StreamStart,
        isCallerGone: () -> Boolean,
    ): StreamQueueOutcome {
        var isWaiting = false
        try {
            // The queue asks for the caller of a stream only once that stream waits.
            val outcome =
                queue.awaitStart(start) {
                    if (!isWaiting) ownWork.onWaiting(call.service, call.urgency)
                    isWaiting = true
                    isCallerGone()
                }
            if (outcome !is StreamQueueOutcome.Passed && group != null) groups.onNotStarted(call.service, group)
            return outcome
        } finally {
            if (isWaiting) ownWork.onWaitEnded(call.service, call.urgency)
        }
    }
}

/*
 * Stores the requests of this side process: active ones, and finished ones with a ticket whose answers are retained for
 * resends.
 */
package io.jaybeam.side

import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

private const val UNDELIVERED_ANSWER_LIFETIME_MILLIS = 5_000L
private const val DETACHED_REQUEST_TIMEOUT_MILLIS = 5_000L

/**
 * Stores requests by key. Not thread-safe: it is confined to the scheduler's worker thread.
 *
 * @property maxRetainedBytes maximum size of the retained answers in bytes; beyond it, the oldest are discarded.
 */
internal class RequestStore(
    private val maxRetainedBytes: Long,
) {
    private val byKey = HashMap<String, ServedRequest>()
    private val byRequestId = HashMap<String, ServedRequest>()
    private val active = LinkedHashSet<ServedRequest>()
    private val retained = LinkedHashSet<ServedRequest>()
    private var retainedBytes = 0L

    /** Number of stored requests. */
    val size: Int get() = byKey.size

    /** Whether no request is queued or running, and no answer awaits delivery. */
    val isIdle: Boolean get() = active.isEmpty()

    /** Requests sent to the target and not finished. */
    val running: List<ServedRequest> get() = active.filter { it.stage == RequestStage.RUNNING }

    operator fun contains(key: String): Boolean = key in byKey

    fun findByRequestId(requestId: String): ServedRequest? = byRequestId[requestId]

    fun findByKey(key: String): ServedRequest? = byKey[key]

    fun add(request: ServedRequest) {
        byKey[request.key] = request
        active += request
    }

    /** Sends the answer to [execute] on [link], or reports its loss if the request is not stored. */
    fun attach(link: Link, execute: Frame.Execute, key: String) {
        val request = byKey[key]
        if (request == null) {
            link.send(Frame.Broken(execute.requestId, execute.attemptId, "the request has run and its answer is no longer held"))
            return
        }
        byRequestId[execute.requestId] = request
        request.requestIds += execute.requestId
        request.detachedAtMillis = null
        active += request
        request.answer.subscribe(link, execute.requestId, execute.attemptId, execute.fromChunk)
    }

    /** Stops sending answers on [link]. */
    fun detach(link: Link, nowMillis: Long) {
        active.forEach { request ->
            request.answer.unsubscribe(link)
            if (!request.answer.hasSubscribers) request.detachedAtMillis = request.detachedAtMillis ?: nowMillis
        }
    }

    fun remove(request: ServedRequest) {
        byKey.remove(request.key)
        request.requestIds.forEach(byRequestId::remove)
        active -= request
        if (retained.remove(request)) retainedBytes -= request.answer.heldBytes
    }

    /**
     * Deactivates finished requests, discards the oldest answers beyond the size limit, and returns abandoned requests.
     *
     * A request without a ticket is abandoned if no entry has relayed its answer for some time and it is not finished.
     */
    fun expire(nowMillis: Long): List<ServedRequest> {
        active.filter { it.isDone(nowMillis) }.forEach(::deactivate)
        discardOldestAnswers()
        return active.filter { it.isAbandoned(nowMillis) }
    }

    private fun ServedRequest.isDone(nowMillis: Long) =
        stage == RequestStage.FINISHED && (answer.isDelivered || nowMillis - finishedAtMillis > UNDELIVERED_ANSWER_LIFETIME_MILLIS)

    private fun ServedRequest.isAbandoned(nowMillis: Long): Boolean {
        val sinceMillis = detachedAtMillis ?: return false
        return execute.ticket == null && stage != RequestStage.FINISHED && nowMillis - sinceMillis > DETACHED_REQUEST_TIMEOUT_MILLIS
    }

    private fun deactivate(request: ServedRequest) {
        active -= request
        if (request.execute.ticket == null) return remove(request)
        if (retained.add(request)) retainedBytes += request.answer.heldBytes
    }

    private fun discardOldestAnswers() {
        val oldestFirst = retained.iterator()
        while (retainedBytes > maxRetainedBytes && oldestFirst.hasNext()) {
            val request = oldestFirst.next()
            if (request in active) continue
            retainedBytes -= request.answer.heldBytes
            request.answer.discardBody()
            oldestFirst.remove()
        }
    }
}

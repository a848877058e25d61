/*
 * The requests that this process holds: those under way, and the answers to tickets kept for resends.
 */
package io.jaybeam.side

import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

private const val KEEP_ANSWER_MILLIS = 5_000L
private const val DETACHED_MILLIS = 5_000L

/**
 * Holds requests by key. Not thread-safe: the work thread owns it.
 *
 * @property maxRetainedBytes bytes of answers to tickets kept for resends; the oldest go first.
 */
internal class RequestStore(
    private val maxRetainedBytes: Long,
) {
    private val byKey = HashMap<String, ServedRequest>()
    private val byRequestId = HashMap<String, ServedRequest>()
    private val live = LinkedHashSet<ServedRequest>()
    private val retired = LinkedHashSet<ServedRequest>()
    private var retainedBytes = 0L

    /** Number of requests held. */
    val size: Int get() = byKey.size

    /** Whether no request is under way or partly delivered. */
    val isIdle: Boolean get() = live.isEmpty()

    /** Requests handed to the target and not finished. */
    val running: List<ServedRequest> get() = live.filter { it.stage == Stage.RUNNING }

    operator fun contains(key: String): Boolean = key in byKey

    fun findByRequestId(requestId: String): ServedRequest? = byRequestId[requestId]

    fun findByKey(key: String): ServedRequest? = byKey[key]

    fun add(request: ServedRequest) {
        byKey[request.key] = request
        live += request
    }

    /** Relays the answer to [execute] on [link], if it is held. */
    fun attach(link: Link, execute: Frame.Execute, key: String) {
        val request = byKey[key]
        if (request == null) {
            link.send(Frame.Broken(execute.requestId, execute.attemptId, "the request ran and its answer is no longer held"))
            return
        }
        byRequestId[execute.requestId] = request
        request.requestIds += execute.requestId
        request.detachedAtMillis = null
        live += request
        request.answer.subscribe(link, execute.requestId, execute.attemptId, execute.fromChunk)
    }

    /** Stops relaying on [link]. */
    fun detach(link: Link, nowMillis: Long) {
        live.forEach { request ->
            request.answer.unsubscribe(link)
            if (!request.answer.hasSubscribers) request.detachedAtMillis = request.detachedAtMillis ?: nowMillis
        }
    }

    fun forget(request: ServedRequest) {
        byKey.remove(request.key)
        request.requestIds.forEach(byRequestId::remove)
        live -= request
        if (retired.remove(request)) retainedBytes -= request.answer.heldBytes
    }

    /** Moves delivered requests out of the way and returns the idempotent ones that nobody has asked after for long. */
    fun expire(nowMillis: Long): List<ServedRequest> {
        live.filter { it.isDone(nowMillis) }.forEach(::retire)
        discardOldAnswers()
        return live.filter { it.isAbandoned(nowMillis) }
    }

    private fun ServedRequest.isDone(nowMillis: Long) =
        stage == Stage.OVER && (answer.delivered || nowMillis - overAtMillis > KEEP_ANSWER_MILLIS)

    private fun ServedRequest.isAbandoned(nowMillis: Long): Boolean {
        val detachedAt = detachedAtMillis ?: return false
        return execute.ticket == null && stage != Stage.OVER && nowMillis - detachedAt > DETACHED_MILLIS
    }

    private fun retire(request: ServedRequest) {
        live -= request
        if (request.execute.ticket == null) return forget(request)
        if (retired.add(request)) retainedBytes += request.answer.heldBytes
    }

    private fun discardOldAnswers() {
        val oldest = retired.iterator()
        while (retainedBytes > maxRetainedBytes && oldest.hasNext()) {
            val request = oldest.next()
            if (request in live) continue
            retainedBytes -= request.answer.heldBytes
            request.answer.discardBody()
            oldest.remove()
        }
    }
}

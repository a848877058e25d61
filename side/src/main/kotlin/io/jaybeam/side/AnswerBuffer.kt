/*
 * Buffers the answer of the target to one request and sends it to the entries that relay it to callers. A chunk is held
 * until every relaying entry has acknowledged it. The complete answer to a request with a ticket is held for resends, up to
 * a size limit.
 */
package io.jaybeam.side

import io.jaybeam.core.ticket.RefusalReason
import io.jaybeam.wire.Frame
import io.jaybeam.wire.HeaderField
import io.jaybeam.wire.Link
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** State of an answer. */
internal sealed class AnswerState {
    /** The target may send more. */
    data object Open : AnswerState()

    /** The answer is complete and has [chunkCount] chunks. */
    data class Complete(
        val chunkCount: Int,
    ) : AnswerState()

    /** The rest of the answer was lost. */
    data class Broken(
        val detail: String,
    ) : AnswerState()
}

private const val MAX_UNACKED_CHUNKS = 32
private const val MAX_UNACKED_BYTES = 131_072
private const val MAX_RETAINED_BYTES = 1_048_576
private const val FULL_CHECK_INTERVAL_MILLIS = 200L

/**
 * Buffers one answer. Thread-safe.
 *
 * @property shouldRetain whether to hold the complete answer for resends, up to 1 MiB.
 */
internal class AnswerBuffer(
    private val shouldRetain: Boolean,
) {
    private class Subscriber(
        val link: Link,
        val requestId: String,
        val attemptId: Long,
        var nextIndex: Int,
    ) {
        var ackedCount = nextIndex
        var isHeadSent = nextIndex > 0
        var isEndSent = false
    }

    private val lock = ReentrantLock()
    private val notFull = lock.newCondition()
    private val chunks = ArrayDeque<ByteArray>()
    private val subscribers = mutableListOf<Subscriber>()
    private var firstHeldIndex = 0
    private var chunkBytes = 0L
    private var isRetained = shouldRetain
    private var isFullyAcknowledged = false
    private var isBrokenSent = false
    private var status = 0
    private var headers = emptyList<HeaderField>()

    @Volatile
    var state: AnswerState = AnswerState.Open
        private set

    /** Size of the held chunks in bytes. */
    val heldBytes: Long get() = lock.withLock { chunkBytes }

    /** Whether any entry relays this answer. */
    val hasSubscribers: Boolean get() = lock.withLock { subscribers.isNotEmpty() }

    /**
     * Whether a complete answer was acknowledged by an entry and by all entries that still relay it, or the loss of a broken
     * answer was reported to an entry.
     *
     * An answer that ends while no entry relays it is not delivered, because its entry may attach again.
     */
    val isDelivered: Boolean
        get() =
            lock.withLock {
                when (state) {
                    is AnswerState.Open -> false
                    is AnswerState.Complete -> isFullyAcknowledged && subscribers.all { it.ackedCount >= appendedCount }
                    is AnswerState.Broken -> isBrokenSent
                }
            }

    private val appendedCount: Int get() = firstHeldIndex + chunks.size

    /** Sends the answer to [link], starting with chunk [fromChunk]. Replaces an earlier attempt of the same request. */
    fun subscribe(
        link: Link,
        requestId: String,
        attemptId: Long,
        fromChunk: Int,
    ) = lock.withLock {
        subscribers.removeIf { it.requestId == requestId }
        if (fromChunk < firstHeldIndex || fromChunk > appendedCount) {
            link.send(Frame.Broken(requestId, attemptId, "chunk $fromChunk is no longer held; the request has run"))
            return@withLock
        }
        subscribers += Subscriber(link, requestId, attemptId, fromChunk)
        sendPending()
    }

    /** Records that an entry has sent all chunks before index [chunkCount] to the caller. */
    fun acknowledge(requestId: String, attemptId: Long, chunkCount: Int) =
        lock.withLock {
            val subscriber = subscribers.firstOrNull { it.requestId == requestId && it.attemptId == attemptId } ?: return@withLock
            subscriber.ackedCount = maxOf(subscriber.ackedCount, minOf(chunkCount, subscriber.nextIndex))
            if (state is AnswerState.Complete && subscriber.isEndSent && chunkCount >= appendedCount) isFullyAcknowledged = true
            dropUnneededChunks()
            sendPending()
            notFull.signalAll()
        }

    /** Stops sending to attempt [attemptId] of [requestId]. */
    fun unsubscribe(requestId: String, attemptId: Long) =
        lock.withLock {
            subscribers.removeIf { it.requestId == requestId && it.attemptId == attemptId }
            notFull.signalAll()
        }

    /** Stops sending to [link]. */
    fun unsubscribe(link: Link) =
        lock.withLock {
            subscribers.removeIf { it.link === link }
            notFull.signalAll()
        }

    /** Sets the status and headers of the answer. */
    fun setHead(status: Int, headers: List<HeaderField>) =
        lock.withLock {
            this.status = status
            this.headers = headers
            sendPending()
        }

    /** Appends a chunk of the body. Blocks while too many bytes are unacknowledged. */
    fun append(bytes: ByteArray) =
        lock.withLock {
            chunks.addLast(bytes)
            chunkBytes += bytes.size
            dropUnneededChunks()
            sendPending()
            while (isFull()) notFull.await(FULL_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        }

    /**
     * Ends the answer with [endState]; does nothing if it has already ended.
     *
     * The chunk count of [AnswerState.Complete] is replaced by the number of appended chunks.
     */
    fun finish(endState: AnswerState) =
        lock.withLock {
            if (state !is AnswerState.Open) return@withLock
            state = if (endState is AnswerState.Complete) AnswerState.Complete(appendedCount) else endState
            sendPending()
        }

    /** Sends a refusal to every relaying entry: the target will not run the request. */
    fun refuse(reason: RefusalReason, retryAfterMillis: Long) =
        lock.withLock {
            subscribers.forEach { it.link.send(Frame.Refused(it.requestId, it.attemptId, reason, retryAfterMillis)) }
            subscribers.clear()
        }

    /** Discards the body of an answer that has ended, to free memory. */
    fun discardBody() =
        lock.withLock {
            firstHeldIndex = appendedCount
            chunks.clear()
            chunkBytes = 0
            isRetained = false
        }

    private fun isFull(): Boolean {
        if (isRetained && chunkBytes <= MAX_RETAINED_BYTES) return false
        return subscribers.isNotEmpty() && chunkBytes > MAX_UNACKED_BYTES
    }

    private fun dropUnneededChunks() {
        if (isRetained && chunkBytes > MAX_RETAINED_BYTES) isRetained = false
        if (isRetained) return
        val firstNeededIndex = subscribers.minOfOrNull { it.ackedCount } ?: if (shouldRetain) appendedCount else firstHeldIndex
        while (firstHeldIndex < firstNeededIndex && chunks.isNotEmpty()) {
            chunkBytes -= chunks.removeFirst().size
            firstHeldIndex += 1
        }
    }

    private fun sendPending() {
        subscribers.removeIf { !it.link.isOpen }
        subscribers.forEach(::sendPendingTo)
    }

    private fun sendPendingTo(subscriber: Subscriber) {
        if (!subscriber.isHeadSent && status != 0) {
            subscriber.isHeadSent = subscriber.link.send(Frame.Head(subscriber.requestId, subscriber.attemptId, status, headers))
        }
        while (subscriber.nextIndex < appendedCount && subscriber.nextIndex - subscriber.ackedCount < MAX_UNACKED_CHUNKS) {
            val chunk =
                Frame.Chunk(
                    subscriber.requestId,
                    subscriber.attemptId,
                    subscriber.nextIndex,
                    chunks[
                        subscriber.nextIndex -
                            firstHeldIndex,
                    ],
                )
            if (!subscriber.link.send(chunk)) return
            subscriber.nextIndex += 1
        }
        if (subscriber.isEndSent || subscriber.nextIndex < appendedCount) return
        subscriber.isEndSent =
            when (val endState = state) {
                is AnswerState.Open -> false
                is AnswerState.Complete -> subscriber.link.send(Frame.End(subscriber.requestId, subscriber.attemptId, endState.chunkCount))
                is AnswerState.Broken -> sendBroken(subscriber, endState)
            }
    }

    private fun sendBroken(subscriber: Subscriber, endState: AnswerState.Broken): Boolean {
        isBrokenSent = subscriber.link.send(Frame.Broken(subscriber.requestId, subscriber.attemptId, endState.detail)) || isBrokenSent
        return isBrokenSent
    }
}

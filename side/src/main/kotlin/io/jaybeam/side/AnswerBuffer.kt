/*
 * The answer of one request as it comes from the target, and the entries that relay it. Chunks are kept until
 * every relaying entry has passed them on; answers to tickets are kept whole for resends, within a bound.
 */
package io.jaybeam.side

import io.jaybeam.core.ticket.RefusalReason
import io.jaybeam.wire.Frame
import io.jaybeam.wire.HeaderField
import io.jaybeam.wire.Link
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** How an answer stands. */
internal sealed class AnswerState {
    /** More may come. */
    data object Open : AnswerState()

    /** Complete with [chunkCount] chunks. */
    data class Whole(
        val chunkCount: Int,
    ) : AnswerState()

    /** The rest will never come. */
    data class Broken(
        val detail: String,
    ) : AnswerState()
}

private const val WINDOW_CHUNKS = 32
private const val MAX_UNACKED_BYTES = 131_072
private const val MAX_RETAINED_BYTES = 1_048_576
private const val STALL_CHECK_MILLIS = 200L

/** Buffers one answer. Thread-safe. */
internal class AnswerBuffer(
    private val retain: Boolean,
) {
    private class Subscriber(
        val link: Link,
        val requestId: String,
        val attemptId: Long,
        var next: Int,
    ) {
        var acked = next
        var headSent = next > 0
        var endSent = false
    }

    private val lock = ReentrantLock()
    private val acknowledged = lock.newCondition()
    private val chunks = ArrayDeque<ByteArray>()
    private val subscribers = mutableListOf<Subscriber>()
    private var firstKept = 0
    private var keptBytes = 0L
    private var retained = retain
    private var acknowledgedWhole = false
    private var brokenTold = false
    private var status = 0
    private var headers = emptyList<HeaderField>()

    @Volatile
    var state: AnswerState = AnswerState.Open
        private set

    /** Bytes held in memory. */
    val heldBytes: Long get() = lock.withLock { keptBytes }

    /** Whether an entry relays this answer now. */
    val hasSubscribers: Boolean get() = lock.withLock { subscribers.isNotEmpty() }

    /**
     * Whether the answer is over, some entry has said that it has all of it, and none that relays it lacks any.
     *
     * An answer that ends while no entry relays it is not delivered: its entry may be about to attach again.
     */
    val delivered: Boolean
        get() =
            lock.withLock {
                when (state) {
                    is AnswerState.Open -> false
                    is AnswerState.Whole -> acknowledgedWhole && subscribers.all { it.acked >= count }
                    is AnswerState.Broken -> brokenTold
                }
            }

    private val count: Int get() = firstKept + chunks.size

    /** Relays to [link] from chunk [fromChunk] on; replaces an earlier attempt of the same request there. */
    fun subscribe(
        link: Link,
        requestId: String,
        attemptId: Long,
        fromChunk: Int,
    ) = lock.withLock {
        subscribers.removeIf { it.requestId == requestId }
        if (fromChunk < firstKept || fromChunk > count) {
            link.send(Frame.Broken(requestId, attemptId, "chunk $fromChunk is no longer held; the request ran"))
            return@withLock
        }
        subscribers += Subscriber(link, requestId, attemptId, fromChunk)
        pump()
    }

    /** Notes that an entry has passed on all chunks before [chunkCount]. */
    fun acknowledge(requestId: String, attemptId: Long, chunkCount: Int) =
        lock.withLock {
            val subscriber = subscribers.firstOrNull { it.requestId == requestId && it.attemptId == attemptId } ?: return@withLock
            subscriber.acked = maxOf(subscriber.acked, minOf(chunkCount, subscriber.next))
            if (state is AnswerState.Whole && subscriber.endSent && chunkCount >= count) acknowledgedWhole = true
            trim()
            pump()
            acknowledged.signalAll()
        }

    /** Stops relaying [requestId]. */
    fun unsubscribe(requestId: String, attemptId: Long) =
        lock.withLock {
            subscribers.removeIf { it.requestId == requestId && it.attemptId == attemptId }
            acknowledged.signalAll()
        }

    /** Stops relaying to [link]. */
    fun unsubscribe(link: Link) =
        lock.withLock {
            subscribers.removeIf { it.link === link }
            acknowledged.signalAll()
        }

    /** Takes the status line and headers. */
    fun head(status: Int, headers: List<HeaderField>) =
        lock.withLock {
            this.status = status
            this.headers = headers
            pump()
        }

    /** Takes the next part of the body; waits while too much is unacknowledged. */
    fun append(bytes: ByteArray) =
        lock.withLock {
            chunks.addLast(bytes)
            keptBytes += bytes.size
            trim()
            pump()
            while (mustWait()) acknowledged.await(STALL_CHECK_MILLIS, TimeUnit.MILLISECONDS)
        }

    /** Ends the answer. */
    fun finish(end: AnswerState) =
        lock.withLock {
            if (state !is AnswerState.Open) return@withLock
            state = if (end is AnswerState.Whole) AnswerState.Whole(count) else end
            pump()
        }

    /** Tells every relaying entry that the target will not run the request. */
    fun refuse(reason: RefusalReason, retryAfterMillis: Long) =
        lock.withLock {
            subscribers.forEach { it.link.send(Frame.Refused(it.requestId, it.attemptId, reason, retryAfterMillis)) }
            subscribers.clear()
        }

    /** Forgets the body of an answer that is over, to free memory. */
    fun discardBody() =
        lock.withLock {
            firstKept = count
            chunks.clear()
            keptBytes = 0
            retained = false
        }

    private fun mustWait(): Boolean {
        if (retained && keptBytes <= MAX_RETAINED_BYTES) return false
        return subscribers.isNotEmpty() && keptBytes > MAX_UNACKED_BYTES
    }

    private fun trim() {
        if (retained && keptBytes > MAX_RETAINED_BYTES) retained = false
        if (retained) return
        val needed = subscribers.minOfOrNull { it.acked } ?: if (retain) count else firstKept
        while (firstKept < needed && chunks.isNotEmpty()) {
            keptBytes -= chunks.removeFirst().size
            firstKept += 1
        }
    }

    private fun pump() {
        subscribers.removeIf { !it.link.isOpen }
        subscribers.forEach(::pumpTo)
    }

    private fun pumpTo(subscriber: Subscriber) {
        if (!subscriber.headSent && status != 0) {
            subscriber.headSent = subscriber.link.send(Frame.Head(subscriber.requestId, subscriber.attemptId, status, headers))
        }
        while (subscriber.next < count && subscriber.next - subscriber.acked < WINDOW_CHUNKS) {
            val chunk = Frame.Chunk(subscriber.requestId, subscriber.attemptId, subscriber.next, chunks[subscriber.next - firstKept])
            if (!subscriber.link.send(chunk)) return
            subscriber.next += 1
        }
        if (subscriber.endSent || subscriber.next < count) return
        subscriber.endSent =
            when (val end = state) {
                is AnswerState.Open -> false
                is AnswerState.Whole -> subscriber.link.send(Frame.End(subscriber.requestId, subscriber.attemptId, end.chunkCount))
                is AnswerState.Broken -> tellBroken(subscriber, end)
            }
    }

    private fun tellBroken(subscriber: Subscriber, end: AnswerState.Broken): Boolean {
        brokenTold = subscriber.link.send(Frame.Broken(subscriber.requestId, subscriber.attemptId, end.detail)) || brokenTold
        return brokenTold
    }
}

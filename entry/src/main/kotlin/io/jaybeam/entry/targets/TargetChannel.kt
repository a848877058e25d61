/*
 * One target as an entry reaches it: the link to its side process, its latest load report and the attempts
 * under way on it.
 */
package io.jaybeam.entry.targets

import io.jaybeam.core.routing.TargetSnapshot
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.runtime.instances.ListedInstance
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** What an attempt hears. */
internal sealed class AttemptEvent {
    /** A frame of this attempt arrived. */
    data class Arrived(
        val frame: Frame,
    ) : AttemptEvent()

    /** The link closed. */
    data class LinkLost(
        val reason: String,
    ) : AttemptEvent()
}

private const val ATTEMPT_QUEUE = 512

/** One try of a request on one target. */
internal class Attempt(
    val requestId: String,
    val attemptId: Long,
    val fingerprint: String,
    private val link: Link,
) {
    private val events = ArrayBlockingQueue<AttemptEvent>(ATTEMPT_QUEUE)

    /** Waits up to [timeoutMillis] for the next event. */
    fun next(timeoutMillis: Long): AttemptEvent? = events.poll(timeoutMillis, TimeUnit.MILLISECONDS)

    fun offer(event: AttemptEvent) {
        events.offer(event)
    }

    fun isOn(link: Link) = this.link === link

    fun acknowledge(chunkCount: Int) {
        link.send(Frame.Ack(requestId, attemptId, chunkCount))
    }

    fun cancel() {
        link.send(Frame.Cancel(requestId, attemptId))
    }
}

/** Whether a given incarnation can be reached. */
internal enum class Reach {
    UP,

    /** The instance now runs another incarnation. */
    REPLACED,

    /** There is no link. */
    DOWN,
}

/** Receives what a channel learns beyond its attempts. */
internal interface ChannelListener {
    fun onControlFrame(link: Link, frame: Frame)

    /** The side at [identity] was replaced, and its target died, with these requests in flight. */
    fun onReplaced(identity: TargetIncarnation, fingerprints: List<String>)

    fun onLinkClosed(instance: String, reason: String)
}

/** The channel to the side process listed as [listed]. Thread-safe. */
internal class TargetChannel(
    @Volatile var listed: ListedInstance,
    private val listener: ChannelListener,
) : LinkHandler {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val attempts = ConcurrentHashMap<Long, Attempt>()
    private val sentSinceReport = AtomicInteger()

    private val blame = ReplacementBlame()

    @Volatile
    private var link: Link? = null

    /** The link on which the side has introduced itself; a frozen side accepts links and says nothing on them. */
    @Volatile
    private var introducedLink: Link? = null

    @Volatile
    private var identity: TargetIncarnation? = null

    @Volatile
    private var load = Frame.Load(0, 0, 1, 0.0, isDraining = true)

    @Volatile
    private var loadAtNanos = System.nanoTime()

    /** Whether a link is being opened or has not been introduced yet. */
    @Volatile
    var connecting = false

    /** Whether the side has reported its load or could not be reached, at least once. */
    @Volatile
    var wasTried = false
        private set

    /** Whether a link is open and its side has introduced itself. */
    val isUp: Boolean get() = introducedLinkOrNull() != null

    /** Attempts under way. */
    val attemptCount: Int get() = attempts.size

    /** Returns what routing knows of this target, or null while it cannot take work. */
    fun viewOrNull(): TargetSnapshot? {
        val now = identity ?: return null
        if (!isUp || load.isDraining) return null
        return TargetSnapshot(
            identity = now,
            service = listed.service.orEmpty(),
            dataCentre = listed.dataCentre,
            limit = load.limit,
            reportedInFlight = load.inFlight + load.queued,
            sentSinceReport = sentSinceReport.get(),
            reportAgeMillis = (System.nanoTime() - loadAtNanos) / 1_000_000,
            stepMillis = load.stepMillis,
        )
    }

    /** Sends [execute] to [expected]; returns null if that incarnation is not reached now. */
    fun open(expected: TargetIncarnation, execute: Frame.Execute): Attempt? {
        val current = introducedLinkOrNull()?.takeIf { identity == expected } ?: return null
        val attempt = Attempt(execute.requestId, execute.attemptId, execute.fingerprint, current)
        attempts[execute.attemptId] = attempt
        sentSinceReport.incrementAndGet()
        if (current.send(execute)) return attempt
        attempts.remove(execute.attemptId)
        return null
    }

    /** Forgets [attempt]; its late frames are dropped. */
    fun close(attempt: Attempt) {
        attempts.remove(attempt.attemptId)
    }

    /** Waits up to [timeoutMillis] until [expected] is reached or known to be replaced. */
    fun await(expected: TargetIncarnation, timeoutMillis: Long): Reach =
        lock.withLock {
            val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
            while (true) {
                val current = identity
                if (current != null && current != expected) return Reach.REPLACED
                if (isUp) return Reach.UP
                val leftNanos = deadlineNanos - System.nanoTime()
                if (leftNanos <= 0) return Reach.DOWN
                changed.awaitNanos(leftNanos)
            }
            @Suppress("UNREACHABLE_CODE")
            Reach.DOWN
        }

    /** Takes a new link; its side has not introduced itself yet. */
    fun connected(link: Link) {
        this.link = link
    }

    /** Notes that no link could be opened. */
    fun failedToConnect() {
        connecting = false
        wasTried = true
    }

    /** Sends [frame] if a link is open. */
    fun send(frame: Frame) {
        introducedLinkOrNull()?.send(frame)
    }

    /** Closes the link. */
    fun disconnect(reason: String) {
        link?.close(reason)
    }

    override fun onFrame(link: Link, frame: Frame) {
        when (frame) {
            is Frame.Hello -> introduced(link, frame)
            is Frame.Load -> loaded(frame)
            is Frame.TargetLife -> targetSeen(frame)
            is Frame.Head -> deliver(frame.attemptId, frame)
            is Frame.Chunk -> deliver(frame.attemptId, frame)
            is Frame.End -> deliver(frame.attemptId, frame)
            is Frame.Refused -> deliver(frame.attemptId, frame)
            is Frame.Undecided -> deliver(frame.attemptId, frame)
            is Frame.Broken -> deliver(frame.attemptId, frame)
            else -> listener.onControlFrame(link, frame)
        }
    }

    override fun onClosed(link: Link, reason: String) {
        if (this.link !== link) return
        this.link = null
        connecting = false
        wasTried = true
        attempts.values.filter { it.isOn(link) }.forEach {
            blame.onLost(it.fingerprint)
            it.offer(AttemptEvent.LinkLost(reason))
        }
        listener.onLinkClosed(listed.instance, reason)
    }

    private fun introducedLinkOrNull(): Link? = introducedLink?.takeIf { it === link && it.isOpen }

    private fun introduced(link: Link, hello: Frame.Hello) {
        val before = identity
        lock.withLock {
            identity = hello.identity
            introducedLink = link
            connecting = false
            changed.signalAll()
        }
        blame.onIntroduced(before, hello.identity)
        listener.onControlFrame(link, hello)
    }

    private fun loaded(report: Frame.Load) {
        load = report
        loadAtNanos = System.nanoTime()
        sentSinceReport.set(0)
        wasTried = true
    }

    private fun targetSeen(life: Frame.TargetLife) {
        blame.onTargetSeen(life.incarnation)?.let { listener.onReplaced(it.identity, it.fingerprints) }
    }

    private fun deliver(attemptId: Long, frame: Frame) {
        attempts[attemptId]?.offer(AttemptEvent.Arrived(frame))
    }
}

/*
 * Connection of an entry to one target: the link to its side process, its last load report and the attempts that are in
 * progress on it.
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

/** Event of an attempt. */
internal sealed class AttemptEvent {
    /** A frame of the attempt was received. */
    data class FrameReceived(
        val frame: Frame,
    ) : AttemptEvent()

    /** The link on which the request was sent has closed. */
    data class LinkLost(
        val reason: String,
    ) : AttemptEvent()
}

private const val MAX_QUEUED_EVENTS = 512

/** One attempt to run a request on a target over [link]. */
internal class Attempt(
    val requestId: String,
    val attemptId: Long,
    val fingerprint: String,
    private val link: Link,
) {
    private val events = ArrayBlockingQueue<AttemptEvent>(MAX_QUEUED_EVENTS)

    /** Waits up to [timeoutMillis] for the next event; returns null if there is none. */
    fun next(timeoutMillis: Long): AttemptEvent? = events.poll(timeoutMillis, TimeUnit.MILLISECONDS)

    fun offer(event: AttemptEvent) {
        events.offer(event)
    }

    fun usesLink(link: Link) = this.link === link

    fun acknowledge(chunkCount: Int) {
        link.send(Frame.Ack(requestId, attemptId, chunkCount))
    }

    fun cancel() {
        link.send(Frame.Cancel(requestId, attemptId))
    }
}

/** Whether a given incarnation of a target can be reached. */
internal enum class Reachability {
    /** A link to it is established. */
    UP,

    /** The instance runs another incarnation. */
    REPLACED,

    /** No link is established. */
    DOWN,
}

/** Receives the events of a channel that concern no single attempt. */
internal interface ChannelListener {
    /** Called for each received frame that belongs to no attempt and is not handled by the channel. */
    fun onControlFrame(link: Link, frame: Frame)

    /** Called if both the side [identity] and its target were replaced while requests with [fingerprints] were in flight. */
    fun onTargetCrashed(identity: TargetIncarnation, fingerprints: List<String>)

    /** Called if the link to [instance] has closed. */
    fun onLinkClosed(instance: String, reason: String)
}

/** The connection to the side process of the instance [listed]. Thread-safe. */
internal class TargetChannel(
    @Volatile var listed: ListedInstance,
    private val listener: ChannelListener,
) : LinkHandler {
    private val lock = ReentrantLock()
    private val identityChanged = lock.newCondition()
    private val attempts = ConcurrentHashMap<Long, Attempt>()
    private val sentSinceReport = AtomicInteger()

    private val crashDetector = CrashDetector()

    @Volatile
    private var link: Link? = null

    /** The link on which the side has sent its Hello frame; a frozen side accepts connections but sends nothing on them. */
    @Volatile
    private var establishedLink: Link? = null

    @Volatile
    private var identity: TargetIncarnation? = null

    @Volatile
    private var load = Frame.Load(0, 0, 1, 0.0, isDraining = true)

    @Volatile
    private var loadReceivedNanos = System.nanoTime()

    /** Whether a link is being opened, or is open but the side's Hello frame was not received yet. */
    @Volatile
    var isConnecting = false

    /** Whether the side has reported its load at least once, or a connection to it has failed or closed. */
    @Volatile
    var hasBeenTried = false
        private set

    /** Whether a link was lost, and since then neither has the side reported its load nor a connection to it failed. */
    @Volatile
    var isRestoring = false
        private set

    /** Whether a link is open and the side has sent its Hello frame on it. */
    val isUp: Boolean get() = establishedLinkOrNull() != null

    /** Number of attempts in progress. */
    val attemptCount: Int get() = attempts.size

    /** Returns the state of this target for routing, or null if the target accepts no new work. */
    fun snapshotOrNull(): TargetSnapshot? {
        val currentIdentity = identity ?: return null
        if (!isUp || load.isDraining) return null
        return TargetSnapshot(
            identity = currentIdentity,
            service = listed.service.orEmpty(),
            dataCentre = listed.dataCentre,
            limit = load.limit,
            reportedInFlight = load.inFlight + load.queued,
            sentSinceReport = sentSinceReport.get(),
            reportAgeMillis = (System.nanoTime() - loadReceivedNanos) / 1_000_000,
            stepMillis = load.stepMillis,
        )
    }

    /** Sends [execute] to the incarnation [expected]; returns null if that incarnation cannot be reached. */
    fun open(expected: TargetIncarnation, execute: Frame.Execute): Attempt? {
        val currentLink = establishedLinkOrNull()?.takeIf { identity == expected } ?: return null
        val attempt = Attempt(execute.requestId, execute.attemptId, execute.fingerprint, currentLink)
        attempts[execute.attemptId] = attempt
        sentSinceReport.incrementAndGet()
        if (currentLink.send(execute)) return attempt
        attempts.remove(execute.attemptId)
        return null
    }

    /** Removes [attempt]; frames of it that arrive later are dropped. */
    fun close(attempt: Attempt) {
        attempts.remove(attempt.attemptId)
    }

    /** Waits up to [timeoutMillis] until the incarnation [expected] can be reached or was replaced. */
    fun await(expected: TargetIncarnation, timeoutMillis: Long): Reachability =
        lock.withLock {
            val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
            while (true) {
                val currentIdentity = identity
                if (currentIdentity != null && currentIdentity != expected) return Reachability.REPLACED
                if (isUp) return Reachability.UP
                val remainingNanos = deadlineNanos - System.nanoTime()
                if (remainingNanos <= 0) return Reachability.DOWN
                identityChanged.awaitNanos(remainingNanos)
            }
            @Suppress("UNREACHABLE_CODE")
            Reachability.DOWN
        }

    /** Sets the new [link]. It is established only after the side's Hello frame was received on it. */
    fun onConnected(link: Link) {
        this.link = link
    }

    /** Records that no link could be opened. */
    fun onConnectFailed() {
        isConnecting = false
        hasBeenTried = true
        isRestoring = false
    }

    /** Sends [frame] if a link is established; drops it otherwise. */
    fun send(frame: Frame) {
        establishedLinkOrNull()?.send(frame)
    }

    /** Closes the link. */
    fun disconnect(reason: String) {
        link?.close(reason)
    }

    override fun onFrame(link: Link, frame: Frame) {
        when (frame) {
            is Frame.Hello -> onHello(link, frame)
            is Frame.Load -> onLoad(frame)
            is Frame.TargetLife -> onTargetLife(frame)
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
        isConnecting = false
        hasBeenTried = true
        isRestoring = true
        attempts.values.filter { it.usesLink(link) }.forEach {
            crashDetector.onLinkLost(it.fingerprint)
            it.offer(AttemptEvent.LinkLost(reason))
        }
        listener.onLinkClosed(listed.instance, reason)
    }

    private fun establishedLinkOrNull(): Link? = establishedLink?.takeIf { it === link && it.isOpen }

    private fun onHello(link: Link, hello: Frame.Hello) {
        val previous = identity
        lock.withLock {
            identity = hello.identity
            establishedLink = link
            isConnecting = false
            identityChanged.signalAll()
        }
        crashDetector.onHello(previous, hello.identity)
        listener.onControlFrame(link, hello)
    }

    private fun onLoad(report: Frame.Load) {
        load = report
        loadReceivedNanos = System.nanoTime()
        sentSinceReport.set(0)
        hasBeenTried = true
        isRestoring = false
    }

    private fun onTargetLife(targetLife: Frame.TargetLife) {
        crashDetector.onTargetIncarnation(targetLife.incarnation)?.let { listener.onTargetCrashed(it.identity, it.fingerprints) }
    }

    private fun deliver(attemptId: Long, frame: Frame) {
        attempts[attemptId]?.offer(AttemptEvent.FrameReceived(frame))
    }
}

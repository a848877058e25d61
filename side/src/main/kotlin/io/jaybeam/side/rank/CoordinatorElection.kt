/*
 * Keeps this process registered in the platform's store as a candidate for the group's coordinator, and keeps a link to
 * the process that is the coordinator.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.rankgroup.FenceRange
import io.jaybeam.core.rankgroup.Lease
import io.jaybeam.core.rankgroup.fenceRangeOrNull
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.repeatStep
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime
import kotlin.concurrent.thread
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

// A coordinator that stops joining is replaced after this time. It is the shortest that the platform accepts, because a
// frozen coordinator may leave the group with a held pass. A candidate joins three times within it.
private const val CANDIDACY_LIFETIME_MILLIS = 1_000L
private const val JOIN_INTERVAL_MILLIS = 300L
private const val RESIGNATION_MILLIS = 2 * CANDIDACY_LIFETIME_MILLIS

// The coordinator sends a frame at least every half second.
private const val COORDINATOR_SILENCE_TIMEOUT_MILLIS = 800L
private const val GROUP_POLL_INTERVAL_MILLIS = 100L

// A change of membership takes effect when all members have joined under the new generation.
private const val REJOIN_DELAY_MILLIS = 60L

// Without a coordinator the map of the group cannot change, so the interval between the first searches is shorter.
private const val FIRST_SEARCH_DELAY_MILLIS = 100L
private const val TOPIC_PREFIX = "expert-map-"

/** Returns the lease of the group's coordinator, within which the store names no other one. */
internal fun newCoordinatorLease(clock: Clock): Lease = Lease(CANDIDACY_LIFETIME_MILLIS.milliseconds, clock)

/** Takes part in the election of the coordinator, on its own thread. */
internal class CoordinatorElection(
    private val address: HostPort,
    private val store: FleetStore,
    private val links: LinkRuntime,
    private val rankAgent: RankAgent,
    private val coordinator: CoordinatorWorker,
    private val lease: Lease,
    private val events: EventLog,
) : AutoCloseable {
    private var generation = 0L
    private var isCoordinator = false
    private var fences: FenceRange? = null
    private var fencesGeneration = 0L
    private var isResigning = false
    private var isStoreUnreachable = false
    private var hasGenerationChanged = false
    private var searchDelayMillis = FIRST_SEARCH_DELAY_MILLIS

    @Volatile
    private var link: Link? = null

    @Volatile
    private var lastFrameAtNanos = 0L

    @Volatile
    private var isConnecting = false

    @Volatile
    private var isClosed = false

    fun start() {
        thread(name = "election", isDaemon = true) { runLoop() }
    }

    override fun close() {
        isClosed = true
    }

    private fun runLoop() {
        repeatStep("election", events, { !isClosed }) {
            val groupName = rankAgent.groupName
            if (groupName == null) {
                Thread.sleep(GROUP_POLL_INTERVAL_MILLIS)
            } else {
                joinAndConnect(TOPIC_PREFIX + groupName)
                Thread.sleep(nextDelayMillis())
            }
        }
    }

    private fun nextDelayMillis(): Long {
        if (isResigning) return RESIGNATION_MILLIS.also { isResigning = false }
        if (hasGenerationChanged) return REJOIN_DELAY_MILLIS
        val isLinked = link?.isOpen == true
        searchDelayMillis = if (isLinked) FIRST_SEARCH_DELAY_MILLIS else minOf(searchDelayMillis * 2, JOIN_INTERVAL_MILLIS)
        return if (isLinked) JOIN_INTERVAL_MILLIS else searchDelayMillis
    }

    private fun joinAndConnect(topic: String) {
        val leaseStart = lease.now()
        store.joinCandidates(topic, address, generation, CANDIDACY_LIFETIME_MILLIS).fold(
            ::onStoreFault,
            { term ->
                onStoreAnswer()
                if (term.isCoordinator != isCoordinator || term.generation != generation) {
                    events.write(
                        LogEvent.COORDINATOR_CHANGED,
                        LogField("isMine", "${term.isCoordinator}"),
                        LogField("generation", "${term.generation}"),
                    )
                }
                hasGenerationChanged = term.generation != generation
                if (hasGenerationChanged) closeLinkIfSilent()
                isCoordinator = term.isCoordinator
                generation = term.generation
                if (isCoordinator) lease.renew(leaseStart) else lease.end()
                if (isCoordinator) continueTerm(topic) else endTerm()
            },
        )
        if (link?.isOpen != true && !isConnecting) connect(topic)
    }

    /**
     * Lets this process coordinate, under new fencing tokens if it needs some.
     *
     * That is so when a rank has refused the last ones, when they are used up, and in a new generation, whose tokens are higher,
     * unless the last ones are in use.
     */
    private fun continueTerm(topic: String) {
        val current = fences
        val isUsable = current != null && current != coordinator.spentFences
        if (!isUsable || (fencesGeneration != generation && !coordinator.isCoordinating)) {
            // Tokens of a generation that has passed are not begun with. While members come or go, the next join brings another one.
            if (!coordinator.isCoordinating) coordinator.continueTerm(fences = null)
            if (hasGenerationChanged) return
            val number = store.nextTermNumber(topic, generation).fold({ return onStoreFault(it) }, { it })
            fences = fenceRangeOrNull(generation, number)
            fencesGeneration = generation
            // A new generation, which has tokens again, begins when this process's registration has expired.
            isResigning = fences == null
            events.write(
                LogEvent.COORDINATOR_TERM,
                LogField("generation", "$generation"),
                LogField("number", "$number"),
                LogField("firstFence", "${fences?.first}"),
            )
        }
        coordinator.continueTerm(fences)
    }

    private fun endTerm() {
        fences = null
        coordinator.endTerm()
    }

    /** Closes the link to a coordinator that sends nothing: a frozen coordinator keeps its links open. */
    private fun closeLinkIfSilent() {
        if (System.nanoTime() - lastFrameAtNanos < COORDINATOR_SILENCE_TIMEOUT_MILLIS * NANOS_PER_MILLI) return
        link?.close("silent, and the members of the group have changed")
    }

    private fun connect(topic: String) {
        val peerAddress = if (isCoordinator) address else store.coordinator(topic).fold({ onStoreFault(it).let { null } }, { it }) ?: return
        isConnecting = true
        links.connect(
            peerAddress.host,
            peerAddress.port,
            OrderHandler(),
            onConnected = { openedLink ->
                link = openedLink
                lastFrameAtNanos = System.nanoTime()
                isConnecting = false
                events.write(LogEvent.LINK_OPENED, LogField("peer", "$peerAddress"))
                rankAgent.offer(RankAgentMessage.CoordinatorLink(openedLink))
            },
            onFailed = { reason ->
                isConnecting = false
                events.write(LogEvent.LINK_CLOSED, LogField("peer", "$peerAddress"), LogField("reason", reason))
            },
        )
    }

    private fun onStoreFault(fault: StoreFault) {
        hasGenerationChanged = false
        if (!isStoreUnreachable) events.write(LogEvent.STORE_LOST, LogField("follower", "election"), LogField("detail", fault.detail))
        isStoreUnreachable = true
    }

    private fun onStoreAnswer() {
        if (isStoreUnreachable) events.write(LogEvent.STORE_REGAINED, LogField("follower", "election"))
        isStoreUnreachable = false
    }

    private inner class OrderHandler : LinkHandler {
        override fun onFrame(link: Link, frame: Frame) {
            lastFrameAtNanos = System.nanoTime()
            when (frame) {
                is Frame.RankOrder ->
                    if (!rankAgent.offer(
                            RankAgentMessage.Order(link, frame),
                        )
                    ) {
                        link.close("the queue of orders for the rank is full")
                    }
                is Frame.Heartbeat -> Unit
                else -> link.close("a side process does not accept frames of type ${frame::class.simpleName} from a coordinator")
            }
        }

        override fun onClosed(link: Link, reason: String) {
            events.write(LogEvent.LINK_CLOSED, LogField("peer", "coordinator"), LogField("reason", reason))
            rankAgent.offer(RankAgentMessage.CoordinatorLinkClosed(link))
        }
    }
}

/*
 * Keeps this process a candidate for the group's coordinator in the platform's store, and keeps a link to whichever
 * process is the coordinator.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime
import kotlin.concurrent.thread

// A coordinator that is gone is replaced after the lifetime, the shortest that the platform takes; a frozen one may have
// left the group with a pass on hold. Three joins fit into one lifetime.
private const val LIFETIME_MILLIS = 1_000L
private const val JOIN_MILLIS = 300L

// The coordinator says something at least each half second.
private const val SILENT_COORDINATOR_MILLIS = 800L
private const val GROUP_UNKNOWN_MILLIS = 100L

// A change of membership takes effect when all members have joined under the new generation.
private const val REJOIN_MILLIS = 60L

// Without a coordinator the group keeps its map, so it is looked for more often, at first.
private const val FIRST_SEARCH_MILLIS = 100L
private const val TOPIC_PREFIX = "expert-map-"

/** Runs the election on a thread of its own. */
internal class CoordinatorElection(
    private val address: HostPort,
    private val store: FleetStore,
    private val links: LinkRuntime,
    private val watch: RankWatch,
    private val coordinator: MapCoordinator,
    private val events: EventLog,
) : AutoCloseable {
    private var generation = 0L
    private var isMine = false
    private var isStoreLost = false
    private var hasGenerationChanged = false
    private var searchMillis = FIRST_SEARCH_MILLIS

    @Volatile
    private var link: Link? = null

    @Volatile
    private var heardAtNanos = 0L

    @Volatile
    private var isConnecting = false

    @Volatile
    private var isClosed = false

    fun start() {
        thread(name = "election", isDaemon = true) { run() }
    }

    override fun close() {
        isClosed = true
    }

    private fun run() {
        while (!isClosed) {
            val group = watch.group
            if (group == null) {
                Thread.sleep(GROUP_UNKNOWN_MILLIS)
            } else {
                round(TOPIC_PREFIX + group)
                Thread.sleep(pauseMillis())
            }
        }
    }

    private fun pauseMillis(): Long {
        if (hasGenerationChanged) return REJOIN_MILLIS
        val isLinked = link?.isOpen == true
        searchMillis = if (isLinked) FIRST_SEARCH_MILLIS else minOf(searchMillis * 2, JOIN_MILLIS)
        return if (isLinked) JOIN_MILLIS else searchMillis
    }

    private fun round(topic: String) {
        store.joinCandidates(topic, address, generation, LIFETIME_MILLIS).fold(
            ::storeLost,
            { term ->
                storeFound()
                if (term.isCoordinator != isMine || term.generation != generation) {
                    events.write(
                        LogEvent.COORDINATOR_CHANGED,
                        LogField("isMine", "${term.isCoordinator}"),
                        LogField("generation", "${term.generation}"),
                    )
                }
                hasGenerationChanged = term.generation != generation
                if (hasGenerationChanged) leaveSilentCoordinator()
                isMine = term.isCoordinator
                generation = term.generation
                coordinator.tellTerm(CoordinatorMessage.Term(term.generation.takeIf { term.isCoordinator }))
            },
        )
        if (link?.isOpen != true && !isConnecting) connect(topic)
    }

    /** A frozen coordinator keeps its links open. */
    private fun leaveSilentCoordinator() {
        if (System.nanoTime() - heardAtNanos < SILENT_COORDINATOR_MILLIS * NANOS_PER_MILLI) return
        link?.close("silent, and the members of the group have changed")
    }

    private fun connect(topic: String) {
        val peer = if (isMine) address else store.coordinator(topic).fold({ storeLost(it).let { null } }, { it }) ?: return
        isConnecting = true
        links.connect(
            peer.host,
            peer.port,
            OrdersHandler(),
            onConnected = { opened ->
                link = opened
                heardAtNanos = System.nanoTime()
                isConnecting = false
                events.write(LogEvent.LINK_OPENED, LogField("peer", "$peer"))
                watch.tell(WatchMessage.Coordinator(opened))
            },
            onFailed = { reason ->
                isConnecting = false
                events.write(LogEvent.LINK_CLOSED, LogField("peer", "$peer"), LogField("reason", reason))
            },
        )
    }

    private fun storeLost(fault: StoreFault) {
        hasGenerationChanged = false
        if (!isStoreLost) events.write(LogEvent.STORE_LOST, LogField("follower", "election"), LogField("detail", fault.detail))
        isStoreLost = true
    }

    private fun storeFound() {
        if (isStoreLost) events.write(LogEvent.STORE_REGAINED, LogField("follower", "election"))
        isStoreLost = false
    }

    private inner class OrdersHandler : LinkHandler {
        override fun onFrame(link: Link, frame: Frame) {
            heardAtNanos = System.nanoTime()
            when (frame) {
                is Frame.RankOrder ->
                    if (!watch.tell(
                            WatchMessage.Order(link, frame),
                        )
                    ) {
                        link.close("orders come faster than the rank takes them")
                    }
                is Frame.Heartbeat -> Unit
                else -> link.close("a side does not take frames of kind ${frame::class.simpleName} here")
            }
        }

        override fun onClosed(link: Link, reason: String) {
            events.write(LogEvent.LINK_CLOSED, LogField("peer", "coordinator"), LogField("reason", reason))
            watch.tell(WatchMessage.Coordinator(null))
        }
    }
}

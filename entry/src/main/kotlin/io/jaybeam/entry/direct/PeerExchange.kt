/*
 * Links between entries. Each entry tells its peers how far it knows the fleet, and asks those that are ahead for what it
 * lacks; so an entry that the store turns away stays up to date as long as it reaches one that is served.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.routing.subsetFor
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime
import io.jaybeam.wire.PROTOCOL_VERSION
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

// Peers hear at once of what was read; the rest is for links on which a frame was lost with its connection.
private const val NEWS_MILLIS = 500L
private const val CONNECT_EVERY_MILLIS = 1_000L

// Enough that news reach all of 700 entries in three hops, at a few bytes a second.
private const val MAX_CONNECTIONS = 10
private const val MAX_KNOWN = 64
private const val GROUP = "entries"
private const val MEMBER_MILLIS = 15_000L
private const val JOIN_EVERY_MILLIS = 5_000L

/** Exchanges knowledge with other entries. */
internal class PeerExchange(
    private val instance: String,
    private val address: HostPort,
    initialSeeds: List<HostPort>,
    private val store: FleetStore,
    private val knowledge: FleetKnowledge,
    private val events: EventLog,
) : AutoCloseable {
    private class Peer(
        val address: HostPort?,
    )

    private val runtime = LinkRuntime()
    private val peers = ConcurrentHashMap<Link, Peer>()
    private val known = ConcurrentHashMap.newKeySet<HostPort>()
    private val seeds = ConcurrentHashMap.newKeySet<HostPort>().also { it += initialSeeds - address }
    private val connecting = ConcurrentHashMap.newKeySet<HostPort>()

    /** Entries that a link is open to. */
    val peerCount: Int get() =
        peers.values
            .mapNotNull { it.address }
            .toSet()
            .size

    /** Entries that share a limit with this one, itself among them; those that cannot be reached count too. */
    val entryCount: Int get() = known.size + 1

    fun start() {
        known += seeds
        runtime.listen(address.host, address.port) { Handler(null) }
        knowledge.onRead { broadcast() }
        thread(name = "peers", isDaemon = true) { run() }
        thread(name = "membership", isDaemon = true) { keepMembership() }
    }

    /** Takes over the [next] seeds. */
    fun replaceSeeds(next: List<HostPort>) {
        val others = next.toSet() - address
        if (others == seeds.toSet()) return
        seeds.clear()
        seeds += others
        known += others
        events.write(LogEvent.SETTINGS_RELOADED, LogField("seeds", others.joinToString(",")))
    }

    override fun close() = runtime.close()

    private fun run() {
        var connectAtNanos = System.nanoTime()
        while (true) {
            broadcast()
            if (System.nanoTime() >= connectAtNanos) {
                connectAtNanos = System.nanoTime() + CONNECT_EVERY_MILLIS * NANOS_PER_MILLI
                connectToPeers()
            }
            Thread.sleep(NEWS_MILLIS)
        }
    }

    /** Keeps this entry findable through the store, and finds another there while there is no peer. */
    private fun keepMembership() {
        var generation = 0L
        while (true) {
            store.joinCandidates(GROUP, address, generation, MEMBER_MILLIS).onRight { generation = it.generation }
            if (peers.isEmpty()) store.coordinator(GROUP).onRight { found -> found?.takeIf { it != address }?.let { known += it } }
            Thread.sleep(JOIN_EVERY_MILLIS)
        }
    }

    private fun connectToPeers() {
        val linked = peers.values.mapNotNull { it.address }.toSet()
        val chosen = subsetFor(instance, known.map { "$it" }, MAX_CONNECTIONS).toSet()
        known.filter { "$it" in chosen && it !in linked && connecting.add(it) }.forEach(::connect)
    }

    private fun connect(peer: HostPort) {
        runtime.connect(
            peer.host,
            peer.port,
            Handler(peer),
            onConnected = { link ->
                peers[link] = Peer(peer)
                connecting -= peer
                link.send(hello())
            },
            onFailed = { connecting -= peer },
        )
    }

    private fun hello() = Frame.PeerHello(PROTOCOL_VERSION, instance, address, known.take(MAX_KNOWN))

    private fun broadcast() {
        val view = knowledge.view
        val ageMillis = (System.nanoTime() - view.targetsReadAtNanos) / NANOS_PER_MILLI
        val news = Frame.FleetNews(view.configVersion, view.operatorPosition, view.targetsPosition, ageMillis)
        peers.keys.forEach { it.send(news) }
    }

    private fun onHello(link: Link, hello: Frame.PeerHello, isAccepted: Boolean) {
        if (hello.protocolVersion != PROTOCOL_VERSION) {
            return link.close("protocol version ${hello.protocolVersion} is not $PROTOCOL_VERSION; run the same release on both ends")
        }
        peers[link] = Peer(hello.address)
        if (known.size < MAX_KNOWN) known += (hello.peerAddresses + hello.address) - address
        if (isAccepted) link.send(hello())
        events.write(LogEvent.LINK_OPENED, LogField("peer", hello.instance), LogField("known", "${known.size}"))
    }

    private inner class Handler(
        private val peer: HostPort?,
    ) : LinkHandler {
        override fun onFrame(link: Link, frame: Frame) {
            when (frame) {
                is Frame.PeerHello -> onHello(link, frame, isAccepted = peer == null)
                is Frame.FleetNews -> knowledge.requestFor(frame)?.let { link.send(it) }
                is Frame.FleetRequest -> link.send(knowledge.stateFor(frame))
                is Frame.FleetState -> knowledge.onPeerState(frame)
                else -> link.close("an entry does not take frames of kind ${frame::class.simpleName} here")
            }
        }

        override fun onClosed(link: Link, reason: String) {
            val closed = peers.remove(link)
            events.write(LogEvent.LINK_CLOSED, LogField("peer", "${closed?.address ?: peer}"), LogField("reason", reason))
            // An address that is gone for good is learned again from others if it comes back.
            closed?.address?.takeIf { it !in seeds }?.let { if (known.size > MAX_KNOWN / 2) known -= it }
        }
    }
}

/*
 * Links between entries. Each entry sends its peers the version and positions of its fleet state and requests newer state from
 * peers that have it. An entry that the store refuses therefore stays up to date as long as it is linked, directly or through
 * other entries, to one that the store answers. Over the same links, entries tell each other which requests crash targets; each
 * passes on what was new to it. They also tell each other which targets have stated that they leave, what the ranks of groups do, and
 * what waits at each of them. The sides that coordinate groups connect to entries as well.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.routing.subsetFor
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.repeatStep
import io.jaybeam.runtime.writeUnexpectedFailure
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime
import io.jaybeam.wire.PROTOCOL_VERSION
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

// Peers are notified immediately after each read. This periodic repetition covers frames that were lost with their
// connection.
private const val NEWS_INTERVAL_MILLIS = 500L
private const val CONNECT_INTERVAL_MILLIS = 1_000L

// With this many connections, an update reaches all of 700 entries in three hops, at a few bytes per second.
private const val MAX_CONNECTIONS = 10
private const val MAX_PEER_ADDRESSES = 64
private const val GROUP = "entries"
private const val MEMBERSHIP_LIFETIME_MILLIS = 15_000L
private const val JOIN_INTERVAL_MILLIS = 5_000L

/** Exchanges the fleet state in [cache] with other entries. */
internal class PeerExchange(
    private val instance: String,
    private val address: HostPort,
    initialSeedAddresses: List<HostPort>,
    private val store: FleetStore,
    private val cache: FleetCache,
    private val crashGuard: CrashGuard,
    private val answerNotices: AnswerNotices,
    private val groups: GroupExchange,
    private val loads: LoadExchange,
    private val events: EventLog,
) : AutoCloseable {
    private class Peer(
        val address: HostPort?,
        val acceptsQuarantineNews: Boolean = false,
        val acceptsLeavingTargets: Boolean = false,
        val acceptsGroupNews: Boolean = false,
    )

    private val requests = PeerRequests()
    private val replies = PeerReplies(cache, events)
    private val runtime = LinkRuntime(onAcceptFailure = { events.writeUnexpectedFailure("accept links", it) })
    private val peers = ConcurrentHashMap<Link, Peer>()
    private val sides = ConcurrentHashMap.newKeySet<Link>()
    private val peerAddresses = ConcurrentHashMap.newKeySet<HostPort>()
    private val seedAddresses = ConcurrentHashMap.newKeySet<HostPort>().also { it += initialSeedAddresses - address }
    private val connecting = ConcurrentHashMap.newKeySet<HostPort>()

    /** Number of entries to which a link is open. */
    val peerCount: Int get() =
        peers.values
            .mapNotNull { it.address }
            .toSet()
            .size

    /** Number of entries that share a fleet-wide limit, including this one and those that cannot be reached. */
    val entryCount: Int get() = peerAddresses.size + 1

    fun start() {
        peerAddresses += seedAddresses
        replies.start()
        runtime.listen(address.host, address.port) { Handler(null) }
        cache.addReadListener { broadcast() }
        crashGuard.addListener { sendQuarantineNews(it, except = null) }
        answerNotices.addListener { news -> peers.filterValues { it.acceptsLeavingTargets }.keys.forEach { it.send(news) } }
        thread(name = "peers", isDaemon = true) { run() }
        thread(name = "membership", isDaemon = true) { maintainMembership() }
    }

    /** Replaces the seed addresses with [newAddresses]. */
    fun replaceSeedAddresses(newAddresses: List<HostPort>) {
        val otherAddresses = newAddresses.toSet() - address
        if (otherAddresses == seedAddresses.toSet()) return
        seedAddresses.clear()
        seedAddresses += otherAddresses
        peerAddresses += otherAddresses
        events.write(LogEvent.SETTINGS_RELOADED, LogField("seeds", otherAddresses.joinToString(",")))
    }

    override fun close() {
        runtime.close()
        replies.close()
    }

    private fun run() {
        var nextConnectNanos = System.nanoTime()
        repeatStep("peers", events) {
            broadcast()
            loads.sendIfDue(groupNewsReceivers(), isUrgent = false)
            sides.forEach { it.send(Frame.GroupNewsDemand(groups.areLoadsUseful)) }
            if (System.nanoTime() >= nextConnectNanos) {
                nextConnectNanos = System.nanoTime() + CONNECT_INTERVAL_MILLIS * NANOS_PER_MILLI
                connectToPeers()
            }
            Thread.sleep(NEWS_INTERVAL_MILLIS)
        }
    }

    /** Tells peers that the first urgent request begins to wait. */
    fun onUrgentWaiting() = loads.sendIfDue(groupNewsReceivers(), isUrgent = true)

    /** Renews this entry's registration in the store, and looks up another entry there while this one has no peer. */
    private fun maintainMembership() {
        var generation = 0L
        repeatStep("membership", events) {
            store.joinCandidates(GROUP, address, generation, MEMBERSHIP_LIFETIME_MILLIS).onRight { generation = it.generation }
            if (peers.isEmpty()) store.coordinator(GROUP).onRight { peer -> peer?.takeIf { it != address }?.let { peerAddresses += it } }
            Thread.sleep(JOIN_INTERVAL_MILLIS)
        }
    }

    private fun connectToPeers() {
        val connectedAddresses = peers.values.mapNotNull { it.address }.toSet()
        val selectedAddresses = subsetFor(instance, peerAddresses.map { "$it" }, MAX_CONNECTIONS).toSet()
        peerAddresses.filter { "$it" in selectedAddresses && it !in connectedAddresses && connecting.add(it) }.forEach(::connect)
    }

    private fun connect(peer: HostPort) {
        runtime.connect(
            peer.host,
            peer.port,
            Handler(peer),
            onConnected = { link ->
                peers[link] = Peer(peer)
                connecting -= peer
                link.send(newHello())
            },
            onFailed = { connecting -= peer },
        )
    }

    private fun newHello() =
        Frame.PeerHello(
            PROTOCOL_VERSION,
            instance,
            address,
            peerAddresses.take(MAX_PEER_ADDRESSES),
            acceptsQuarantineNews = true,
            acceptsLeavingTargets = true,
            acceptsGroupNews = true,
        )

    private fun broadcast() {
        val snapshot = cache.snapshot
        val ageMillis = (System.nanoTime() - snapshot.targetsReadAtNanos) / NANOS_PER_MILLI
        val news = Frame.FleetNews(snapshot.configVersion, snapshot.operatorPosition, snapshot.targetsPosition, ageMillis)
        peers.keys.forEach { it.send(news) }
    }

    private fun onHello(link: Link, hello: Frame.PeerHello, isIncoming: Boolean) {
        if (hello.protocolVersion != PROTOCOL_VERSION) {
            return link.close("protocol version ${hello.protocolVersion} is not $PROTOCOL_VERSION; run the same release on both ends")
        }
        if (hello.isSide) return onSideHello(link, hello)
        peers[link] = Peer(hello.address, hello.acceptsQuarantineNews, hello.acceptsLeavingTargets, hello.acceptsGroupNews)
        if (peerAddresses.size < MAX_PEER_ADDRESSES) peerAddresses += (hello.peerAddresses + hello.address) - address
        if (isIncoming) link.send(newHello())
        if (hello.acceptsQuarantineNews) crashGuard.currentNews()?.let { link.send(it) }
        if (hello.acceptsGroupNews) groups.currentNews().forEach { link.send(it) }
        events.write(LogEvent.LINK_OPENED, LogField("peer", hello.instance), LogField("known", "${peerAddresses.size}"))
    }

    private fun onSideHello(link: Link, hello: Frame.PeerHello) {
        sides += link
        link.send(newHello())
        link.send(Frame.GroupNewsDemand(groups.areLoadsUseful))
        events.write(LogEvent.LINK_OPENED, LogField("peer", hello.instance))
    }

    private fun groupNewsReceivers(except: Link? = null) = peers.filterValues { it.acceptsGroupNews }.keys.filter { it !== except }

    private fun sendQuarantineNews(news: Frame.QuarantineNews, except: Link?) =
        peers
            .filterValues { it.acceptsQuarantineNews }
            .keys
            .filter { it !== except }
            .forEach { it.send(news) }

    private inner class Handler(
        private val peer: HostPort?,
    ) : LinkHandler {
        override fun onFrame(link: Link, frame: Frame) {
            when (frame) {
                is Frame.PeerHello -> onHello(link, frame, isIncoming = peer == null)
                is Frame.FleetNews -> cache.requestFor(frame)?.let { requests.next(frame, it) }?.let { link.send(it) }
                is Frame.FleetRequest -> replies.onRequest(link, frame)
                is Frame.FleetState -> cache.onPeerState(frame)
                is Frame.LeavingTargets -> answerNotices.onNews(frame)
                is Frame.GroupNews -> groups.onNews(frame, nameOf(link), groupNewsReceivers(except = link))
                is Frame.LoadNews -> loads.onNews(nameOf(link), frame)
                is Frame.Heartbeat -> Unit
                is Frame.QuarantineNews ->
                    crashGuard
                        .onNews(
                            frame,
                            "${peers[link]?.address}",
                        )?.let { sendQuarantineNews(it, except = link) }
                else -> link.close("an entry does not accept frames of type ${frame::class.simpleName} from another entry")
            }
        }

        private fun nameOf(link: Link) = "${peers[link]?.address ?: peer ?: "side"}"

        override fun onClosed(link: Link, reason: String) {
            sides -= link
            loads.forget(nameOf(link))
            val closed = peers.remove(link)
            events.write(LogEvent.LINK_CLOSED, LogField("peer", "${closed?.address ?: peer}"), LogField("reason", reason))
            // The entry may have ended for good. If it returns, other peers send its address again.
            closed?.address?.takeIf { it !in seedAddresses }?.let { if (peerAddresses.size > MAX_PEER_ADDRESSES / 2) peerAddresses -= it }
        }
    }
}

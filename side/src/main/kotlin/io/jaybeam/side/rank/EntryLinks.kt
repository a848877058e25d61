/*
 * Links from the side that coordinates a group to a few entries, which pass its news on to the others.
 *
 * Entries are found through the seeds of the settings, through the entries that those name in their greeting, and through the
 * entries' group in the store if no seed answers. Of those that are known, the side takes the same few by a hash of its name, so
 * that the coordinators of many groups spread over all entries.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.routing.subsetFor
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.repeatStep
import io.jaybeam.wire.Frame
import io.jaybeam.wire.HEARTBEAT_INTERVAL_MILLIS
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime
import io.jaybeam.wire.PROTOCOL_VERSION
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

// Two may end at once without the group's news being lost.
private const val MAX_LINKS = 3
private const val CHECK_INTERVAL_MILLIS = 300L
private const val MAX_KNOWN_ADDRESSES = 64
private const val ENTRY_GROUP = "entries"

// The store is asked for an entry only after the seeds had time to answer.
private const val STORE_SEARCH_INTERVAL_MILLIS = 3_000L

// An entry of an earlier release that cannot use the news is asked again after it may have been replaced.
private const val REFUSAL_MILLIS = 20_000L

// An entry that has ended would keep its place among the few that are selected.
private const val FAILURE_MILLIS = 5_000L

// Receivers close links over which nothing arrives.
private const val HEARTBEAT_DELAY_MILLIS = HEARTBEAT_INTERVAL_MILLIS

/** Keeps the links of [instance] to entries while news is to be sent. Thread-safe. */
internal class EntryLinks(
    private val instance: String,
    private val seedAddresses: List<HostPort>,
    private val store: FleetStore,
    private val links: LinkRuntime,
    private val events: EventLog,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) : GroupNewsReceivers,
    AutoCloseable {
    private class Entry(
        val address: HostPort,
    ) {
        @Volatile
        var isAccepting = false

        @Volatile
        var areLoadsUseful = false
    }

    private val entries = ConcurrentHashMap<Link, Entry>()
    private val connecting = ConcurrentHashMap.newKeySet<HostPort>()
    private val knownAddresses = ConcurrentHashMap.newKeySet<HostPort>()
    private val refusedUntilMillis = ConcurrentHashMap<HostPort, Long>()
    private val failedUntilMillis = ConcurrentHashMap<HostPort, Long>()
    private val generation = AtomicInteger()
    private val requests = Semaphore(0)
    private var nextStoreSearchMillis = 0L
    private var nextHeartbeatMillis = 0L

    @Volatile
    private var isRequested = false

    @Volatile
    private var isClosed = false

    override val areLoadsUseful: Boolean get() = entries.values.any { it.isAccepting && it.areLoadsUseful }

    override val receiverGeneration: Int get() = generation.get()

    fun start() {
        thread(name = "entry-links", isDaemon = true) {
            repeatStep("entry links", events, { !isClosed }) {
                if (isRequested) {
                    keepConnected()
                    Thread.sleep(CHECK_INTERVAL_MILLIS)
                } else {
                    closeAll("this side does not coordinate the group any more")
                    requests.acquire()
                }
            }
        }
    }

    override fun request() {
        if (isRequested) return
        isRequested = true
        requests.release()
    }

    override fun release() {
        isRequested = false
    }

    override fun send(news: Frame.GroupNews) = entries.forEach { (link, entry) -> if (entry.isAccepting) link.send(news) }

    override fun close() {
        isClosed = true
        requests.release()
        closeAll("this side stops")
    }

    private fun closeAll(reason: String) = entries.keys.forEach { it.close(reason) }

    private fun keepConnected() {
        val now = nowMillis()
        if (now >= nextHeartbeatMillis) {
            nextHeartbeatMillis = now + HEARTBEAT_DELAY_MILLIS
            entries.filterValues { it.isAccepting }.keys.forEach { it.send(Frame.Heartbeat(0)) }
        }
        listOf(refusedUntilMillis, failedUntilMillis).forEach { ends -> ends.values.removeIf { now >= it } }
        val candidates = (knownAddresses + seedAddresses).filterNot(refusedUntilMillis::containsKey)
        val reachable = candidates.filterNot(failedUntilMillis::containsKey)
        val selected = subsetFor(instance, reachable.map { "$it" }, MAX_LINKS).toSet()
        entries.filterValues { it.isAccepting && "${it.address}" !in selected }.keys.forEach {
            if (entries.values.count { entry -> entry.isAccepting } > MAX_LINKS) it.close("enough other entries are linked")
        }
        // Entries that are selected may all have ended, so seeds are tried as long as no link is open.
        val wanted = candidates.filter { "$it" in selected || (entries.isEmpty() && it in seedAddresses) }
        val linked = entries.values.map { it.address }.toSet()
        wanted.filter { it !in linked && connecting.add(it) }.forEach(::connect)
        // Entries that refuse the news of groups are there, so the store need not be asked for them.
        if (entries.isEmpty() && refusedUntilMillis.isEmpty()) searchStore(now)
    }

    private fun searchStore(now: Long) {
        if (nextStoreSearchMillis == 0L) nextStoreSearchMillis = now + STORE_SEARCH_INTERVAL_MILLIS
        if (now < nextStoreSearchMillis) return
        nextStoreSearchMillis = now + STORE_SEARCH_INTERVAL_MILLIS
        store.coordinator(ENTRY_GROUP).onRight { address -> address?.let(::addKnown) }
    }

    private fun addKnown(address: HostPort) {
        if (knownAddresses.size < MAX_KNOWN_ADDRESSES) knownAddresses += address
    }

    private fun connect(address: HostPort) {
        links.connect(
            address.host,
            address.port,
            EntryHandler(address),
            onConnected = { link ->
                entries[link] = Entry(address)
                connecting -= address
                link.send(Frame.PeerHello(PROTOCOL_VERSION, instance, address, emptyList(), isSide = true))
            },
            onFailed = {
                connecting -= address
                failedUntilMillis[address] = nowMillis() + FAILURE_MILLIS
                // A seed stays, and an entry that returns is named by others again.
                knownAddresses -= address
            },
        )
    }

    private inner class EntryHandler(
        private val address: HostPort,
    ) : LinkHandler {
        override fun onFrame(link: Link, frame: Frame) {
            when (frame) {
                is Frame.PeerHello -> onHello(link, frame)

                is Frame.GroupNewsDemand -> entries[link]?.areLoadsUseful = frame.areLoadsUseful

                // Entries of earlier releases send what they send to one another until the link closes.
                else -> Unit
            }
        }

        private fun onHello(link: Link, hello: Frame.PeerHello) {
            if (hello.protocolVersion != PROTOCOL_VERSION || !hello.acceptsGroupNews) {
                refusedUntilMillis[address] = nowMillis() + REFUSAL_MILLIS
                return link.close("the entry at $address does not know news of groups; it runs an earlier release")
            }
            refusedUntilMillis -= address
            failedUntilMillis -= address
            (hello.peerAddresses + address).forEach(::addKnown)
            entries[link]?.isAccepting = true
            generation.incrementAndGet()
            events.write(LogEvent.LINK_OPENED, LogField("peer", hello.instance))
        }

        override fun onClosed(link: Link, reason: String) {
            entries -= link
            events.write(LogEvent.LINK_CLOSED, LogField("peer", "entry $address"), LogField("reason", reason))
        }
    }
}

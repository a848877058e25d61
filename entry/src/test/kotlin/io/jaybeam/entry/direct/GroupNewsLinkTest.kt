/*
 * News of groups and loads over real links between entries, sides and entries of an earlier release.
 */
package io.jaybeam.entry.direct

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.fleet.CoordinatorTerm
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.GroupReport
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.RankLoad
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.fleet.TargetNotices
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.standins.freePort
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime
import io.jaybeam.wire.PROTOCOL_VERSION
import io.jaybeam.wire.compactGroupReportOf
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val HOST = "127.0.0.1"
private const val SERVICE = "model"
private const val AWAIT_MILLIS = 20_000L
private const val OBSERVED_MILLIS = 1_500L

/** A store that answers nothing. */
private object SilentStore : FleetStore {
    private fun <T> fault(): Either<StoreFault, T> = StoreFault.Unreachable("no answer").left()

    override fun readLatestTargets(): Either<StoreFault, LogPage<TargetUpdate>> = fault()

    override fun readTargetsFrom(position: Long): Either<StoreFault, LogPage<TargetUpdate>> = fault()

    override fun readLatestOperatorUpdates(): Either<StoreFault, LogPage<OperatorUpdate>> = fault()

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>> = fault()

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> = fault()

    override fun nextTermNumber(group: String, generation: Long): Either<StoreFault, Long> = fault()

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = null.right()
}

private class LinkedEntry(
    seeds: List<HostPort>,
) : AutoCloseable {
    private val events = EventLog("entry", Clock.System)
    private val clock = AwakeClock(Clock.System)
    private val cache = FleetCache(events)
    val work = OwnWork(clock::nowMillis)
    val groups = GroupExchange({ it == SERVICE }, events, clock::nowMillis)
    val loads = LoadExchange(work::loads, { true }, events, clock::nowMillis)
    val address = HostPort(HOST, freePort())
    val peers =
        PeerExchange(
            "entry-${address.port}",
            address,
            seeds,
            SilentStore,
            cache,
            CrashGuard(events),
            AnswerNotices(TargetNotices(), cache, events),
            groups,
            loads,
            events,
        ).also { it.start() }

    fun isOpen(group: String) =
        groups.view
            .group(SERVICE, group, groups.nowMillis())
            ?.report
            ?.isOpen

    override fun close() = peers.close()
}

/** A process that greets an entry with [hello] and keeps what it receives. */
private class Visitor(
    entry: HostPort,
    private val hello: Frame.PeerHello,
) : AutoCloseable {
    private val runtime = LinkRuntime()
    val frames = CopyOnWriteArrayList<Frame>()

    @Volatile
    var link: Link? = null

    init {
        runtime.connect(
            entry.host,
            entry.port,
            object : LinkHandler {
                override fun onFrame(link: Link, frame: Frame) {
                    frames += frame
                }

                override fun onClosed(link: Link, reason: String) = Unit
            },
            onConnected = {
                it.send(hello)
                link = it
            },
            onFailed = {},
        )
    }

    override fun close() = runtime.close()
}

internal class GroupNewsLinkTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val first = LinkedEntry(emptyList()).also { resources += it }

    @AfterTest
    fun close() = resources.asReversed().forEach { it.close() }

    private fun entryBeside(seed: HostPort) = LinkedEntry(listOf(seed)).also { resources += it }

    private fun visitor(hello: Frame.PeerHello) = Visitor(first.address, hello).also { resources += it }

    private fun side() = visitor(Frame.PeerHello(PROTOCOL_VERSION, "side-1", first.address, emptyList(), isSide = true))

    private fun news(group: String, sequence: Long, isOpen: Boolean): Frame.GroupNews {
        val load = RankLoad(HostPort("10.0.0.1", 80), 0, 1, 0, 0, 0, 1.0)
        return Frame.GroupNews(compactGroupReportOf(GroupReport(SERVICE, group, 1, 1, sequence, isOpen, 1, 0, listOf(load))), 0)
    }

    private fun await(what: String, isReached: () -> Boolean) {
        val startedNanos = System.nanoTime()
        while (!isReached()) {
            check((System.nanoTime() - startedNanos) / NANOS_PER_MILLI < AWAIT_MILLIS) { "not within $AWAIT_MILLIS ms: $what" }
            Thread.sleep(5)
        }
    }

    @Test
    fun `news of a side reaches an entry to which it is not linked, also one that connects later`() {
        val second = entryBeside(first.address)
        await("link between entries") { first.peers.peerCount == 1 }
        val side = side()
        await("greeting") { side.frames.any { it is Frame.GroupNewsDemand } }
        side.link?.send(news("g0", 1, isOpen = true))
        await("news at the second entry") { second.isOpen("g0") == true }
        side.link?.send(news("g0", 2, isOpen = false))
        await("the group is closed") { second.isOpen("g0") == false }
        val third = entryBeside(second.address)
        await("news at the third entry") { third.isOpen("g0") == false }
    }

    @Test
    fun `a side is not taken for an entry, and its link stays open`() {
        val side = side()
        await("greeting") { side.frames.any { it is Frame.PeerHello } }
        Thread.sleep(OBSERVED_MILLIS)
        assertEquals(0 to 1, first.peers.peerCount to first.peers.entryCount)
        assertTrue(side.link?.isOpen == true && side.frames.all { it is Frame.PeerHello || it is Frame.GroupNewsDemand }, "${side.frames}")
    }

    @Test
    fun `loads are asked for once a service has several groups`() {
        val side = side()
        await("greeting") { side.frames.any { it is Frame.GroupNewsDemand } }
        assertTrue(side.frames.filterIsInstance<Frame.GroupNewsDemand>().none { it.areLoadsUseful })
        listOf("g0", "g1").forEach { side.link?.send(news(it, 1, isOpen = true)) }
        await("loads are useful") { side.frames.any { it is Frame.GroupNewsDemand && it.areLoadsUseful } }
    }

    @Test
    fun `an entry of an earlier release gets no news that it does not know`() {
        val earlier = visitor(Frame.PeerHello(PROTOCOL_VERSION, "earlier", HostPort(HOST, freePort()), emptyList()))
        val side = side()
        await("greeting") { side.frames.any { it is Frame.GroupNewsDemand } && earlier.frames.any { it is Frame.PeerHello } }
        first.work.onWaiting(SERVICE, Urgency(0))
        first.peers.onUrgentWaiting()
        side.link?.send(news("g0", 1, isOpen = true))
        Thread.sleep(OBSERVED_MILLIS)
        assertEquals(true, first.isOpen("g0"))
        assertTrue(earlier.frames.all { it is Frame.PeerHello || it is Frame.FleetNews }, "${earlier.frames}")
    }

    @Test
    fun `what waits at an entry is known at its peer until the link closes`() {
        val second = entryBeside(first.address)
        await("link between entries") { first.peers.peerCount == 1 && second.peers.peerCount == 1 }
        second.work.onWaiting(SERVICE, Urgency(0))
        second.peers.onUrgentWaiting()
        await("loads at the first entry") { first.loads.urgentWaitingElsewhere(SERVICE, Urgency(1)) == 1 }
        second.close()
        await("the peer is forgotten") { first.loads.urgentWaitingElsewhere(SERVICE, Urgency(1)) == 0 }
    }
}

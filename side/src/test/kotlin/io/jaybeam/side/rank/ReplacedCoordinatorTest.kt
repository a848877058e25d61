/*
 * A coordinator that was frozen until another one took its place, beside ranks that do not check fencing tokens.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val SETTLING_MILLIS = 3_000L
private const val MEASURED_MILLIS = 3_000L
private const val AWAIT_SECONDS = 5L
private const val OLD_FENCE = 1L
private const val NEW_FENCE = 2L

private class QueueingLink : Link {
    val frames = LinkedBlockingQueue<Frame>()
    override val isOpen = true

    override fun send(frame: Frame): Boolean = frames.add(frame)

    override fun close(reason: String) = Unit

    fun awaitReply(): Frame.RankReply {
        while (true) {
            val frame = assertNotNull(frames.poll(AWAIT_SECONDS, TimeUnit.SECONDS), "no reply")
            if (frame is Frame.RankReply) return frame
        }
    }
}

/** A rank that carries out every order. */
private class UnfencedRank(
    rank: RankPort,
) : RankPort by rank {
    val orders = CopyOnWriteArrayList<FencedOrder>()

    override fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome {
        orders += order
        return OrderOutcome.ACCEPTED
    }
}

internal class ReplacedCoordinatorTest {
    private val shape = EmulatedGroupShape(ranks = 12, sets = 4, experts = 72, slotsPerRank = 8, linkBytesPerSecond = 100_000_000)
    private val group = EmulatedGroup(shape)
    private val resources = mutableListOf<AutoCloseable>(group)

    @AfterTest
    fun close() = resources.asReversed().forEach { it.close() }

    private fun startAgent(rank: RankPort) =
        RankAgent(rank, group.ranks.first().address, EventLog("emulated", Clock.System)).also {
            resources += it
            it.start()
        }

    @Test
    fun `a side refuses the orders of a coordinator that was replaced`() {
        val rank = UnfencedRank(group.ranks.first())
        val agent = startAgent(rank)
        val old = QueueingLink()
        val new = QueueingLink()
        listOf(old, new).forEach { agent.offer(RankAgentMessage.CoordinatorLink(it)) }
        agent.offer(RankAgentMessage.Order(new, Frame.RankOrder(FencedOrder.Claim(0, 1, NEW_FENCE), null)))
        assertEquals(OrderOutcome.ACCEPTED, new.awaitReply().outcome)
        agent.offer(RankAgentMessage.Order(old, Frame.RankOrder(FencedOrder.Hold(0, 1, OLD_FENCE, 9), null)))
        assertEquals(OrderOutcome.FENCED, old.awaitReply().outcome)
        assertEquals(listOf(NEW_FENCE), rank.orders.map { it.fence })
    }

    @Test
    fun `a side keeps reporting to the new coordinator when the link to the old one closes late`() {
        val agent = startAgent(group.ranks.first())
        val old = QueueingLink()
        val new = QueueingLink()
        listOf(old, new).forEach { agent.offer(RankAgentMessage.CoordinatorLink(it)) }
        agent.offer(RankAgentMessage.CoordinatorLinkClosed(old))
        Thread.sleep(2 * reportIntervalMillis(shape.ranks))
        new.frames.clear()
        assertNotNull(new.frames.poll(AWAIT_SECONDS, TimeUnit.SECONDS), "no report")
    }

    @Test
    fun `a coordinator whose lease has ended calls no rank directly though all sides look silent to it`() {
        var isLeaseValid = true
        val sides = EmulatedSides(group, shape, isFencingRequired = false) { isLeaseValid }.also { resources += it }
        sides.start()
        Thread.sleep(SETTLING_MILLIS)
        assertTrue(sides.directOrders.isNotEmpty(), "no map was changed")
        isLeaseValid = false
        group.ranks.indices.forEach(sides::silence)
        // Orders that were sent before.
        Thread.sleep(SETTLING_MILLIS / 10)
        sides.directOrders.clear()
        group.firstPopularExpert += shape.ranks / 3
        Thread.sleep(MEASURED_MILLIS)
        assertEquals(emptyList(), sides.directOrders.toList())
    }

    @Test
    fun `maps change without a valid lease through the sides`() {
        val sides = EmulatedSides(group, shape, isFencingRequired = false) { false }.also { resources += it }
        sides.start()
        Thread.sleep(SETTLING_MILLIS)
        assertTrue((group.mapVersion ?: 1) > 0, "no map was changed")
        assertEquals(emptyList(), sides.directOrders.toList())
        assertEquals(emptyList(), synchronized(group) { group.mapVersionsByPass.filter { it.size > 1 } })
    }
}

package io.jaybeam.side.rank

import arrow.core.left
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankFault
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkTotals
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Clock

private const val REPORT_LAG_MILLIS = 2_000L
private const val REPLY_MILLIS = 1_000L

/** A rank that answers no order. */
private object UnansweringRank : RankPort {
    override fun status() = RankFault("no answer").left()

    override fun counts() = RankFault("no answer").left()

    override fun experts() = RankFault("no answer").left()

    override fun sendOrder(order: FencedOrder, map: GroupMap?) = OrderOutcome.UNKNOWN
}

private class FrameListLink : Link {
    val frames = mutableListOf<Frame>()
    override val isOpen = true

    override fun send(frame: Frame) = frames.add(frame)

    override fun close(reason: String) = Unit
}

/** The order to hold a pass, which comes nearer while the order is unanswered. */
internal class HoldOrderTest {
    private val events = EventLog("test", Clock.System)
    private val shape = EmulatedGroupShape(ranks = 2, sets = 1, experts = 4, slotsPerRank = 2, linkBytesPerSecond = 1)
    private val replies = LinkedBlockingQueue<CoordinatorMessage>()
    private val remoteRanks =
        RemoteRankClient(OperatorStore("pool", shape.engineModel()), "pool", { UnansweringRank }, { true }, events) { replies += it }
    private var nowMillis = 0L
    private val sender = OrderSender(remoteRanks, { true }, CoordinatorLoad({ LinkTotals(0, 0, 0, 0) }, events)) { nowMillis }
    private val link = FrameListLink()
    private val address = HostPort("127.0.0.1", 1)
    private val peer = RankPeer(address, link, null, 0, MapForm.WHOLE)
    private val hold = FencedOrder.Hold(rank = 1, epoch = 1, fence = 1, pass = 9)

    private fun sendAt(atMillis: Long): Int {
        nowMillis = atMillis
        sender.send(hold, peer, isSilent = false, proposedMap = null)
        return link.frames.size
    }

    @Test
    fun `a hold that was sent directly and is unanswered is sent through the side of its rank once`() {
        assertEquals(listOf(0, 0, 1, 1), listOf(0L, 20L, 60L, 80L).map(::sendAt))
    }

    // A hold that arrives late may take a pass again whose release was accepted before the pass was due.
    @Test
    fun `a release is sent again soon as long as the pass is held`() {
        val release = FencedOrder.Release(rank = 1, epoch = 1, fence = 1, pass = 9)
        sender.send(release, peer, isSilent = false, proposedMap = null)
        sender.onReply(Frame.RankReply(release, OrderOutcome.ACCEPTED, null))
        nowMillis = 50
        sender.send(release, peer, isSilent = false, proposedMap = null)
        assertEquals(2, link.frames.size)
    }

    @Test
    fun `a hold without answer is reported at once instead of when the rank can be read`() {
        remoteRanks.reportLagMillis = REPORT_LAG_MILLIS
        remoteRanks.use {
            it.start()
            it.sendOrder(address, hold, null)
            val reply = assertNotNull(replies.poll(REPLY_MILLIS, TimeUnit.MILLISECONDS), "no reply")
            assertEquals(CoordinatorMessage.Reply(Frame.RankReply(hold, OrderOutcome.UNKNOWN, null)), reply)
        }
    }
}

/*
 * Sends the coordinator's orders to the ranks, through their sides or directly, and again while they have not taken effect.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.wire.Frame
import io.jaybeam.wire.FrameCodec

// An order is sent again after this time if it has not taken effect.
private const val RESEND_INTERVAL_MILLIS = 500L

// A late repeat of a hold may take a pass again that was released before it was due, and the group stands still until the release
// is sent again.
private const val RELEASE_RESEND_INTERVAL_MILLIS = 50L

// A hold that is sent directly is normally answered within a few milliseconds. If it is not, it is also sent through the side
// of its rank, which the rank treats as one hold, because the pass to be held comes nearer.
private const val DIRECT_HOLD_ANSWER_MILLIS = 50L

// Digits and separators of an expert in the orders that go directly to a rank, which contain whole maps.
private const val REMOTE_BYTES_PER_SLOT = 4

/** Identifies a sent order; [isRemote] orders go directly to the rank, others through its side. */
private data class SentOrder(
    val order: FencedOrder,
    val isRemote: Boolean,
)

/** Sends orders; [mayCallRanks] says whether ranks may be called directly now. Not thread-safe. */
internal class OrderSender(
    private val remoteRanks: RemoteRankClient,
    private val mayCallRanks: () -> Boolean,
    private val load: CoordinatorLoad,
    private val nowMillis: () -> Long,
) {
    private val sentMaps = SentMaps()
    private val mapBudget = SendBudget(nowMillis)
    private val sentAtMillis = HashMap<SentOrder, Long>()

    /** Whether the outcome of the last hold is unknown; the next one is then sent through the side of the rank that holds it. */
    private var isHoldOutcomeUnknown = false

    /** Sends [order] to the rank of [peer], with [proposedMap] if it prepares a map, unless it was sent a short time ago. */
    fun send(
        order: FencedOrder,
        peer: RankPeer,
        isSilent: Boolean,
        proposedMap: GroupMap?,
    ) {
        // The instance that sends a hold may freeze while the pass is held. The hold is sent from here instead of through the
        // side of the rank that holds the pass, so that this instance is at risk and not that rank's.
        val isDirectPreferred = (order is FencedOrder.Hold && !isHoldOutcomeUnknown && !isDirectHoldUnanswered(order)) || isSilent
        val key = SentOrder(order, isRemote = isDirectPreferred && mayCallRanks())
        val lastSentAtMillis = sentAtMillis[key]
        if (lastSentAtMillis != null && nowMillis() - lastSentAtMillis < resendIntervalMillis(key)) return
        // Sent with one of the next calls, as the order stays due.
        if (order is FencedOrder.Prepare && !mapBudget.hasRoom()) return
        sentAtMillis[key] = nowMillis()
        load.onOrderSent(order, nowMillis())
        val map = proposedMap.takeIf { order is FencedOrder.Prepare }
        if (key.isRemote) {
            remoteRanks.sendOrder(peer.address, order, map)
            if (map != null) mapBudget.spend(map.sets.sumOf { it.expertBySlot.size } * REMOTE_BYTES_PER_SLOT)
        } else {
            sendThroughSide(peer, order, map)
        }
    }

    private fun resendIntervalMillis(sent: SentOrder) =
        if (sent.order is FencedOrder.Release && !sent.isRemote) RELEASE_RESEND_INTERVAL_MILLIS else RESEND_INTERVAL_MILLIS

    private fun isDirectHoldUnanswered(order: FencedOrder.Hold): Boolean {
        val sentDirectlyAtMillis = sentAtMillis[SentOrder(order, isRemote = true)] ?: return false
        return nowMillis() - sentDirectlyAtMillis >= DIRECT_HOLD_ANSWER_MILLIS
    }

    private fun sendThroughSide(peer: RankPeer, order: FencedOrder, map: GroupMap?) {
        val link = peer.link ?: return
        val isWithMap = order is FencedOrder.Prepare && map != null
        val frame = if (isWithMap) sentMaps.orderFrame(link, order, map, peer.mapForm) else Frame.RankOrder(order, map = null)
        link.send(frame)
        if (isWithMap) mapBudget.spend(FrameCodec.encode(frame).size)
    }

    /** Records the reply to an order. */
    fun onReply(frame: Frame.RankReply) {
        if (frame.order is FencedOrder.Hold) isHoldOutcomeUnknown = frame.outcome == OrderOutcome.UNKNOWN
        // An accepted order may take effect later, so it is sent again only after the resend interval.
        if (frame.outcome != OrderOutcome.ACCEPTED) {
            sentAtMillis.remove(SentOrder(frame.order, isRemote = true))
            sentAtMillis.remove(SentOrder(frame.order, isRemote = false))
        }
        if (frame.outcome != OrderOutcome.UNKNOWN) load.onOrderAnswered(frame.order, nowMillis())
    }

    /** Forgets the orders of the last map change. */
    fun onChangeOver() {
        sentAtMillis.clear()
        sentMaps.dropClosedLinks()
    }
}

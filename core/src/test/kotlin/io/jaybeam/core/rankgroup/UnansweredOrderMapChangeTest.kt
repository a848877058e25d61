package io.jaybeam.core.rankgroup

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val RANKS = 63
private const val SEEDS = 20
private const val RUN_MILLIS = 60_000L

// Demand shifts every few seconds, and the new map is proposed within the next.
private const val PROPOSAL_INTERVAL_MILLIS = 2_000L
private const val PASS_MILLIS = 45L
private const val LOAD_MILLIS = 100L
private const val ANSWER_MILLIS = 3L
private const val TICK_MILLIS = 20L
private const val REPORT_INTERVAL_MILLIS = 50L
private const val RESEND_INTERVAL_MILLIS = 500L
private const val UNANSWERED_MILLIS = 150L
private const val MIN_DELAY_MILLIS = 2_000L
private const val MAX_DELAY_MILLIS = 12_000L

// Callers accept a gap of 120 ms between two events, which a pass and this stall stay below.
private const val MAX_MEAN_STALL_MILLIS = 50.0
private const val MAX_STALL_MILLIS = 120L

// Share of changes of which none may keep the group waiting for longer than [MAX_STALL_MILLIS].
private const val SHORT_STALL_SHARE = 0.95

private class TimedEvent(
    val atMillis: Long,
    val number: Int,
    val action: () -> Unit,
)

/** A rank that leaves orders unanswered as [GroupWithUnansweredOrders] decides. */
private class TimedRank(
    val number: Int,
    private val group: GroupWithUnansweredOrders,
) {
    var mapVersion = 0L
        private set
    var heldPass: Long? = null
        private set
    private var armed: ArmedMap? = null
    private var highestVersion = 0L
    private var loadedAtMillis = 0L
    private var fence = 0L

    fun reading(): RankReading {
        val preparedVersion = if (group.nowMillis >= loadedAtMillis) highestVersion else 0
        return RankReading(number, 1, true, group.lastPass, mapVersion, preparedVersion, armed, heldPass)
    }

    fun carryOut(order: FencedOrder): OrderOutcome {
        if (order.fence < fence) return OrderOutcome.FENCED
        fence = order.fence
        return when (order) {
            is FencedOrder.Claim -> OrderOutcome.CONFLICT
            is FencedOrder.Prepare -> accept(order.version >= highestVersion && armed == null) { load(order.version) }
            is FencedOrder.Hold -> accept(order.pass > group.lastPass) { heldPass = order.pass }
            is FencedOrder.Arm ->
                accept(order.version == highestVersion && order.pass > group.lastPass) { armed = ArmedMap(order.version, order.pass) }
            is FencedOrder.Disarm -> accept(order.version != mapVersion || armed != null) { armed = null }
            is FencedOrder.Release -> accept(heldPass == order.pass) { heldPass = null }
        }
    }

    fun beginPass(pass: Long) {
        val scheduled = armed?.takeIf { pass >= it.pass } ?: return
        mapVersion = scheduled.version
        armed = null
    }

    private fun load(version: Long) {
        if (version == highestVersion) return
        highestVersion = version
        loadedAtMillis = group.nowMillis + LOAD_MILLIS
    }

    private fun accept(isAllowed: Boolean, change: () -> Unit): OrderOutcome {
        if (!isAllowed) return OrderOutcome.CONFLICT
        change()
        return OrderOutcome.ACCEPTED
    }
}

/** A group of [RANKS] ranks and its coordinator in virtual time; [unansweredShare] of the orders is carried out seconds late. */
private class GroupWithUnansweredOrders(
    seed: Int,
    private val unansweredShare: Double,
    timing: MapChangeTiming,
) {
    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<TimedEvent>({ it.atMillis }, { it.number }))
    private var eventCount = 0
    private val ranks = List(RANKS) { TimedRank(it, this) }
    val coordinator = MapChangeCoordinator(RANKS, holdRank = 1, coordinatorRank = 0, firstFence = 1L shl 20, timing)
    private val isWaitingFor = HashSet<FencedOrder>()
    private val acceptedAtMillis = HashMap<FencedOrder, Long>()
    private var nextPassAtMillis = PASS_MILLIS
    var nowMillis = 0L
        private set
    var lastPass = 0L
        private set
    val mapVersionsByPass = mutableListOf<Set<Long>>()

    /** Time for which the group stood still, by change. */
    val stallMillisByChange = mutableListOf<Long>()
    val leadTimesMillis = mutableSetOf<Long>()
    val changesInUse: Int get() = mapVersionsByPass.flatten().toSet().size - 1

    fun run(): GroupWithUnansweredOrders {
        ranks.forEach { reportAt(it, 1 + it.number * REPORT_INTERVAL_MILLIS / RANKS) }
        every(TICK_MILLIS) { advance() }
        every(PROPOSAL_INTERVAL_MILLIS) { propose() }
        while (nowMillis < RUN_MILLIS) {
            while (events.isNotEmpty() && events.peek().atMillis <= nowMillis) events.poll().action()
            if (nowMillis >= nextPassAtMillis) beginPassUnlessHeld()
            nowMillis += 1
        }
        return this
    }

    private fun beginPassUnlessHeld() {
        val pass = lastPass + 1
        if (ranks.any { rank -> rank.heldPass?.let { it <= pass } == true }) return
        if (stallMillisByChange.isNotEmpty()) stallMillisByChange[stallMillisByChange.lastIndex] += nowMillis - nextPassAtMillis
        ranks.forEach { it.beginPass(pass) }
        lastPass = pass
        nextPassAtMillis = nowMillis + PASS_MILLIS
        mapVersionsByPass += ranks.map { it.mapVersion }.toSet()
    }

    private fun propose() {
        if (!coordinator.isSettled) return
        stallMillisByChange += 0
        coordinator.propose(nowMillis)
        advance()
    }

    private fun advance() {
        coordinator.ordersDue(nowMillis).forEach(::send)
        if (coordinator.phase is MapPhase.Holding) leadTimesMillis += coordinator.leadTimeMillis
    }

    private fun send(order: FencedOrder) {
        val accepted = acceptedAtMillis[order]
        if (accepted != null && nowMillis - accepted < RESEND_INTERVAL_MILLIS || !isWaitingFor.add(order)) return
        val rank = ranks[order.rank]
        if (random.nextDouble() < unansweredShare) {
            after(random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS)) { rank.carryOut(order) }
            after(UNANSWERED_MILLIS) { reply(order, OrderOutcome.UNKNOWN) }
        } else {
            after(ANSWER_MILLIS) {
                val outcome = rank.carryOut(order)
                if (outcome == OrderOutcome.ACCEPTED) acceptedAtMillis[order] = nowMillis
                reply(order, outcome)
            }
        }
    }

    private fun reply(order: FencedOrder, outcome: OrderOutcome) {
        isWaitingFor -= order
        coordinator.onReply(OrderReply(order, outcome, ranks[order.rank].reading()))
        advance()
    }

    private fun reportAt(rank: TimedRank, atMillis: Long): Unit =
        after(atMillis - nowMillis) {
            coordinator.onReading(rank.reading())
            reportAt(rank, nowMillis + REPORT_INTERVAL_MILLIS)
        }

    private fun every(intervalMillis: Long, action: () -> Unit): Unit =
        after(intervalMillis) {
            action()
            every(intervalMillis, action)
        }

    private fun after(delayMillis: Long, action: () -> Unit) {
        events += TimedEvent(nowMillis + delayMillis, eventCount++, action)
    }
}

internal class UnansweredOrderMapChangeTest {
    private val timing = MapChangeTiming(repeatMillis = UNANSWERED_MILLIS + ANSWER_MILLIS)

    /** Does not depend on how many orders go unanswered. */
    private val shortLeadTiming = timing.copy(maxLeadTimeMillis = timing.leadTimeMillis)
    private val groups by lazy { (1..SEEDS).map { GroupWithUnansweredOrders(it, unansweredShare = 0.1, timing).run() } }

    @Test
    fun `a group stands still only for a short time when a tenth of the orders goes unanswered`() {
        val meansMillis = groups.map { it.stallMillisByChange.average() }
        assertTrue(meansMillis.all { it <= MAX_MEAN_STALL_MILLIS }, "mean stall by seed: ${meansMillis.map { it.toInt() }}")
        val stalls = groups.flatMap { it.stallMillisByChange }
        val shortStalls = stalls.count { it <= MAX_STALL_MILLIS }
        assertTrue(shortStalls >= SHORT_STALL_SHARE * stalls.size, "$shortStalls of ${stalls.size} stalls are short")
    }

    @Test
    fun `all ranks use one map in each pass when a tenth of the orders goes unanswered`() {
        assertEquals(emptyList(), groups.flatMap { it.mapVersionsByPass }.filter { it.size > 1 })
    }

    @Test
    fun `no fewer changes succeed than with passes that begin soon when a tenth of the orders goes unanswered`() {
        val groupsWithShortLead = (1..SEEDS).map { GroupWithUnansweredOrders(it, unansweredShare = 0.1, shortLeadTiming).run() }
        val inUse = groups.sumOf { it.changesInUse }
        val inUseWithShortLead = groupsWithShortLead.sumOf { it.changesInUse }
        assertTrue(inUse >= inUseWithShortLead, "$inUse changes came into use; with a short lead, $inUseWithShortLead")
    }

    @Test
    fun `passes are not chosen later while all orders are answered`() {
        val group = GroupWithUnansweredOrders(seed = 1, unansweredShare = 0.0, timing).run()
        val groupWithShortLead = GroupWithUnansweredOrders(seed = 1, unansweredShare = 0.0, shortLeadTiming).run()
        assertEquals(setOf(30L), group.leadTimesMillis)
        assertEquals(groupWithShortLead.mapVersionsByPass, group.mapVersionsByPass)
        assertEquals(groupWithShortLead.stallMillisByChange, group.stallMillisByChange)
        assertEquals(group.stallMillisByChange.size, group.changesInUse)
    }
}

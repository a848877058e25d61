package io.jaybeam.core.rankgroup

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val RANKS = 4
private const val STEPS = 1_500
private const val FAULT_FREE_STEPS = 3_000

// With this, a change is armed for a pass that begins up to two seconds later, after many steps of the simulation.
private val LONG_LEAD_TIMING = MapChangeTiming(repeatMillis = 500, maxLeadTimeMillis = 2_000, armTimeoutMillis = 3_000)

// What happens to an order, by random number: 0 to 5 it is carried out, 6 and 7 it is carried out later, 8 it is carried
// out at once and again later, and the reply is lost, 9 the order is lost.
private const val LOST_ORDER = 9

/** A rank that behaves as the platform specifies. */
private class SimulatedRank(
    val rank: Int,
    private val group: SimulatedGroup,
) {
    var mapVersion = 0L
    var preparedVersion = 0L
    var armed: ArmedMap? = null
    var heldPass: Long? = null
    private var highestVersion = 0L
    private var fence = 0L

    fun reset() {
        mapVersion = 0
        preparedVersion = 0
        armed = null
        heldPass = null
    }

    fun resetFence() {
        fence = 0
    }

    fun carryOut(order: FencedOrder): OrderOutcome {
        if (order.epoch != group.epoch) return OrderOutcome.CONFLICT
        if (order.fence < fence) return OrderOutcome.FENCED
        fence = order.fence
        return when (order) {
            is FencedOrder.Claim -> OrderOutcome.CONFLICT
            is FencedOrder.Prepare -> accept(order.version > highestVersion && armed == null) { prepare(order.version) }
            is FencedOrder.Arm ->
                accept(order.version == preparedVersion && order.pass > group.lastPass) { armed = ArmedMap(order.version, order.pass) }
            is FencedOrder.Disarm -> accept(order.version != mapVersion || armed != null) { armed = null }
            is FencedOrder.Hold -> accept(order.pass > group.lastPass) { heldPass = order.pass }
            is FencedOrder.Release -> accept(heldPass == order.pass) { heldPass = null }
        }
    }

    fun beginPass(pass: Long) {
        val scheduled = armed ?: return
        if (pass < scheduled.pass) return
        mapVersion = scheduled.version
        armed = null
    }

    fun reading() = RankReading(rank, group.epoch, true, group.lastPass, mapVersion, preparedVersion, armed, heldPass)

    private fun prepare(version: Long) {
        preparedVersion = version
        highestVersion = version
    }

    private fun accept(isAllowed: Boolean, change: () -> Unit): OrderOutcome {
        if (!isAllowed) return OrderOutcome.CONFLICT
        change()
        return OrderOutcome.ACCEPTED
    }
}

private class SimulatedGroup {
    var epoch = 1L
    var lastPass = 0L
    val ranks = List(RANKS) { SimulatedRank(it, this) }
    val mapVersionsByPass = mutableListOf<Set<Long>>()

    fun beginPassUnlessHeld() {
        val next = lastPass + 1
        if (ranks.any { rank -> rank.heldPass?.let { it <= next } == true }) return
        ranks.forEach { it.beginPass(next) }
        lastPass = next
        mapVersionsByPass += ranks.map { it.mapVersion }.toSet()
    }

    fun crash(rank: Int) {
        epoch += 1
        ranks.forEach { it.reset() }
        ranks[rank].resetFence()
    }
}

/** Simulates a group, its coordinators and the network between them, driven by [random]. */
private class MapChangeSimulation(
    private val random: Random,
    private val timing: MapChangeTiming = MapChangeTiming(),
) {
    val group = SimulatedGroup()
    private var nextGeneration = 1L
    private var coordinators = mutableListOf(coordinator())
    private val delayedOrders = mutableListOf<FencedOrder>()
    private var nowMillis = 0L

    /** Rank that carries out arm orders late and does not answer them; none if the number is not that of a rank. */
    private var slowArmingRank: Int? = null
    var disarmOrderCount = 0
        private set

    fun step(isFaultFree: Boolean) {
        nowMillis += random.nextLong(1, 60)
        val roll = random.nextInt(100)
        if (random.nextInt(50) == 0) slowArmingRank = random.nextInt(RANKS * 2)
        if (isFaultFree) {
            unreachableRank = null
        } else if (random.nextInt(80) == 0) {
            unreachableRank = random.nextInt(RANKS * 2)
        }
        when {
            roll < 30 -> group.beginPassUnlessHeld()
            isFaultFree || roll < 75 -> runCoordinator(coordinators.last(), isFaultFree)
            roll < 85 -> runCoordinator(coordinators.random(random), isFaultFree)
            roll < 95 -> delayedOrders.randomOrNull(random)?.let { deliverDelayed(it) }
            roll < 97 -> coordinators += coordinator()
            roll < 98 -> group.crash(random.nextInt(RANKS))
            else -> group.ranks.random(random).let { if (isReachable(it.rank)) coordinators.last().onReading(it.reading()) }
        }
    }

    /** Rank that no coordinator reaches because its instance is frozen; none if the number is not that of a rank. */
    private var unreachableRank: Int? = null

    private fun coordinator(): MapChangeCoordinator {
        val coordinatorRank = random.nextInt(RANKS)
        val holdRank = (coordinatorRank + 1) % RANKS
        return MapChangeCoordinator(RANKS, holdRank, coordinatorRank, firstFence = nextGeneration++ shl 20, timing)
    }

    private fun isReachable(rank: Int) = rank != unreachableRank

    private fun deliverDelayed(order: FencedOrder) {
        delayedOrders -= order
        group.ranks[order.rank].carryOut(order)
    }

    private fun runCoordinator(coordinator: MapChangeCoordinator, isFaultFree: Boolean) {
        if (isFaultFree ||
            random.nextBoolean()
        ) {
            group.ranks
                .filter { isFaultFree || (isReachable(it.rank) && random.nextInt(4) > 0) }
                .forEach { coordinator.onReading(it.reading()) }
        }
        if (coordinator.isSettled && random.nextInt(3) == 0) coordinator.propose(nowMillis)
        coordinator.ordersDue(nowMillis).shuffled(random).forEach { deliver(coordinator, it, isFaultFree) }
    }

    private fun deliver(coordinator: MapChangeCoordinator, order: FencedOrder, isFaultFree: Boolean) {
        val rank = group.ranks[order.rank]
        if (order is FencedOrder.Disarm) disarmOrderCount += 1
        val fate =
            if (isFaultFree) {
                0
            } else if (!isReachable(order.rank)) {
                LOST_ORDER
            } else if (order is FencedOrder.Arm && order.rank == slowArmingRank) {
                7
            } else {
                random.nextInt(10)
            }
        when {
            fate < 6 -> {
                val outcome = rank.carryOut(order)
                if (random.nextInt(8) == 0) group.beginPassUnlessHeld()
                coordinator.onReply(OrderReply(order, outcome, rank.reading()))
            }

            fate < 8 -> {
                delayedOrders += order
                coordinator.onReply(OrderReply(order, OrderOutcome.UNKNOWN, rank.reading().takeIf { random.nextBoolean() }))
            }

            fate < 9 -> {
                rank.carryOut(order)
                delayedOrders += order
            }

            else -> {
                Unit
            }
        }
    }
}

internal class MapChangeCoordinatorPropertiesTest {
    @Property(tries = 5000, seed = "20261204")
    fun `no pass begins while ranks have different maps`(
        @ForAll seed: Long,
    ) {
        val simulation = MapChangeSimulation(Random(seed))
        repeat(STEPS) { simulation.step(isFaultFree = false) }
        assertEquals(emptyList(), simulation.group.mapVersionsByPass.filter { it.size > 1 })
    }

    @Property(tries = 2000, seed = "20261206")
    fun `no pass begins while ranks have different maps if the pass that changes them is chosen long before`(
        @ForAll seed: Long,
    ) {
        val simulation = MapChangeSimulation(Random(seed), LONG_LEAD_TIMING)
        repeat(STEPS) { simulation.step(isFaultFree = false) }
        assertEquals(emptyList(), simulation.group.mapVersionsByPass.filter { it.size > 1 })
    }

    @Property(tries = 100, seed = "20261206")
    fun `a group changes maps again when faults end if the pass that changes them is chosen long before`(
        @ForAll seed: Long,
    ) {
        val simulation = MapChangeSimulation(Random(seed), LONG_LEAD_TIMING)
        repeat(STEPS) { simulation.step(isFaultFree = false) }
        val mapVersionsBefore = simulation.group.mapVersionsByPass.toSet()
        repeat(FAULT_FREE_STEPS) { simulation.step(isFaultFree = true) }
        val mapVersionsAfter = simulation.group.mapVersionsByPass.toSet()
        assertTrue(mapVersionsAfter.size > mapVersionsBefore.size, "no new map was used after the faults ended")
    }

    @Property(tries = 100, seed = "20261204")
    fun `a group runs passes and changes maps again when faults end`(
        @ForAll seed: Long,
    ) {
        val simulation = MapChangeSimulation(Random(seed))
        repeat(STEPS) { simulation.step(isFaultFree = false) }
        val passesBefore = simulation.group.lastPass
        val mapVersionsBefore = simulation.group.mapVersionsByPass.toSet()
        repeat(FAULT_FREE_STEPS) { simulation.step(isFaultFree = true) }
        assertTrue(simulation.group.lastPass > passesBefore + 100, "passes from $passesBefore to ${simulation.group.lastPass}")
        assertTrue(
            simulation.group.mapVersionsByPass
                .toSet()
                .size > mapVersionsBefore.size,
            "no new map was used after the faults ended",
        )
    }

    @Test
    fun `a new coordinator releases a pass held by a frozen coordinator without reaching its rank`() {
        for (armedRanks in 0 until RANKS - 1) {
            val group = SimulatedGroup()
            val frozenCoordinator = MapChangeCoordinator(RANKS, holdRank = 1, coordinatorRank = 0, firstFence = 1L shl 20)
            val delayedOrders = mutableListOf<FencedOrder>()
            freezeWhileArming(frozenCoordinator, group, armedRanks, delayedOrders)
            repeat(3) { group.beginPassUnlessHeld() }
            assertEquals(1, group.mapVersionsByPass.size, "the pass must be held while the coordinator is frozen")

            val nextCoordinator = MapChangeCoordinator(RANKS, holdRank = 3, coordinatorRank = 2, firstFence = 2L shl 20)
            repeat(8) { exchange(nextCoordinator, group.ranks.drop(1)) }
            delayedOrders.forEach { group.ranks[it.rank].carryOut(it) }
            repeat(3) { group.beginPassUnlessHeld() }
            assertEquals(4, group.mapVersionsByPass.size, "$armedRanks ranks were armed: ${nextCoordinator.phase}")
            // The frozen instance has resumed, and its delayed orders have been delivered.
            repeat(8) { exchange(nextCoordinator, group.ranks) }
            assertTrue(nextCoordinator.isSettled, "${nextCoordinator.phase}")
            assertEquals(emptyList(), group.mapVersionsByPass.filter { it.size > 1 })
        }
    }

    /** Lets [coordinator] begin a change and arm [armedRanks] ranks; its other arm orders are added to [delayedOrders]. */
    private fun freezeWhileArming(
        coordinator: MapChangeCoordinator,
        group: SimulatedGroup,
        armedRanks: Int,
        delayedOrders: MutableList<FencedOrder>,
    ) {
        repeat(3) { exchange(coordinator, group.ranks) }
        group.beginPassUnlessHeld()
        coordinator.propose(0)
        repeat(3) { exchange(coordinator, group.ranks) { it !is FencedOrder.Arm } }
        coordinator.ordersDue(0).filterIsInstance<FencedOrder.Arm>().sortedBy { it.rank }.forEachIndexed { index, order ->
            if (index < armedRanks) group.ranks[order.rank].carryOut(order) else delayedOrders += order
        }
        assertTrue(group.ranks.first().armed == null, "the coordinator's rank must be armed after the others")
        while (group.ranks[1].heldPass?.let { group.lastPass + 1 < it } == true) group.lastPass += 1
    }

    private fun exchange(
        coordinator: MapChangeCoordinator,
        reachableRanks: List<SimulatedRank>,
        isSent: (FencedOrder) -> Boolean = { true },
    ) {
        reachableRanks.forEach { coordinator.onReading(it.reading()) }
        coordinator.ordersDue(0).filter { order -> isSent(order) && reachableRanks.any { it.rank == order.rank } }.forEach { order ->
            val rank = reachableRanks.first { it.rank == order.rank }
            val outcome = rank.carryOut(order)
            coordinator.onReply(OrderReply(order, outcome, rank.reading()))
        }
    }

    @Test
    fun `the simulations change maps`() {
        val simulations =
            (1L..20L).map { seed ->
                MapChangeSimulation(Random(seed)).also { simulation -> repeat(STEPS) { simulation.step(isFaultFree = false) } }
            }
        assertTrue(
            simulations.sumOf {
                it.group.mapVersionsByPass
                    .toSet()
                    .size
            } > 60,
        )
    }
}

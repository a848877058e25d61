package io.jaybeam.core.rankgroup

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val RANKS = 4
private const val STEPS = 1_500
private const val CALM_STEPS = 3_000

// Fates of orders: up to 5 carried out, 6 and 7 carried out late, 8 carried out with the answer lost, 9 lost.
private const val LOST = 9

/** A rank as the platform describes it. */
private class SimulatedRank(
    val number: Int,
    private val group: SimulatedGroup,
) {
    var map = 0L
    var prepared = 0L
    var armed: ArmedMap? = null
    var held: Long? = null
    private var highestVersion = 0L
    private var fence = 0L

    fun reset() {
        map = 0
        prepared = 0
        armed = null
        held = null
    }

    fun forgetFence() {
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
                accept(order.version == prepared && order.pass > group.lastPass) {
                    armed =
                        ArmedMap(order.version, order.pass)
                }
            is FencedOrder.Disarm -> accept(order.version != map || armed != null) { armed = null }
            is FencedOrder.Hold -> accept(order.pass > group.lastPass) { held = order.pass }
            is FencedOrder.Release -> accept(held == order.pass) { held = null }
        }
    }

    fun beginPass(pass: Long) {
        val due = armed ?: return
        if (pass < due.pass) return
        map = due.version
        armed = null
    }

    fun reading() = RankReading(number, group.epoch, true, group.lastPass, map, prepared, armed, held)

    private fun prepare(version: Long) {
        prepared = version
        highestVersion = version
    }

    private fun accept(fits: Boolean, change: () -> Unit): OrderOutcome {
        if (!fits) return OrderOutcome.CONFLICT
        change()
        return OrderOutcome.ACCEPTED
    }
}

private class SimulatedGroup {
    var epoch = 1L
    var lastPass = 0L
    val ranks = List(RANKS) { SimulatedRank(it, this) }
    val mapsOfPasses = mutableListOf<Set<Long>>()

    fun beginPassIfFree() {
        val next = lastPass + 1
        if (ranks.any { rank -> rank.held?.let { it <= next } == true }) return
        ranks.forEach { it.beginPass(next) }
        lastPass = next
        mapsOfPasses += ranks.map { it.map }.toSet()
    }

    fun crash(rank: Int) {
        epoch += 1
        ranks.forEach { it.reset() }
        ranks[rank].forgetFence()
    }
}

/** A group, its coordinators and the network between them, driven by [random]. */
private class MapWorld(
    private val random: Random,
) {
    val group = SimulatedGroup()
    private var generation = 1L
    private var coordinators = mutableListOf(coordinator())
    private val late = mutableListOf<FencedOrder>()
    private var nowMillis = 0L

    /** A rank that answers no arming for a while, and carries it out late. */
    private var slowToArm: Int? = null
    var undone = 0
        private set

    fun step(isCalm: Boolean) {
        nowMillis += random.nextLong(1, 60)
        val dice = random.nextInt(100)
        if (random.nextInt(50) == 0) slowToArm = random.nextInt(RANKS * 2)
        if (isCalm) {
            absent = null
        } else if (random.nextInt(80) == 0) {
            absent = random.nextInt(RANKS * 2)
        }
        when {
            dice < 30 -> group.beginPassIfFree()
            isCalm || dice < 75 -> act(coordinators.last(), isCalm)
            dice < 85 -> act(coordinators.random(random), isCalm)
            dice < 95 -> late.randomOrNull(random)?.let { carryOutLate(it) }
            dice < 97 -> coordinators += coordinator()
            dice < 98 -> group.crash(random.nextInt(RANKS))
            else -> group.ranks.random(random).let { if (isReached(it.number)) coordinators.last().onReading(it.reading()) }
        }
    }

    /** A rank that nobody reaches for a while, as its machine stands still. */
    private var absent: Int? = null

    private fun coordinator(): ArmedMapChange {
        val anchor = random.nextInt(RANKS)
        return ArmedMapChange(RANKS, holder = (anchor + 1) % RANKS, anchor, firstFence = generation++ shl 20)
    }

    private fun isReached(rank: Int) = rank != absent

    private fun carryOutLate(order: FencedOrder) {
        late -= order
        group.ranks[order.rank].carryOut(order)
    }

    private fun act(coordinator: ArmedMapChange, isCalm: Boolean) {
        if (isCalm ||
            random.nextBoolean()
        ) {
            group.ranks.filter { isCalm || (isReached(it.number) && random.nextInt(4) > 0) }.forEach { coordinator.onReading(it.reading()) }
        }
        if (coordinator.isSettled && random.nextInt(3) == 0) coordinator.propose(nowMillis)
        coordinator.ordersDue(nowMillis).shuffled(random).forEach { deliver(coordinator, it, isCalm) }
    }

    private fun deliver(coordinator: ArmedMapChange, order: FencedOrder, isCalm: Boolean) {
        val rank = group.ranks[order.rank]
        if (order is FencedOrder.Disarm) undone += 1
        val fate =
            if (isCalm) {
                0
            } else if (!isReached(order.rank)) {
                LOST
            } else if (order is FencedOrder.Arm && order.rank == slowToArm) {
                7
            } else {
                random.nextInt(10)
            }
        when {
            fate < 6 -> {
                val outcome = rank.carryOut(order)
                if (random.nextInt(8) == 0) group.beginPassIfFree()
                coordinator.onReply(OrderReply(order, outcome, rank.reading()))
            }

            fate < 8 -> {
                late += order
                coordinator.onReply(OrderReply(order, OrderOutcome.UNKNOWN, rank.reading().takeIf { random.nextBoolean() }))
            }

            fate < 9 -> {
                rank.carryOut(order)
                late += order
            }

            else -> {
                Unit
            }
        }
    }
}

internal class ArmedMapChangePropertiesTest {
    @Property(tries = 5000, seed = "20261204")
    fun `no pass begins while ranks have different maps`(
        @ForAll seed: Long,
    ) {
        val world = MapWorld(Random(seed))
        repeat(STEPS) { world.step(isCalm = false) }
        assertEquals(emptyList(), world.group.mapsOfPasses.filter { it.size > 1 })
    }

    @Property(tries = 100, seed = "20261204")
    fun `a group that was left in any state makes passes and changes maps again`(
        @ForAll seed: Long,
    ) {
        val world = MapWorld(Random(seed))
        repeat(STEPS) { world.step(isCalm = false) }
        val passesBefore = world.group.lastPass
        val mapsBefore = world.group.mapsOfPasses.toSet()
        repeat(CALM_STEPS) { world.step(isCalm = true) }
        assertTrue(world.group.lastPass > passesBefore + 100, "passes from $passesBefore to ${world.group.lastPass}")
        assertTrue(
            world.group.mapsOfPasses
                .toSet()
                .size > mapsBefore.size,
            "no map after the trouble",
        )
    }

    @Test
    fun `a pass that a frozen coordinator held is released without the rank on its machine`() {
        for (armedRanks in 0 until RANKS - 1) {
            val group = SimulatedGroup()
            val frozen = ArmedMapChange(RANKS, holder = 1, anchor = 0, firstFence = 1L shl 20)
            val late = mutableListOf<FencedOrder>()
            freezeWhileArming(frozen, group, armedRanks, late)
            repeat(3) { group.beginPassIfFree() }
            assertEquals(1, group.mapsOfPasses.size, "the pass is not held")

            val next = ArmedMapChange(RANKS, holder = 3, anchor = 2, firstFence = 2L shl 20)
            repeat(8) { round(next, group.ranks.drop(1)) }
            late.forEach { group.ranks[it.rank].carryOut(it) }
            repeat(3) { group.beginPassIfFree() }
            assertEquals(4, group.mapsOfPasses.size, "$armedRanks ranks were armed: ${next.phase}")
            // The frozen machine is back, with orders that were under way.
            repeat(8) { round(next, group.ranks) }
            assertTrue(next.isSettled, "${next.phase}")
            assertEquals(emptyList(), group.mapsOfPasses.filter { it.size > 1 })
        }
    }

    /** Lets [coordinator] begin a change and arm [armedRanks] ranks; orders beyond that are [late]. */
    private fun freezeWhileArming(
        coordinator: ArmedMapChange,
        group: SimulatedGroup,
        armedRanks: Int,
        late: MutableList<FencedOrder>,
    ) {
        repeat(3) { round(coordinator, group.ranks) }
        group.beginPassIfFree()
        coordinator.propose(0)
        repeat(3) { round(coordinator, group.ranks) { it !is FencedOrder.Arm } }
        coordinator.ordersDue(0).filterIsInstance<FencedOrder.Arm>().sortedBy { it.rank }.forEachIndexed { index, order ->
            if (index < armedRanks) group.ranks[order.rank].carryOut(order) else late += order
        }
        assertTrue(group.ranks.first().armed == null, "the anchor is armed before the others")
        while (group.ranks[1].held?.let { group.lastPass + 1 < it } == true) group.lastPass += 1
    }

    private fun round(coordinator: ArmedMapChange, reached: List<SimulatedRank>, isSent: (FencedOrder) -> Boolean = { true }) {
        reached.forEach { coordinator.onReading(it.reading()) }
        coordinator.ordersDue(0).filter { order -> isSent(order) && reached.any { it.number == order.rank } }.forEach { order ->
            val rank = reached.first { it.number == order.rank }
            val outcome = rank.carryOut(order)
            coordinator.onReply(OrderReply(order, outcome, rank.reading()))
        }
    }

    @Test
    fun `the worlds change maps and give changes up`() {
        val worlds = (1L..20L).map { seed -> MapWorld(Random(seed)).also { world -> repeat(STEPS) { world.step(isCalm = false) } } }
        assertTrue(
            worlds.sumOf {
                it.group.mapsOfPasses
                    .toSet()
                    .size
            } > 60,
        )
    }
}

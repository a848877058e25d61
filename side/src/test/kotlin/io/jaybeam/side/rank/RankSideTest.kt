package io.jaybeam.side.rank

import arrow.core.Either
import arrow.core.right
import io.jaybeam.core.fleet.CallerLimits
import io.jaybeam.core.fleet.CoordinatorTerm
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetLimits
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.ServicePolicy
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.rankgroup.ArmedMap
import io.jaybeam.core.rankgroup.ExpertCounts
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankExperts
import io.jaybeam.core.rankgroup.RankFault
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.core.rankgroup.RankReading
import io.jaybeam.core.rankgroup.RankStatus
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val RANKS = 3
private const val EXPERTS = 6
private const val SLOTS = 3
private const val HOST = "127.0.0.1"
private const val PASS_MILLIS = 15L

// Targets of the same service that are ranks of another group.
private const val STRANGERS = 2
private const val FIRST_TARGET_PORT = 20_000
private const val SEARCH_MILLIS = 2_500L
private const val SETTLE_MILLIS = 15_000L

private fun targetAddress(rank: Int) = HostPort(HOST, FIRST_TARGET_PORT + rank)

/** A group of ranks in this process that makes passes while it is not held. */
private class InProcessGroup : AutoCloseable {
    val ranks = List(RANKS) { InProcessRank(it, this) }
    val mapsOfPasses = mutableListOf<Set<Long>>()
    var lastPass = 0L

    /** Tokens that each expert gets in a pass. */
    @Volatile
    var demand = List(EXPERTS) { 10L }

    @Volatile
    private var isRunning = true
    private val passes = thread(isDaemon = true) { while (isRunning) pass() }

    /** The version that all ranks use; null while they differ. */
    val version: Long? get() = synchronized(this) { ranks.map { it.map }.toSet().singleOrNull() }

    override fun close() {
        isRunning = false
        passes.join()
    }

    private fun pass() {
        Thread.sleep(PASS_MILLIS)
        synchronized(this) {
            if (ranks.any { it.held == lastPass + 1 }) return
            lastPass += 1
            ranks.forEach { it.begin(lastPass) }
            mapsOfPasses += ranks.map { it.map }.toSet()
        }
    }
}

/** One rank of an [InProcessGroup]; loads weights at once. */
private class InProcessRank(
    private val number: Int,
    private val group: InProcessGroup,
) : RankPort {
    var map = 0L
    var held: Long? = null
    private var experts = listOf(listOf(number * 2, number * 2 + 1))
    private var prepared: Pair<Long, List<List<Int>>>? = null
    private var armed: ArmedMap? = null
    private var fence = 0L
    private val counts = LongArray(EXPERTS)

    fun begin(pass: Long) {
        group.demand.forEachIndexed { expert, tokens -> counts[expert] += tokens }
        if (armed?.pass != pass) return
        map = checkNotNull(armed).version
        experts = checkNotNull(prepared).second
        armed = null
    }

    override fun status(): Either<RankFault, RankStatus> =
        synchronized(group) {
            val reading = RankReading(number, 1, true, group.lastPass, map, prepared?.first ?: 0, armed, held)
            RankStatus(reading, "g0", RANKS, 1, 0).right()
        }

    override fun counts(): Either<RankFault, ExpertCounts> =
        synchronized(group) { ExpertCounts(1, group.lastPass, counts.toList()).right() }

    override fun experts(): Either<RankFault, RankExperts> = synchronized(group) { RankExperts(map, experts).right() }

    override fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome =
        synchronized(group) {
            if (order.fence < fence) return OrderOutcome.FENCED
            fence = order.fence
            when (order) {
                is FencedOrder.Claim, is FencedOrder.Disarm -> {
                    if (order is FencedOrder.Disarm) armed = null
                    OrderOutcome.CONFLICT
                }

                is FencedOrder.Prepare -> {
                    accept { prepared = order.version to checkNotNull(map).sets.indices.map { map.expertsOf(it, number).distinct() } }
                }

                is FencedOrder.Hold -> {
                    if (order.pass <= group.lastPass) OrderOutcome.CONFLICT else accept { held = order.pass }
                }

                is FencedOrder.Arm -> {
                    if (order.pass <= group.lastPass) OrderOutcome.CONFLICT else accept { armed = ArmedMap(order.version, order.pass) }
                }

                is FencedOrder.Release -> {
                    accept { held = null }
                }
            }
        }

    private fun accept(change: () -> Unit): OrderOutcome {
        change()
        return OrderOutcome.ACCEPTED
    }
}

/** A rank's port on its own machine, which stands still while it is frozen, as a frozen side process does. */
private class FreezablePort(
    private val rank: RankPort,
) : RankPort {
    @Volatile
    var isFrozen = false

    override fun status() = thawed { rank.status() }

    override fun counts() = thawed { rank.counts() }

    override fun experts() = thawed { rank.experts() }

    override fun sendOrder(order: FencedOrder, map: GroupMap?) = thawed { rank.sendOrder(order, map) }

    private fun <T> thawed(call: () -> T): T {
        while (isFrozen) Thread.sleep(PASS_MILLIS)
        return call()
    }
}

/** A store whose coordinator is the candidate that joined first of those that still join. */
private class InProcessStore : FleetStore {
    private val joinedAtMillis = linkedMapOf<HostPort, Long>()
    private var generation = 0L
    private var members = emptySet<HostPort>()

    val coordinator: HostPort? get() = synchronized(this) { joinedAtMillis.keys.firstOrNull() }

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> =
        synchronized(this) {
            val now = System.nanoTime() / NANOS_PER_MILLI
            joinedAtMillis[address] = now
            joinedAtMillis.values.removeIf { now - it > lifetimeMillis }
            if (members != joinedAtMillis.keys) this.generation += 1
            members = joinedAtMillis.keys.toSet()
            CoordinatorTerm(coordinator == address, this.generation).right()
        }

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = coordinator.right()

    override fun readLatestOperatorUpdates(): Either<StoreFault, LogPage<OperatorUpdate>> {
        val engine =
            EngineModel(
                8,
                1,
                1.0,
                1.0,
                1,
                EXPERTS,
                SLOTS,
                newExpertsPerChange = 2,
                expertMegabytes = 1.0,
                expertShare = 0.9,
                meanAnswerTokens = 1,
                weightMegabitsPerSecond = 180_000.0,
                reportLagMillis = 0,
            )
        val config = FleetConfig(1, emptyList(), listOf(ServicePolicy("pool", "", 1, 0.0, engine)), emptyList(), CallerLimits(1, 1, 1, 1))
        return LogPage(listOf(OperatorUpdate.Published(config)), 1, emptyList()).right()
    }

    override fun readLatestTargets(): Either<StoreFault, LogPage<TargetUpdate>> =
        LogPage(
            ((RANKS until RANKS + STRANGERS) + (0 until RANKS)).map {
                val address = targetAddress(it)
                val target = FleetTarget("t$it", "pool", address.host, address.port, "north", 8, false, 0, 0)
                TargetUpdate.Announced(target)
            },
            1,
            emptyList(),
        ).right()

    override fun readTargetsFrom(position: Long): Either<StoreFault, LogPage<TargetUpdate>> = readLatestTargets()

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>> =
        readLatestOperatorUpdates()
}

internal class RankSideTest {
    private val group = InProcessGroup()
    private val otherGroup = InProcessGroup()
    private val ordersToStrangers = CopyOnWriteArrayList<FencedOrder>()
    private val store = InProcessStore()
    private val ports = group.ranks.map { FreezablePort(it) }
    private val sides = ports.indices.map { number -> settings(number).let { it.peerAddress to side(it, number) } }

    @AfterTest
    fun close() {
        sides.forEach { (_, side) -> side.stop() }
        group.close()
        otherGroup.close()
    }

    @Test
    fun `the map follows demand, also after the coordinator is gone, and no pass mixes maps`() {
        sides.forEach { (_, side) -> side.start() }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        val first = awaitMapAfter(0)
        val coordinator = checkNotNull(store.coordinator)
        sides.first { it.first == coordinator }.second.stop()
        // Its rank is not reported any more until its side is back.
        val number = sides.indexOfFirst { it.first == coordinator }
        val address = sides[number].first
        val replacement = side(settings(number), number)
        replacement.start()
        group.demand = listOf(10, 10, 10, 10, 80, 90)
        awaitMapAfter(first)
        assertTrue(store.coordinator != address)
        replacement.stop()
        assertEquals(emptyList(), synchronized(group) { group.mapsOfPasses.filter { it.size > 1 } })
    }

    @Test
    fun `the map follows demand while the side of a rank is frozen`() {
        sides.forEach { (_, side) -> side.start() }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        val first = awaitMapAfter(0)
        val frozen = ports[sides.indexOfFirst { it.first != store.coordinator }]
        frozen.isFrozen = true
        group.demand = listOf(10, 10, 10, 10, 80, 90)
        awaitMapAfter(first)
        frozen.isFrozen = false
        assertEquals(emptyList(), ordersToStrangers.toList())
        assertEquals(emptyList(), synchronized(group) { group.mapsOfPasses.filter { it.size > 1 } })
    }

    @Test
    fun `ranks of another group get no orders while a rank of this one is not known`() {
        sides.drop(1).forEach { (_, side) -> side.start() }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        // The rank whose side was never started is looked for through the store, beside those of the other group.
        Thread.sleep(SEARCH_MILLIS)
        assertEquals(emptyList(), ordersToStrangers.toList())
    }

    private fun side(settings: InstanceSettings, number: Int) =
        RankSide(settings, store, ports[number], Clock.System) { address ->
            group.ranks.getOrNull(address.port - FIRST_TARGET_PORT) ?: stranger(address.port - FIRST_TARGET_PORT - RANKS)
        }

    /** A rank of another group, with the number of a rank of this one. */
    private fun stranger(number: Int) =
        object : RankPort by otherGroup.ranks[number] {
            override fun status() = otherGroup.ranks[number].status().map { it.copy(group = "g1") }

            override fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome {
                ordersToStrangers += order
                return OrderOutcome.CONFLICT
            }
        }

    private fun awaitMapAfter(version: Long): Long {
        val until = System.nanoTime() + SETTLE_MILLIS * NANOS_PER_MILLI
        while (System.nanoTime() < until) {
            group.version?.takeIf { it > version }?.let { return it }
            Thread.sleep(PASS_MILLIS)
        }
        error("no map after $version within $SETTLE_MILLIS ms; ranks are at ${group.ranks.map { it.map }}")
    }

    private fun settings(number: Int): InstanceSettings {
        val address = HostPort(HOST, ServerSocket(0).use { it.localPort })
        val bounds = FleetLimits(shutdownGraceMillis = 0, retryPercent = 0, retrySlack = 0, retryWindowMillis = 1, isFencingRequired = true)
        return InstanceSettings(
            "side-${address.port}",
            "north",
            HOST,
            null,
            null,
            address,
            emptyList(),
            targetAddress(number),
            "pool",
            address,
            bounds,
        )
    }
}

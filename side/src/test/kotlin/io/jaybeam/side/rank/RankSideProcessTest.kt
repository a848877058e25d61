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
private const val SLOTS_PER_RANK = 3
private const val HOST = "127.0.0.1"
private const val PASS_INTERVAL_MILLIS = 15L

// Number of ranks of another group whose targets belong to the same service.
private const val OTHER_GROUP_RANKS = 2
private const val FIRST_TARGET_PORT = 20_000
private const val SEARCH_DURATION_MILLIS = 2_500L
private const val MAP_CHANGE_TIMEOUT_MILLIS = 15_000L

private fun targetAddress(rank: Int) = HostPort(HOST, FIRST_TARGET_PORT + rank)

/** A group of ranks in this process that runs passes unless the next one is held. */
private class InProcessGroup : AutoCloseable {
    val ranks = List(RANKS) { InProcessRank(it, this) }

    val mapVersionsByPass = mutableListOf<Set<Long>>()
    var lastPass = 0L

    /** Number of tokens that each expert receives in a pass. */
    @Volatile
    var demand = List(EXPERTS) { 10L }

    @Volatile
    private var isRunning = true
    private val passThread = thread(isDaemon = true) { while (isRunning) pass() }

    /** Map version in use on all ranks; null while they differ. */
    val mapVersion: Long? get() = synchronized(this) { ranks.map { it.mapVersion }.toSet().singleOrNull() }

    override fun close() {
        isRunning = false
        passThread.join()
    }

    private fun pass() {
        Thread.sleep(PASS_INTERVAL_MILLIS)
        synchronized(this) {
            if (ranks.any { it.heldPass == lastPass + 1 }) return
            lastPass += 1
            ranks.forEach { it.beginPass(lastPass) }
            mapVersionsByPass += ranks.map { it.mapVersion }.toSet()
        }
    }
}

/** One rank of an [InProcessGroup]; loads weights immediately. */
private class InProcessRank(
    private val number: Int,
    private val group: InProcessGroup,
) : RankPort {
    var mapVersion = 0L
    var heldPass: Long? = null
    private var experts = listOf(listOf(number * 2, number * 2 + 1))
    private var preparedMap: Pair<Long, List<List<Int>>>? = null
    private var armedMap: ArmedMap? = null
    private var fence = 0L
    private val counts = LongArray(EXPERTS)

    fun beginPass(pass: Long) {
        group.demand.forEachIndexed { expert, tokens -> counts[expert] += tokens }
        if (armedMap?.pass != pass) return
        mapVersion = checkNotNull(armedMap).version
        experts = checkNotNull(preparedMap).second
        armedMap = null
    }

    override fun status(): Either<RankFault, RankStatus> =
        synchronized(group) {
            val reading = RankReading(number, 1, true, group.lastPass, mapVersion, preparedMap?.first ?: 0, armedMap, heldPass)
            RankStatus(reading, "g0", RANKS, 1, 0).right()
        }

    override fun counts(): Either<RankFault, ExpertCounts> =
        synchronized(group) { ExpertCounts(1, group.lastPass, counts.toList()).right() }

    override fun experts(): Either<RankFault, RankExperts> = synchronized(group) { RankExperts(mapVersion, experts).right() }

    override fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome =
        synchronized(group) {
            if (order.fence < fence) return OrderOutcome.FENCED
            fence = order.fence
            when (order) {
                is FencedOrder.Claim, is FencedOrder.Disarm -> {
                    if (order is FencedOrder.Disarm) armedMap = null
                    OrderOutcome.CONFLICT
                }

                is FencedOrder.Prepare -> {
                    accepted { preparedMap = order.version to checkNotNull(map).sets.indices.map { map.expertsOf(it, number).distinct() } }
                }

                is FencedOrder.Hold -> {
                    if (order.pass <= group.lastPass) OrderOutcome.CONFLICT else accepted { heldPass = order.pass }
                }

                is FencedOrder.Arm -> {
                    if (order.pass <= group.lastPass) OrderOutcome.CONFLICT else accepted { armedMap = ArmedMap(order.version, order.pass) }
                }

                is FencedOrder.Release -> {
                    accepted { heldPass = null }
                }
            }
        }

    private fun accepted(change: () -> Unit): OrderOutcome {
        change()
        return OrderOutcome.ACCEPTED
    }
}

/** A client of [rank] whose calls block while it is frozen, as those of a frozen side process do. */
private class FreezableRankPort(
    private val rank: RankPort,
) : RankPort {
    @Volatile
    var isFrozen = false

    override fun status() = callWhenThawed { rank.status() }

    override fun counts() = callWhenThawed { rank.counts() }

    override fun experts() = callWhenThawed { rank.experts() }

    override fun sendOrder(order: FencedOrder, map: GroupMap?) = callWhenThawed { rank.sendOrder(order, map) }

    private fun <T> callWhenThawed(call: () -> T): T {
        while (isFrozen) Thread.sleep(PASS_INTERVAL_MILLIS)
        return call()
    }
}

/** A store that names the first registered candidate coordinator, among those whose registration has not expired. */
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
                SLOTS_PER_RANK,
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
            ((RANKS until RANKS + OTHER_GROUP_RANKS) + (0 until RANKS)).map {
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

internal class RankSideProcessTest {
    private val group = InProcessGroup()
    private val otherGroup = InProcessGroup()
    private val ordersToOtherGroup = CopyOnWriteArrayList<FencedOrder>()
    private val store = InProcessStore()
    private val ports = group.ranks.map { FreezableRankPort(it) }
    private val sides = ports.indices.map { number -> settings(number).let { it.peerAddress to side(it, number) } }

    @AfterTest
    fun close() {
        sides.forEach { (_, side) -> side.stop() }
        group.close()
        otherGroup.close()
    }

    @Test
    fun `the map follows demand before and after the coordinator stops, and all ranks use the same map in each pass`() {
        sides.forEach { (_, side) -> side.start() }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        val firstVersion = awaitMapNewerThan(0)
        val coordinator = checkNotNull(store.coordinator)
        sides.first { it.first == coordinator }.second.stop()
        // The rank of the stopped side is not reported until a new side process has started.
        val number = sides.indexOfFirst { it.first == coordinator }
        val address = sides[number].first
        val replacement = side(settings(number), number)
        replacement.start()
        group.demand = listOf(10, 10, 10, 10, 80, 90)
        awaitMapNewerThan(firstVersion)
        assertTrue(store.coordinator != address)
        replacement.stop()
        assertEquals(emptyList(), synchronized(group) { group.mapVersionsByPass.filter { it.size > 1 } })
    }

    @Test
    fun `the map follows demand while the side of a rank is frozen`() {
        sides.forEach { (_, side) -> side.start() }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        val firstVersion = awaitMapNewerThan(0)
        val frozenPort = ports[sides.indexOfFirst { it.first != store.coordinator }]
        frozenPort.isFrozen = true
        group.demand = listOf(10, 10, 10, 10, 80, 90)
        awaitMapNewerThan(firstVersion)
        frozenPort.isFrozen = false
        assertEquals(emptyList(), ordersToOtherGroup.toList())
        assertEquals(emptyList(), synchronized(group) { group.mapVersionsByPass.filter { it.size > 1 } })
    }

    @Test
    fun `ranks of another group receive no orders while a rank of this group has not been read`() {
        sides.drop(1).forEach { (_, side) -> side.start() }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        // The coordinator searches the store for the rank whose side was not started, and also finds ranks of the other group.
        Thread.sleep(SEARCH_DURATION_MILLIS)
        assertEquals(emptyList(), ordersToOtherGroup.toList())
    }

    private fun side(settings: InstanceSettings, number: Int) =
        RankSideProcess(settings, store, ports[number], Clock.System) { address ->
            group.ranks.getOrNull(address.port - FIRST_TARGET_PORT) ?: rankOfOtherGroup(address.port - FIRST_TARGET_PORT - RANKS)
        }

    /** Returns a client of a rank of another group; [number] is also the number of a rank of this group. */
    private fun rankOfOtherGroup(number: Int) =
        object : RankPort by otherGroup.ranks[number] {
            override fun status() = otherGroup.ranks[number].status().map { it.copy(group = "g1") }

            override fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome {
                ordersToOtherGroup += order
                return OrderOutcome.CONFLICT
            }
        }

    private fun awaitMapNewerThan(version: Long): Long {
        val deadlineNanos = System.nanoTime() + MAP_CHANGE_TIMEOUT_MILLIS * NANOS_PER_MILLI
        while (System.nanoTime() < deadlineNanos) {
            group.mapVersion?.takeIf { it > version }?.let { return it }
            Thread.sleep(PASS_INTERVAL_MILLIS)
        }
        error(
            "no map newer than version $version within $MAP_CHANGE_TIMEOUT_MILLIS ms; versions on the ranks: ${group.ranks.map {
                it.mapVersion
            }}",
        )
    }

    private fun settings(number: Int): InstanceSettings {
        val address = HostPort(HOST, ServerSocket(0).use { it.localPort })
        val limits = FleetLimits(shutdownGraceMillis = 0, retryPercent = 0, retrySlack = 0, retryWindowMillis = 1, isFencingRequired = true)
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
            limits,
        )
    }
}

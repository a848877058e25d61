/*
 * A rank group, a store and settings for side processes that run inside a test.
 */
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
import io.jaybeam.standins.freePort
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock

internal const val RANKS = 3
private const val EXPERTS = 6
private const val SLOTS_PER_RANK = 3
private const val HOST = "127.0.0.1"
internal const val PASS_INTERVAL_MILLIS = 15L

// Number of ranks of another group whose targets belong to the same service.
private const val OTHER_GROUP_RANKS = 2
internal const val FIRST_TARGET_PORT = 20_000
private const val MAP_CHANGE_TIMEOUT_MILLIS = 15_000L

private fun targetAddress(rank: Int) = HostPort(HOST, FIRST_TARGET_PORT + rank)

/** A group of ranks in this process that runs passes unless the next one is held. */
internal class InProcessGroup : AutoCloseable {
    val ranks = List(RANKS) { InProcessRank(it, this) }

    val mapVersionsByPass = mutableListOf<Set<Long>>()

    /** Number of passes that began while two ranks used maps of different content. */
    var passesWithMixedMaps = 0
        private set
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

    /** Waits until all ranks use one map whose version is higher than [version], and returns its version. */
    fun awaitMapNewerThan(version: Long): Long {
        val deadlineNanos = System.nanoTime() + MAP_CHANGE_TIMEOUT_MILLIS * NANOS_PER_MILLI
        while (System.nanoTime() < deadlineNanos) {
            mapVersion?.takeIf { it > version }?.let { return it }
            Thread.sleep(PASS_INTERVAL_MILLIS)
        }
        error(
            "no map newer than version $version within $MAP_CHANGE_TIMEOUT_MILLIS ms; versions on the ranks: ${ranks.map {
                it.mapVersion
            }}",
        )
    }

    private fun pass() {
        Thread.sleep(PASS_INTERVAL_MILLIS)
        synchronized(this) {
            if (ranks.any { it.heldPass == lastPass + 1 }) return
            lastPass += 1
            ranks.forEach { it.beginPass(lastPass) }
            mapVersionsByPass += ranks.map { it.mapVersion }.toSet()
            if (ranks.map { it.map }.toSet().size > 1) passesWithMixedMaps += 1
        }
    }
}

/** One rank of an [InProcessGroup]; loads weights immediately. */
internal class InProcessRank(
    private val number: Int,
    private val group: InProcessGroup,
) : RankPort {
    var mapVersion = 0L
    var heldPass: Long? = null

    /** The whole map in use, whatever its version; null for the initial one. */
    var map: GroupMap? = null
        private set
    private var preparedMap: Pair<Long, GroupMap>? = null
    private var armedMap: ArmedMap? = null
    private var fence = 0L
    private val counts = LongArray(EXPERTS)

    fun beginPass(pass: Long) {
        group.demand.forEachIndexed { expert, tokens -> counts[expert] += tokens }
        if (armedMap?.pass != pass) return
        mapVersion = checkNotNull(armedMap).version
        map = checkNotNull(preparedMap).second
        armedMap = null
    }

    override fun status(): Either<RankFault, RankStatus> =
        synchronized(group) {
            val reading = RankReading(number, 1, true, group.lastPass, mapVersion, preparedMap?.first ?: 0, armedMap, heldPass)
            RankStatus(reading, "g0", RANKS, 1, 0).right()
        }

    override fun counts(): Either<RankFault, ExpertCounts> =
        synchronized(group) { ExpertCounts(1, group.lastPass, counts.toList()).right() }

    override fun experts(): Either<RankFault, RankExperts> = synchronized(group) { RankExperts(mapVersion, expertsIn(map)).right() }

    private fun expertsIn(map: GroupMap?): List<List<Int>> =
        map?.sets?.indices?.map { map.expertsOf(it, number).distinct() } ?: listOf(listOf(number * 2, number * 2 + 1))

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
                    accepted { preparedMap = order.version to checkNotNull(map) }
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
internal class FreezableRankPort(
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
internal class InProcessStore : FleetStore {
    private val numbers = HashMap<String, Long>()
    private val joinedAtMillis = linkedMapOf<HostPort, Long>()
    var generation = 0L
        private set
    private var members = emptySet<HostPort>()

    /** Whether registrations that are not renewed expire, as they do unless the store is down. */
    @Volatile
    var isExpiring = true

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
            if (isExpiring) joinedAtMillis.values.removeIf { now - it > lifetimeMillis }
            if (members != joinedAtMillis.keys) this.generation += 1
            members = joinedAtMillis.keys.toSet()
            CoordinatorTerm(coordinator == address, this.generation).right()
        }

    override fun nextTermNumber(group: String, generation: Long): Either<StoreFault, Long> =
        synchronized(this) { numbers.merge("$group-terms-$generation", 1, Long::plus)!!.right() }

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

/** Returns the settings of the side beside the rank with this number, with a free address for its links. */
internal fun sideSettings(number: Int): InstanceSettings {
    val address = HostPort(HOST, freePort())
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

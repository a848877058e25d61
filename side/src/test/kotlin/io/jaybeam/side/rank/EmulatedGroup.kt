package io.jaybeam.side.rank

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.roundRobinMap
import io.jaybeam.core.rankgroup.ArmedMap
import io.jaybeam.core.rankgroup.ExpertCounts
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankExperts
import io.jaybeam.core.rankgroup.RankFault
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.core.rankgroup.RankReading
import io.jaybeam.core.rankgroup.RankStatus
import io.jaybeam.core.rankgroup.fenceRangeOrNull
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.wire.Frame
import io.jaybeam.wire.FrameCodec
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkTotals
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Clock

private const val GROUP_NAME = "g0"
private const val SERVICE = "pool"
private const val HOST = "127.0.0.1"
private const val FIRST_RANK_PORT = 30_000
private const val PASS_MILLIS = 60L
private const val MAX_NEW_EXPERTS = 2
private const val LOAD_MILLIS = 100L
private const val GENERATION = 1L

// Headers of TCP and IP of one segment.
private const val SEGMENT_HEADER_BYTES = 52
private const val CALL_BYTES = 500
private const val CALL_ANSWER_BYTES = 300
private const val CALL_TIMEOUT_MILLIS = 150L

// A quarter of the experts is popular. In the initial map they are all on the same ranks.
private const val RANKS_PER_POPULAR_RANK = 4
private const val POPULAR_PICKS_PER_PASS = 100
private const val PICKS_PER_PASS = 16

/** Size of an emulated group, and the rate of the network link of each of its instances. */
internal data class EmulatedGroupShape(
    val ranks: Int,
    val sets: Int,
    val experts: Int,
    val slotsPerRank: Int,
    val linkBytesPerSecond: Long,
)

/** Returns the engine model of a group of this shape. */
internal fun EmulatedGroupShape.engineModel() =
    EngineModel(
        batchSlots = 7,
        stepsPerPass = 5,
        stepMillis = 4.55,
        stepMillisPerRequest = 1.0,
        expertSets = sets,
        experts = experts,
        slotsPerRank = slotsPerRank,
        newExpertsPerChange = MAX_NEW_EXPERTS,
        expertMegabytes = 320.0,
        expertShare = 0.85,
        meanAnswerTokens = 100,
        weightMegabitsPerSecond = 180_000.0,
        reportLagMillis = 200,
    )

/** A group of ranks that runs passes unless the next one is held. */
internal class EmulatedGroup(
    private val shape: EmulatedGroupShape,
) : AutoCloseable {
    val ranks = List(shape.ranks) { EmulatedRank(it, this) }
    val mapVersionsByPass = mutableListOf<Set<Long>>()
    var lastPass = 0L
        private set

    /** First of the experts that are popular in each set. */
    @Volatile
    var firstPopularExpert = 0

    @Volatile
    private var isRunning = true
    private val passThread = thread(isDaemon = true) { while (isRunning) pass() }

    /** Map version in use on all ranks; null while they differ. */
    val mapVersion: Long? get() = synchronized(this) { ranks.map { it.mapVersion }.toSet().singleOrNull() }

    override fun close() {
        isRunning = false
        passThread.join()
    }

    fun initialExperts(rank: Int): List<List<Int>> {
        val map = roundRobinMap(shape.sets, shape.experts, shape.ranks, shape.slotsPerRank)
        return map.sets.indices.map { map.expertsOf(it, rank) }
    }

    fun status(rank: EmulatedRank) = RankStatus(rank.reading(lastPass), GROUP_NAME, shape.ranks, 5, 0)

    val expertCount: Int get() = shape.sets * shape.experts

    private fun pass() {
        Thread.sleep(PASS_MILLIS)
        synchronized(this) {
            if (ranks.any { it.heldPass == lastPass + 1 }) return
            lastPass += 1
            ranks.forEach { rank -> rank.beginPass(lastPass, ::picks) }
            mapVersionsByPass += ranks.map { it.mapVersion }.toSet()
        }
    }

    private fun picks(index: Int, random: Random): Int {
        val isPopular = Math.floorMod(index % shape.experts - firstPopularExpert, shape.ranks) < shape.ranks / RANKS_PER_POPULAR_RANK
        return random.nextInt(if (isPopular) POPULAR_PICKS_PER_PASS else PICKS_PER_PASS)
    }
}

/** One rank of an [EmulatedGroup]; loads weights in [LOAD_MILLIS]. */
internal class EmulatedRank(
    private val number: Int,
    private val group: EmulatedGroup,
) : RankPort {
    private class PreparedMap(
        val version: Long,
        val experts: List<List<Int>>,
        val readyAtNanos: Long,
    )

    /** The prepare orders that the rank refused, as they would load more new experts of a set than it has room for. */
    val refusedOrders = CopyOnWriteArrayList<FencedOrder.Prepare>()

    /** All prepare orders that the rank received. */
    val prepareOrders = CopyOnWriteArrayList<FencedOrder.Prepare>()
    val address = HostPort(HOST, FIRST_RANK_PORT + number)
    var mapVersion = 0L
        private set
    var heldPass: Long? = null
        private set
    private val random = Random(number)
    private var experts = group.initialExperts(number)
    private var preparedMap: PreparedMap? = null
    private var armedMap: ArmedMap? = null
    private var fence = 0L
    private val counts = LongArray(group.expertCount)

    fun beginPass(pass: Long, picks: (Int, Random) -> Int) {
        counts.indices.forEach { counts[it] += picks(it, random).toLong() }
        if (armedMap?.pass != pass) return
        mapVersion = checkNotNull(armedMap).version
        experts = checkNotNull(preparedMap).experts
        armedMap = null
    }

    fun reading(lastPass: Long): RankReading {
        val preparedVersion = preparedMap?.takeIf { System.nanoTime() >= it.readyAtNanos }?.version ?: 0
        return RankReading(number, 1, true, lastPass, mapVersion, preparedVersion, armedMap, heldPass)
    }

    override fun status(): Either<RankFault, RankStatus> = synchronized(group) { group.status(this).right() }

    override fun counts(): Either<RankFault, ExpertCounts> =
        synchronized(group) { ExpertCounts(1, group.lastPass, counts.toList()).right() }

    override fun experts(): Either<RankFault, RankExperts> = synchronized(group) { RankExperts(mapVersion, experts).right() }

    override fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome =
        synchronized(group) {
            if (order.fence < fence) return OrderOutcome.FENCED
            fence = order.fence
            when (order) {
                is FencedOrder.Claim -> OrderOutcome.CONFLICT
                is FencedOrder.Disarm -> OrderOutcome.CONFLICT.also { armedMap = null }
                is FencedOrder.Prepare -> prepare(order, map)
                is FencedOrder.Hold -> ifBefore(order.pass) { heldPass = order.pass }
                is FencedOrder.Arm -> ifBefore(order.pass) { armedMap = ArmedMap(order.version, order.pass) }
                is FencedOrder.Release -> OrderOutcome.ACCEPTED.also { heldPass = null }
            }
        }

    private fun prepare(order: FencedOrder.Prepare, map: GroupMap?): OrderOutcome {
        prepareOrders += order
        if (map == null) return OrderOutcome.CONFLICT
        if (preparedMap?.version != order.version) {
            val ownExperts = map.sets.indices.map { map.expertsOf(it, number).distinct() }
            if (ownExperts.indices.any { (ownExperts[it] - experts[it].toSet()).size > MAX_NEW_EXPERTS }) {
                refusedOrders += order
                return OrderOutcome.CONFLICT
            }
            preparedMap = PreparedMap(order.version, ownExperts, System.nanoTime() + LOAD_MILLIS * NANOS_PER_MILLI)
        }
        return OrderOutcome.ACCEPTED
    }

    private fun ifBefore(pass: Long, change: () -> Unit): OrderOutcome {
        if (pass <= group.lastPass) return OrderOutcome.CONFLICT
        change()
        return OrderOutcome.ACCEPTED
    }
}

/** The sides of an [EmulatedGroup]; the one of rank 0 coordinates it, over a network link of limited rate. */
internal class EmulatedSides(
    private val group: EmulatedGroup,
    private val shape: EmulatedGroupShape,
    failingStoreReads: Int = 0,
    isFencingRequired: Boolean = true,
    private val isLeaseValid: () -> Boolean = { true },
) : AutoCloseable {
    private val events = EventLog("emulated", Clock.System)

    /** What the coordinator receives and sends. */
    val toCoordinator = LimitedLine(shape.linkBytesPerSecond)
    val fromCoordinator = LimitedLine(shape.linkBytesPerSecond)

    /** The orders that the coordinator sent to ranks directly. */
    val directOrders = CopyOnWriteArrayList<FencedOrder>()
    private val linkEnds = HashMap<RankAgent, LinkEnd>()
    private val agents = group.ranks.map { RankAgent(it, it.address, events) }
    private val coordinator =
        CoordinatorWorker(
            OperatorStore(SERVICE, shape.engineModel(), failingStoreReads),
            rankSettings(SERVICE, group.ranks.first().address, isFencingRequired),
            { 0 },
            { GROUP_NAME },
            { address -> RemoteRank(group.ranks[address.port - FIRST_RANK_PORT]) },
            { LinkTotals(0, toCoordinator.totalBytes, 0, fromCoordinator.totalBytes) },
            { isLeaseValid() },
            events,
        )

    fun start() {
        coordinator.start()
        coordinator.continueTerm(fenceRangeOrNull(GENERATION, number = 1))
        agents.forEach {
            it.start()
            connect(it)
        }
    }

    /** Loses everything that the side of [rank] sends and receives from now on. */
    fun silence(rank: Int) {
        linkEnds.getValue(agents[rank]).isSilent = true
    }

    override fun close() {
        agents.forEach { it.close() }
        coordinator.close()
        toCoordinator.close()
        fromCoordinator.close()
    }

    private fun connect(agent: RankAgent) {
        val agentEnd = LinkEnd(toCoordinator)
        val coordinatorEnd = LinkEnd(fromCoordinator)
        agentEnd.connect(coordinatorEnd, AgentHandler(agent))
        coordinatorEnd.connect(agentEnd, coordinator.linkHandler())
        linkEnds[agent] = agentEnd
        agent.offer(RankAgentMessage.CoordinatorLink(agentEnd))
    }

    private class AgentHandler(
        private val agent: RankAgent,
    ) : LinkHandler {
        override fun onFrame(link: Link, frame: Frame) {
            if (frame is Frame.RankOrder) check(agent.offer(RankAgentMessage.Order(link, frame)))
        }

        override fun onClosed(link: Link, reason: String) = Unit
    }

    /** A rank that is called from the coordinator's instance, over its network link. */
    private inner class RemoteRank(
        private val rank: EmulatedRank,
    ) : RankPort by rank {
        override fun status() = call { rank.status() } ?: RankFault("no answer in $CALL_TIMEOUT_MILLIS ms").left()

        override fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome {
            directOrders += order
            return call { rank.sendOrder(order, map) } ?: OrderOutcome.UNKNOWN
        }

        private fun <T> call(action: () -> T): T? {
            val answer = CompletableFuture<T>()
            fromCoordinator.send(CALL_BYTES) {
                val result = action()
                toCoordinator.send(CALL_ANSWER_BYTES) { answer.complete(result) }
            }
            return try {
                answer.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            } catch (e: TimeoutException) {
                null
            }
        }
    }
}

/** One end of a link whose frames travel over [line]. */
private class LinkEnd(
    private val line: LimitedLine,
) : Link {
    private lateinit var peer: LinkEnd
    private lateinit var handler: LinkHandler

    @Volatile
    override var isOpen = true
        private set

    /** Whether frames from and to this end are lost. */
    @Volatile
    var isSilent = false

    fun connect(peer: LinkEnd, handler: LinkHandler) {
        this.peer = peer
        this.handler = handler
    }

    override fun send(frame: Frame): Boolean {
        if (!isOpen) return false
        if (isSilent || peer.isSilent) return true
        val bytes = FrameCodec.encode(frame)
        line.send(SEGMENT_HEADER_BYTES + Int.SIZE_BYTES + bytes.size) {
            FrameCodec.decode(bytes).fold({ error("$it") }, { peer.handler.onFrame(peer, it) })
        }
        return true
    }

    override fun close(reason: String) {
        isOpen = false
    }
}

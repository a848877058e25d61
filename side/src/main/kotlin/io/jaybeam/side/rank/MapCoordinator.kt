/*
 * Coordinates the expert map of a rank group: gathers the ranks' reports, plans a better map when demand has moved, and
 * takes the group to it. It works only during its term, under fencing tokens of that term.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.placement.GroupDemand
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.GroupPlacementPolicy
import io.jaybeam.core.placement.GroupPlan
import io.jaybeam.core.placement.groupMapOf
import io.jaybeam.core.placement.planQuickestPlacement
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.MapChangeCoordinator
import io.jaybeam.core.rankgroup.MapPhase
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.OrderReply
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.runtime.WorkerThread
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.HEARTBEAT_INTERVAL_MILLIS
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler

// Room for some seconds of reports of a group of 64 ranks.
private const val QUEUED_MESSAGES = 1_024
private const val TICK_MILLIS = 20L

// Demand is counted over this time: one report of each rank is too noisy, and more mixes old demand with new.
private const val WINDOW_MILLIS = 600L

// An order that was not answered is given again after this time.
private const val REPEAT_MILLIS = 500L

// Ranks whose sides are silent are read this often while a change waits for them.
private const val READ_SILENT_MILLIS = 200L

// Tokens of one term; a term makes a few for each change.
private const val FENCE_BITS = 20

// Time for which ranks load experts in one change. After a shift, passes are long until the change is in force, and longer
// still while weights are copied; one expert a rank takes the skew from 3.4 to 1.4, the next change the rest (`bench group`
// on the trace of a day).
private const val COPY_MILLIS = 110L

// Passes are within the accepted gap at this skew; a change that reaches it need not load more.
private const val GOOD_SKEW = 1.75
private const val MIN_SKEW = 1.25
private const val TARGET_SKEW = 1.15

private class PlanRequest(
    val map: GroupMap,
    val demand: GroupDemand,
    val policy: GroupPlacementPolicy,
)

/**
 * What is known of how to reach a rank.
 *
 * @property link to its side; null if its side has not reported.
 * @property experts those of the map in use; null where they are not known.
 * @property heardAtMillis when its side last said something.
 */
private class RankPeer(
    val address: HostPort,
    val link: Link?,
    val experts: List<List<Int>>?,
    val heardAtMillis: Long,
)

private data class SentOrder(
    val order: FencedOrder,
    val isRemote: Boolean,
)

/** Coordinates a group, on a thread of its own and one for planning. */
internal class MapCoordinator(
    private val store: FleetStore,
    private val settings: InstanceSettings,
    private val ownRank: () -> Int?,
    private val ownGroup: () -> String?,
    rankAt: (HostPort) -> RankPort,
    private val events: EventLog,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) : AutoCloseable {
    private val duty = WorkerThread("coordinator", QUEUED_MESSAGES, TICK_MILLIS, events, ::onMessage, ::onTick)
    private val planner = WorkerThread<PlanRequest>("planner", 1, PLANNER_TICK_MILLIS, events, ::plan) {}
    private val window = DemandWindow(WINDOW_MILLIS)
    private val peers = HashMap<Int, RankPeer>()
    private val sentAtMillis = HashMap<SentOrder, Long>()
    private val remote = RemoteRanks(store, settings.targetService, rankAt, events) { tell(it) }
    private var generation: Long? = null
    private var deposedGeneration = 0L
    private var change: MapChangeCoordinator? = null
    private var engine: EngineModel? = null
    private var proposed: GroupMap? = null
    private var proposedVersion = 0L
    private var isPlanning = false
    private var loggedPhase: String = ""
    private var heartbeatAtMillis = 0L
    private var plannedAtMillis = 0L
    private var begunAtMillis = 0L

    /** Whether the last hold got no answer from here; the next one then goes through the holder's side. */
    private var isHoldLost = false
    private var readAtMillis = 0L

    fun start() {
        duty.start()
        planner.start()
        remote.start()
    }

    /** Tells the coordinator its term, waiting for room: one that misses its end would go on giving orders. */
    fun tellTerm(term: CoordinatorMessage.Term) = duty.put(term)

    /** Tells the coordinator something; drops it if the coordinator is too busy, since reports are repeated. */
    fun tell(message: CoordinatorMessage): Boolean = duty.offer(message)

    override fun close() {
        planner.close()
        remote.close()
        duty.close()
    }

    /** Returns the handler of a link that a rank's side has opened. */
    fun handlerOfLink(): LinkHandler =
        object : LinkHandler {
            override fun onFrame(link: Link, frame: Frame) {
                when (frame) {
                    is Frame.RankReport -> tell(CoordinatorMessage.Report(link, frame))
                    is Frame.RankReply -> tell(CoordinatorMessage.Reply(frame))
                    is Frame.Heartbeat -> Unit
                    else -> link.close("a coordinator does not take frames of kind ${frame::class.simpleName}")
                }
            }

            override fun onClosed(link: Link, reason: String) {
                events.write(LogEvent.LINK_CLOSED, LogField("peer", "rank"), LogField("reason", reason))
            }
        }

    private fun onMessage(message: CoordinatorMessage) {
        when (message) {
            is CoordinatorMessage.Term -> onTerm(message.generation)
            is CoordinatorMessage.Report -> onReport(message)
            is CoordinatorMessage.Read -> onRead(message)
            is CoordinatorMessage.Reply -> onReply(message.frame)
            is CoordinatorMessage.Planned -> onPlanned(message)
        }
    }

    private fun onTerm(next: Long?) {
        generation = next
        if (next == null) {
            change = null
            // Sides look for the new coordinator when the link to this one is gone.
            peers.values.forEach { it.link?.close("another process coordinates the group") }
            peers.clear()
        }
    }

    private fun onReport(message: CoordinatorMessage.Report) {
        val report = message.frame
        if (generation == null) return message.link.close("another process coordinates the group")
        val rank = report.reading.rank
        val known = peers[rank]
        val isSameMap = change?.lastReadings?.get(rank)?.mapVersion == report.reading.mapVersion
        val experts = report.experts ?: known?.experts?.takeIf { known.link === message.link && isSameMap }
        peers[rank] = RankPeer(report.address, message.link, experts, nowMillis())
        if (change == null) begin(report)
        change?.onReading(report.reading)
        window.add(report.demand, nowMillis())
        act()
    }

    private fun begin(report: Frame.RankReport) {
        val term = generation?.takeIf { it > deposedGeneration } ?: return
        val anchor = ownRank() ?: return
        change = MapChangeCoordinator(report.groupSize, holdRank = (anchor + 1) % report.groupSize, anchor, term shl FENCE_BITS)
        engine = readEngine()
        remote.reportLagMillis = engine?.reportLagMillis ?: 0
        begunAtMillis = nowMillis()
        window.clear()
    }

    private fun onRead(message: CoordinatorMessage.Read) {
        val now = change ?: return
        // A service may have several groups, with ranks of the same numbers.
        if (message.status.group != ownGroup()) return
        val rank = message.status.reading.rank
        val known = peers[rank]
        if (known == null) peers[rank] = RankPeer(message.address, null, null, 0)
        // What the rank's own side says is fresher.
        if (known != null && !isSilent(known)) return
        now.onReading(message.status.reading)
        act()
    }

    private fun readEngine(): EngineModel? =
        store.readLatestOperatorUpdates().fold(
            { fault ->
                events.write(LogEvent.STORE_LOST, LogField("follower", "coordinator"), LogField("detail", fault.detail))
                null
            },
            { page ->
                val config =
                    page.updates
                        .filterIsInstance<OperatorUpdate.Published>()
                        .maxByOrNull { it.config.version }
                        ?.config
                config?.services?.firstOrNull { it.name == settings.targetService }?.engine
            },
        )

    private fun onReply(frame: Frame.RankReply) {
        if (frame.order is FencedOrder.Hold) isHoldLost = frame.outcome == OrderOutcome.UNKNOWN
        // An order that was accepted but whose rank has not been read is not done with.
        if (frame.reading != null || frame.outcome == OrderOutcome.UNKNOWN) {
            sentAtMillis.remove(SentOrder(frame.order, isRemote = true))
            sentAtMillis.remove(SentOrder(frame.order, isRemote = false))
        }
        val now = change ?: return
        now.onReply(OrderReply(frame.order, frame.outcome, frame.reading))
        act()
    }

    private fun onPlanned(message: CoordinatorMessage.Planned) {
        isPlanning = false
        val now = change ?: return
        val plan = message.plan ?: return
        if (!now.isSettled) return
        events.write(
            LogEvent.MAP_PLANNED,
            LogField("skewBefore", "%.3f".format(plan.skewBefore)),
            LogField("skewAfter", "%.3f".format(plan.skewAfter)),
            LogField("expertsLoaded", "${plan.expertsLoaded}"),
            LogField("tookMillis", "${message.tookMillis}"),
        )
        proposed = plan.map
        proposedVersion = now.propose(nowMillis())
        act()
    }

    private fun onTick() {
        val now = nowMillis()
        if (generation != null && now - heartbeatAtMillis >= HEARTBEAT_INTERVAL_MILLIS / 2) {
            heartbeatAtMillis = now
            peers.values.forEach { it.link?.send(Frame.Heartbeat(0)) }
        }
        readSilentRanks(now)
        act()
    }

    /** Reads ranks without their sides where a change waits for them, or where they are not known at all. */
    private fun readSilentRanks(now: Long) {
        val group = change ?: return
        if (now - readAtMillis < READ_SILENT_MILLIS || now - begunAtMillis < silentMillis(group.size)) return
        val isMissing = group.lastReadings.size < group.size
        val silent = peers.values.filter(::isSilent).map { it.address }
        if (!isMissing && (silent.isEmpty() || group.isSettled)) return
        readAtMillis = now
        remote.read(
            silent,
            known =
                peers.values
                    .map { it.address }
                    .toSet()
                    .takeIf { isMissing },
        )
    }

    private fun isSilent(peer: RankPeer) = nowMillis() - peer.heardAtMillis > silentMillis(change?.size ?: 1)

    /** Gives the orders that are due and asks for a plan where the group is settled. */
    private fun act() {
        val now = change ?: return
        now.ordersDue(nowMillis()).forEach(::send)
        logPhase(now)
        if (now.phase is MapPhase.Deposed) {
            deposedGeneration = generation ?: 0
            change = null
        } else if (now.isSettled && !isPlanning) {
            askForPlan(now)
        }
    }

    private fun send(order: FencedOrder) {
        val peer = peers[order.rank] ?: return
        // A pass is held from here, so that the machine that may freeze with it is this one and not the holder's.
        val key = SentOrder(order, isRemote = (order is FencedOrder.Hold && !isHoldLost) || isSilent(peer))
        val sent = sentAtMillis[key]
        if (sent != null && nowMillis() - sent < REPEAT_MILLIS) return
        sentAtMillis[key] = nowMillis()
        val map = proposed.takeIf { order is FencedOrder.Prepare }
        if (key.isRemote) remote.give(peer.address, order, map) else peer.link?.send(Frame.RankOrder(order, map))
    }

    private fun askForPlan(now: MapChangeCoordinator) {
        val model = engine ?: return
        noteExpertsOfNewMap(now)
        val experts =
            now.lastReadings.keys
                .sorted()
                .map { peers[it]?.experts ?: return }
        val demand = window.demand(model.expertSets, nowMillis()) ?: return
        if (nowMillis() - plannedAtMillis < PLAN_EVERY_MILLIS) return
        plannedAtMillis = nowMillis()
        sentAtMillis.clear()
        val policy = GroupPlacementPolicy(model.newExpertsPerChange, model.expertsLoadedIn(COPY_MILLIS), MIN_SKEW, TARGET_SKEW)
        isPlanning = planner.offer(PlanRequest(groupMapOf(experts, model.slotsPerRank), demand, policy))
    }

    /** A map that is in use as it was proposed need not be read from the ranks. */
    private fun noteExpertsOfNewMap(now: MapChangeCoordinator) {
        val map = proposed ?: return
        if (now.mapVersion != proposedVersion) return
        peers.entries.filter { it.value.experts == null }.forEach { (rank, peer) ->
            val experts = map.sets.indices.map { map.expertsOf(it, rank).distinct() }
            peers[rank] = RankPeer(peer.address, peer.link, experts, peer.heardAtMillis)
        }
    }

    private fun plan(request: PlanRequest) {
        val begun = nowMillis()
        val plan = planQuickestPlacement(request.map, request.demand, request.policy, GOOD_SKEW)
        tell(CoordinatorMessage.Planned(plan, nowMillis() - begun))
    }

    private fun logPhase(now: MapChangeCoordinator) {
        val name = now.phase::class.simpleName.orEmpty()
        if (name == loggedPhase) return
        loggedPhase = name
        val lastPass = now.lastReadings.values.maxOfOrNull { it.lastPass }
        val map =
            now.lastReadings.values
                .map { it.mapVersion }
                .distinct()
                .joinToString("/")
        events.write(
            LogEvent.MAP_PHASE,
            LogField("phase", "${now.phase}"),
            LogField("fence", "${now.fence}"),
            LogField("lastPass", "$lastPass"),
            LogField("map", map),
        )
    }

    private companion object {
        const val PLANNER_TICK_MILLIS = 1_000L

        // Plans are cheap beside the second in which demand moves.
        const val PLAN_EVERY_MILLIS = 150L
    }
}

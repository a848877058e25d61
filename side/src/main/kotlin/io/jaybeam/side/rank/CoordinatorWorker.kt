/*
 * Coordinates the expert map of a rank group: collects the ranks' reports, plans a better map when demand has shifted, and
 * sends the orders by which the ranks switch to it. It does so only during its term, with fencing tokens of that term.
 *
 * A coordinator that was frozen may not know yet that it was replaced, and to it all sides look silent. Where ranks do not check
 * fencing tokens, it therefore calls ranks directly only while its lease is valid. Orders through sides need no lease: a side
 * checks the tokens itself, and follows one coordinator at a time.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.placement.GroupDemand
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.GroupPlacementPolicy
import io.jaybeam.core.placement.alignedTo
import io.jaybeam.core.placement.groupMapOf
import io.jaybeam.core.placement.planQuickestPlacement
import io.jaybeam.core.rankgroup.FenceRange
import io.jaybeam.core.rankgroup.MapChangeCoordinator
import io.jaybeam.core.rankgroup.MapPhase
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
import io.jaybeam.wire.LinkTotals
import io.jaybeam.wire.initialMapLike

// Holds the reports that a group of 64 ranks sends in several seconds.
private const val QUEUE_CAPACITY = 1_024
private const val TICK_INTERVAL_MILLIS = 20L

// Period over which demand is summed. A single report from each rank is too noisy, and a longer period mixes old demand
// with new.
private const val DEMAND_WINDOW_MILLIS = 600L

// Interval at which ranks with silent sides are read while a change waits for them.
private const val DIRECT_READ_INTERVAL_MILLIS = 200L

// Time that ranks may spend on loading experts in one change. After a shift of demand, passes are long until the new map is
// in use, and even longer while weights are copied. Loading one expert per rank reduces the skew from 3.4 to 1.4, and the
// next change reduces it further (`bench group` on the trace of one day).
private const val MAX_EXPERT_LOAD_MILLIS = 110L

// At this skew, passes are short enough for the accepted gap between events, so a change that reaches it need not load
// more experts.
private const val ACCEPTABLE_SKEW = 1.75
private const val MIN_SKEW = 1.25
private const val TARGET_SKEW = 1.15

private class PlanRequest(
    val map: GroupMap,
    val demand: GroupDemand,
    val policy: GroupPlacementPolicy,
)

/** Runs a [MapChangeCoordinator] for the ranks of a group, on one thread for coordination and one for planning. */
internal class CoordinatorWorker(
    store: FleetStore,
    private val settings: InstanceSettings,
    private val localRank: () -> Int?,
    private val localGroup: () -> String?,
    rankPortAt: (HostPort) -> RankPort,
    linkTotals: () -> LinkTotals,
    private val isLeaseValid: () -> Boolean,
    private val events: EventLog,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
    private val groupNews: GroupNewsSender? = null,
) : AutoCloseable {
    private val worker = WorkerThread("coordinator", QUEUE_CAPACITY, TICK_INTERVAL_MILLIS, events, ::onMessage, ::onTick)
    private val planner = WorkerThread<PlanRequest>("planner", 1, PLANNER_TICK_INTERVAL_MILLIS, events, ::plan) {}
    private val demandWindow = DemandWindow(DEMAND_WINDOW_MILLIS)
    private val peers = HashMap<Int, RankPeer>()
    private val remoteRanks = RemoteRankClient(store, settings.targetService, rankPortAt, ::mayCallRanks, events) { offer(it) }
    private val load = CoordinatorLoad(linkTotals, events)
    private val phaseLog = MapPhaseLog(events)
    private val engineModel = EngineModelReader(store, settings.targetService, events)
    private val orders = OrderSender(remoteRanks, ::mayCallRanks, load, nowMillis)
    private var isTermRunning = false
    private var fences: FenceRange? = null
    private var activeCoordinator: MapChangeCoordinator? = null
        set(value) {
            field = value
            isCoordinating = value != null
        }
    private var proposedMap: GroupMap? = null
    private var proposedMapVersion = 0L
    private var isPlanning = false
    private var lastHeartbeatAtMillis = 0L
    private var lastPlanAtMillis = 0L
    private var startedAtMillis = 0L

    /** Whether orders have been sent, or may be, under the fencing tokens of the present term. */
    @Volatile
    var isCoordinating = false
        private set

    /** The last fencing tokens that cannot be used any more: refused by a rank, or used up. */
    @Volatile
    var spentFences: FenceRange? = null
        private set

    private var lastReadAtMillis = 0L

    fun start() {
        worker.start()
        planner.start()
        remoteRanks.start()
    }

    /** Lets this process coordinate with [fences], once it has some. */
    fun continueTerm(fences: FenceRange?) = worker.put(CoordinatorMessage.Term(fences))

    /** Blocks while the queue is full, because a coordinator that missed the end of its term would go on sending orders. */
    fun endTerm() = worker.put(CoordinatorMessage.TermEnded)

    /** Queues [message], or drops it and returns false if the queue is full. Dropping is safe as reports are repeated. */
    fun offer(message: CoordinatorMessage): Boolean = worker.offer(message)

    override fun close() {
        planner.close()
        remoteRanks.close()
        worker.close()
    }

    /** Returns the handler of a link that the side of a rank has opened. */
    fun linkHandler(): LinkHandler =
        object : LinkHandler {
            override fun onFrame(link: Link, frame: Frame) {
                when (frame) {
                    is Frame.RankReport -> offer(CoordinatorMessage.Report(link, frame))
                    is Frame.RankReply -> offer(CoordinatorMessage.Reply(frame))
                    is Frame.Heartbeat -> Unit
                    else -> link.close("a coordinator does not accept frames of type ${frame::class.simpleName} from a side process")
                }
            }

            override fun onClosed(link: Link, reason: String) {
                events.write(LogEvent.LINK_CLOSED, LogField("peer", "rank"), LogField("reason", reason))
            }
        }

    private fun onMessage(message: CoordinatorMessage) {
        when (message) {
            is CoordinatorMessage.Term -> onTerm(message.fences)
            is CoordinatorMessage.TermEnded -> onTermEnded()
            is CoordinatorMessage.Report -> onReport(message)
            is CoordinatorMessage.RemoteStatus -> onRemoteStatus(message)
            is CoordinatorMessage.Reply -> onReply(message.frame)
            is CoordinatorMessage.PlanResult -> onPlanResult(message)
        }
    }

    private fun onTerm(grantedFences: FenceRange?) {
        isTermRunning = true
        if (activeCoordinator == null) fences = grantedFences
    }

    private fun onTermEnded() {
        isTermRunning = false
        fences = null
        activeCoordinator = null
        groupNews?.onTermEnded()
        // Sides search for the new coordinator when their link to this one is closed.
        peers.values.forEach { it.link?.close("another process coordinates the group") }
        peers.clear()
    }

    private fun onReport(message: CoordinatorMessage.Report) {
        val report = message.frame
        if (!isTermRunning) return message.link.close("another process coordinates the group")
        val rank = report.reading.rank
        val knownPeer = peers[rank]
        val experts =
            report.experts?.let { HeldExperts(report.reading.mapVersion, it) }
                ?: knownPeer?.experts?.takeIf { knownPeer.link === message.link }
        peers[rank] = RankPeer(report.address, message.link, experts, nowMillis(), report.acceptedMapForm)
        if (activeCoordinator == null) startCoordinating(report)
        activeCoordinator?.onReading(report.reading)
        demandWindow.add(report.compactDemand?.toList() ?: report.demand, nowMillis())
        advance()
        sendGroupNews { it.onReport(report, nowMillis()) }
    }

    private fun startCoordinating(report: Frame.RankReport) {
        val usableFences = fences?.takeIf { it != spentFences } ?: return
        val coordinatorRank = localRank() ?: return
        activeCoordinator =
            MapChangeCoordinator(
                report.groupSize,
                holdRank = (coordinatorRank + 1) % report.groupSize,
                coordinatorRank,
                usableFences.first,
            )
        engineModel.read(nowMillis())
        updateReportLag()
        startedAtMillis = nowMillis()
        demandWindow.clear()
    }

    private fun updateReportLag() {
        remoteRanks.reportLagMillis = engineModel.model?.reportLagMillis ?: 0
    }

    private fun onRemoteStatus(message: CoordinatorMessage.RemoteStatus) {
        val coordinator = activeCoordinator ?: return
        // A service may have several groups, whose ranks have the same numbers.
        if (message.status.group != localGroup()) return
        val rank = message.status.reading.rank
        val knownPeer = peers[rank]
        if (knownPeer == null) peers[rank] = RankPeer(message.address, null, null, 0, MapForm.WHOLE)
        // A report from the rank's side is more recent.
        if (knownPeer != null && !isSilent(knownPeer)) return
        coordinator.onReading(message.status.reading)
        advance()
    }

    private fun onReply(frame: Frame.RankReply) {
        orders.onReply(frame)
        val coordinator = activeCoordinator ?: return
        coordinator.onReply(OrderReply(frame.order, frame.outcome, frame.reading))
        advance()
    }

    private fun onPlanResult(message: CoordinatorMessage.PlanResult) {
        isPlanning = false
        val coordinator = activeCoordinator ?: return
        val plan = message.plan ?: return
        if (!coordinator.isSettled) return
        events.write(
            LogEvent.MAP_PLANNED,
            LogField("skewBefore", "%.3f".format(plan.skewBefore)),
            LogField("skewAfter", "%.3f".format(plan.skewAfter)),
            LogField("expertsLoaded", "${plan.expertsLoaded}"),
            LogField("tookMillis", "${message.durationMillis}"),
        )
        proposedMap = plan.map.alignedTo(proposedMap ?: initialMapLike(plan.map))
        proposedMapVersion = coordinator.propose(nowMillis())
        advance()
    }

    private fun onTick() {
        val now = nowMillis()
        if (isTermRunning && now - lastHeartbeatAtMillis >= HEARTBEAT_INTERVAL_MILLIS / 2) {
            lastHeartbeatAtMillis = now
            peers.values.forEach { it.link?.send(Frame.Heartbeat(0)) }
        }
        if (activeCoordinator != null) load.logIfDue(worker.backlog, now)
        if (activeCoordinator != null && engineModel.readAgainIfDue(now)) updateReportLag()
        readSilentRanks(now)
        advance()
        sendGroupNews()
    }

    /** Sends news of the group that is due, if this process still coordinates it, after [update] of what is known of the group. */
    private fun sendGroupNews(update: (GroupNewsSender) -> Unit = {}) {
        val news = groupNews?.also(update) ?: return
        if (!isTermRunning || !isLeaseValid()) return
        news.sendIfDue(localGroup() ?: return, fences?.first ?: return, nowMillis())
    }

    /** Reads ranks directly if their sides are silent while a change waits for them, or if some ranks have never been read. */
    private fun readSilentRanks(now: Long) {
        val coordinator = activeCoordinator ?: return
        if (now - lastReadAtMillis < DIRECT_READ_INTERVAL_MILLIS || now - startedAtMillis < silenceTimeoutMillis(coordinator.size)) return
        val hasUnreadRanks = coordinator.lastReadings.size < coordinator.size
        val silentAddresses = peers.values.filter(::isSilent).map { it.address }
        if (!hasUnreadRanks && (silentAddresses.isEmpty() || coordinator.isSettled)) return
        lastReadAtMillis = now
        remoteRanks.read(
            silentAddresses,
            knownAddresses =
                peers.values
                    .map { it.address }
                    .toSet()
                    .takeIf { hasUnreadRanks },
        )
    }

    private fun isSilent(peer: RankPeer) = nowMillis() - peer.lastReportAtMillis > silenceTimeoutMillis(activeCoordinator?.size ?: 1)

    /** Sends the orders that are due, and requests a plan if the group is settled. */
    private fun advance() {
        val coordinator = activeCoordinator ?: return
        coordinator.ordersDue(nowMillis()).forEach { order ->
            peers[order.rank]?.let { peer -> orders.send(order, peer, isSilent(peer), proposedMap) }
        }
        phaseLog.logIfChanged(coordinator)
        if (coordinator.phase is MapPhase.Deposed || coordinator.isSettled && fences?.isUsedUpAt(coordinator.fence) == true) {
            // The store may still name this process, which then begins again under higher tokens.
            spentFences = fences
            activeCoordinator = null
        } else if (coordinator.isSettled && !isPlanning) {
            requestPlan(coordinator)
        }
    }

    private fun mayCallRanks() = settings.limits.isFencingRequired || isLeaseValid()

    private fun requestPlan(coordinator: MapChangeCoordinator) {
        val model = engineModel.model ?: return
        val mapVersion = coordinator.mapVersion ?: return
        recordExpertsOfNewMap(mapVersion)
        val experts =
            coordinator.lastReadings.keys
                .sorted()
                .map { expertsOrNull(it, mapVersion) ?: return }
        val demand = demandWindow.demand(model.expertSets, nowMillis()) ?: return
        if (nowMillis() - lastPlanAtMillis < PLAN_INTERVAL_MILLIS) return
        lastPlanAtMillis = nowMillis()
        load.onChangeOver()
        orders.onChangeOver()
        val policy = GroupPlacementPolicy(model.newExpertsPerChange, model.expertsLoadedIn(MAX_EXPERT_LOAD_MILLIS), MIN_SKEW, TARGET_SKEW)
        isPlanning = planner.offer(PlanRequest(groupMapOf(experts, model.slotsPerRank), demand, policy))
    }

    /** Records the experts of the proposed map, once it is in use, for ranks whose sides have not reported them yet. */
    private fun recordExpertsOfNewMap(mapVersion: Long) {
        val map = proposedMap?.takeIf { mapVersion == proposedMapVersion } ?: return
        peers.entries.filter { it.value.experts?.mapVersion != mapVersion }.forEach { (rank, peer) ->
            val experts = HeldExperts(mapVersion, map.sets.indices.map { map.expertsOf(it, rank).distinct() })
            peers[rank] = RankPeer(peer.address, peer.link, experts, peer.lastReportAtMillis, peer.mapForm)
        }
    }

    private fun expertsOrNull(rank: Int, mapVersion: Long) = peers[rank]?.experts?.takeIf { it.mapVersion == mapVersion }?.sets

    private fun plan(request: PlanRequest) {
        val planStartedAtMillis = nowMillis()
        val plan = planQuickestPlacement(request.map, request.demand, request.policy, ACCEPTABLE_SKEW)
        offer(CoordinatorMessage.PlanResult(plan, nowMillis() - planStartedAtMillis))
    }

    private companion object {
        const val PLANNER_TICK_INTERVAL_MILLIS = 1_000L

        // Planning takes little time compared with the second within which demand shifts.
        const val PLAN_INTERVAL_MILLIS = 150L
    }
}

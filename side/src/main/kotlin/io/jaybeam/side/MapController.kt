/*
 * Changes the expert map of the target's engine. Each round reads all ranks and sends the orders that their state requires,
 * so that lost orders are sent again and a change that another side process began is completed.
 */
package io.jaybeam.side

import io.jaybeam.core.config.Bundle
import io.jaybeam.core.placement.ExpertMap
import io.jaybeam.core.placement.LayerLoad
import io.jaybeam.core.placement.PlacementPolicy
import io.jaybeam.core.placement.planPlacement
import io.jaybeam.core.rankgroup.MapChangeAction
import io.jaybeam.core.rankgroup.MapVersionSequence
import io.jaybeam.core.rankgroup.RankMapState
import io.jaybeam.core.rankgroup.RankOrder
import io.jaybeam.core.rankgroup.nextMapChangeAction
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.runtime.log.LogClient
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import kotlinx.serialization.json.Json
import kotlin.concurrent.thread

/** Name of the log stream in which each side process records its start; the record's offset determines its fencing token. */
internal const val SIDES_STREAM = "sides"

private const val IDLE_INTERVAL_MILLIS = 500L
private const val ORDER_INTERVAL_MILLIS = 10L
private const val PREPARE_INTERVAL_MILLIS = 50L
private const val CHANGE_TIMEOUT_MILLIS = 60_000L

/** A map to which all ranks are to switch. */
private data class DesiredMap(
    val version: Long,
    val expertBySlot: List<Int>,
    val setAtMillis: Long,
)

/** Runs map changes on one worker thread. */
internal class MapController(
    private val self: TargetIncarnation,
    private val groupClient: RankGroupClient,
    private val logClient: LogClient,
    private val currentBundle: () -> Bundle?,
    private val events: EventLog,
) : AutoCloseable {
    private var versionSequence: MapVersionSequence? = null
    private var desired: DesiredMap? = null

    @Volatile
    private var isRunning = true

    /** Version at which all ranks last ran, or -1 if unknown. */
    @Volatile
    var settledVersion: Long = -1
        private set

    fun start() {
        thread(name = "expert-map", isDaemon = true) {
            while (isRunning) {
                val pauseMillis =
                    try {
                        runRound()
                    } catch (e: Exception) {
                        events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", "expert-map"), LogField("detail", e.toString()))
                        IDLE_INTERVAL_MILLIS
                    }
                Thread.sleep(pauseMillis)
            }
        }
    }

    /** Ends the worker loop after the current round. A change in progress is left for another side process to complete. */
    override fun close() {
        isRunning = false
    }

    /** Runs one round and returns the pause before the next, in milliseconds. */
    private fun runRound(): Long {
        val group = groupClient.readGroupOrNull() ?: return IDLE_INTERVAL_MILLIS
        val versions = versionSequenceOrNull() ?: return IDLE_INTERVAL_MILLIS
        abandonIfTimedOut(group)
        return when (val action = nextMapChangeAction(group.ranks.map { it.toMapState() }, desired?.version)) {
            is MapChangeAction.Send -> sendOrders(group, versions, action.orders)
            is MapChangeAction.Settled -> onSettled(group, action.version, versions)
            is MapChangeAction.NeedsDesiredVersion -> chooseNewestMap(group, versions)
        }
    }

    private fun sendOrders(group: ReportedGroup, versions: MapVersionSequence, orders: List<RankOrder>): Long {
        orders.forEach { groupClient.sendOrder(it, group.incarnation, versions.fence, desired?.expertBySlot.orEmpty()) }
        return if (orders.all { it is RankOrder.Prepare }) PREPARE_INTERVAL_MILLIS else ORDER_INTERVAL_MILLIS
    }

    private fun onSettled(group: ReportedGroup, version: Long, versions: MapVersionSequence): Long {
        if (desired?.version == version) events.write(LogEvent.MAP_CHANGED, LogField("version", "$version"))
        desired = null
        settledVersion = version
        planChange(group, versions)
        return IDLE_INTERVAL_MILLIS
    }

    private fun planChange(group: ReportedGroup, versions: MapVersionSequence) {
        val placement = currentBundle()?.expertPlacement ?: return
        val experts = groupClient.readExpertsOrNull() ?: return
        val current = ExpertMap(placement.slotsPerRank, group.ranks.first().expertBySlot)
        if (current.expertBySlot.size != placement.slotsPerRank * group.ranks.size) return
        val maxMoves = (placement.maxBytesPerMove / maxOf(experts.bytesPerExpert, 1)).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
        val policy = PlacementPolicy(maxMoves, placement.minGainPercent.toDouble())
        val plan = planPlacement(current, LayerLoad(experts.loadByExpert, experts.speedByRank), policy) ?: return
        desired = DesiredMap(versions.next(), plan.map.expertBySlot, monotonicMillis())
    }

    /** Another side process left the ranks at different versions: all switch to the newest map, under a new version. */
    private fun chooseNewestMap(group: ReportedGroup, versions: MapVersionSequence): Long {
        val newest = group.ranks.maxBy { it.version }
        val version = versions.next()
        if (version < newest.version) return IDLE_INTERVAL_MILLIS
        desired = DesiredMap(version, newest.expertBySlot, monotonicMillis())
        return ORDER_INTERVAL_MILLIS
    }

    /** Abandons a change if the weights are not loaded in time and all ranks still run at the old version. */
    private fun abandonIfTimedOut(group: ReportedGroup) {
        val pending = desired ?: return
        val isUnstarted =
            group.ranks
                .map { it.version }
                .toSet()
                .size == 1 && group.ranks.none { it.isHeld }
        if (!isUnstarted || monotonicMillis() - pending.setAtMillis < CHANGE_TIMEOUT_MILLIS) return
        events.write(LogEvent.MAP_CHANGE_ABANDONED, LogField("version", "${pending.version}"))
        desired = null
    }

    /** Records the start of this side process in the log once; no orders are sent without the fencing token obtained from it. */
    private fun versionSequenceOrNull(): MapVersionSequence? {
        versionSequence?.let { return it }
        val record = Json.encodeToString(TargetIncarnation.serializer(), self)
        versionSequence = logClient.append(SIDES_STREAM, record).getOrNull()?.let { MapVersionSequence(it + 1) }
        return versionSequence
    }

    private fun ReportedRank.toMapState() = RankMapState(rank, version, preparedVersion, isHeld)
}

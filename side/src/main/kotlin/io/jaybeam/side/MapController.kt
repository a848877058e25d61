/*
 * Changes the expert map of the engine beside this process. Every round starts from a fresh read of all ranks, so
 * that a lost order is given again and a change that another side began is finished.
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

/** Name of the log stream in which each side records its start; the offset is its fencing number. */
internal const val SIDES_STREAM = "sides"

private const val IDLE_MILLIS = 500L
private const val ROUND_MILLIS = 10L
private const val PREPARE_MILLIS = 50L
private const val ABANDON_MILLIS = 60_000L

/** A map that all ranks are to move to. */
private data class MapGoal(
    val version: Long,
    val map: List<Int>,
    val setAtMillis: Long,
)

/** Runs map changes on one thread. */
internal class MapController(
    private val self: TargetIncarnation,
    private val group: RankGroupClient,
    private val log: LogClient,
    private val bundle: () -> Bundle?,
    private val events: EventLog,
) : AutoCloseable {
    private var versions: MapVersionSequence? = null
    private var goal: MapGoal? = null

    @Volatile
    private var running = true

    /** Version that all ranks run at, or -1 while unknown. */
    @Volatile
    var settledVersion: Long = -1
        private set

    fun start() {
        thread(name = "expert-map", isDaemon = true) {
            while (running) {
                val pauseMillis =
                    try {
                        round()
                    } catch (e: Exception) {
                        events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", "expert-map"), LogField("detail", e.toString()))
                        IDLE_MILLIS
                    }
                Thread.sleep(pauseMillis)
            }
        }
    }

    /** Begins no further change; one under way is finished first if it has reached a hold. */
    override fun close() {
        running = false
    }

    /** Does one round and returns how long to wait before the next, in milliseconds. */
    private fun round(): Long {
        val read = group.readOrNull() ?: return IDLE_MILLIS
        val numbers = versionsOrNull() ?: return IDLE_MILLIS
        abandonIfStuck(read)
        return when (val round = nextMapChangeAction(read.ranks.map { it.view() }, goal?.version)) {
            is MapChangeAction.Send -> give(read, numbers, round.orders)
            is MapChangeAction.Settled -> settled(read, round.version, numbers)
            is MapChangeAction.NeedsDesiredVersion -> finishForeignChange(read, numbers)
        }
    }

    private fun give(read: ReportedGroup, numbers: MapVersionSequence, orders: List<RankOrder>): Long {
        orders.forEach { group.give(it, read.incarnation, numbers.fence, goal?.map.orEmpty()) }
        return if (orders.all { it is RankOrder.Prepare }) PREPARE_MILLIS else ROUND_MILLIS
    }

    private fun settled(read: ReportedGroup, version: Long, numbers: MapVersionSequence): Long {
        if (goal?.version == version) events.write(LogEvent.MAP_CHANGED, LogField("version", "$version"))
        goal = null
        settledVersion = version
        plan(read, numbers)
        return IDLE_MILLIS
    }

    private fun plan(read: ReportedGroup, numbers: MapVersionSequence) {
        val placement = bundle()?.expertPlacement ?: return
        val experts = group.expertsOrNull() ?: return
        val current = ExpertMap(placement.slotsPerRank, read.ranks.first().map)
        if (current.expertBySlot.size != placement.slotsPerRank * read.ranks.size) return
        val maxMoves = (placement.maxBytesPerMove / maxOf(experts.bytesPerExpert, 1)).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
        val policy = PlacementPolicy(maxMoves, placement.minGainPercent.toDouble())
        val plan = planPlacement(current, LayerLoad(experts.loadByExpert, experts.speedByRank), policy) ?: return
        goal = MapGoal(numbers.next(), plan.map.expertBySlot, monotonicMillis())
    }

    /** Another side left ranks at different versions: all move on to the newest map, under a version of this side's. */
    private fun finishForeignChange(read: ReportedGroup, numbers: MapVersionSequence): Long {
        val newest = read.ranks.maxBy { it.version }
        val version = numbers.next()
        if (version < newest.version) return IDLE_MILLIS
        goal = MapGoal(version, newest.map, monotonicMillis())
        return ROUND_MILLIS
    }

    /** Gives up a change whose weights do not arrive, while every rank still runs at the old version. */
    private fun abandonIfStuck(read: ReportedGroup) {
        val stuck = goal ?: return
        val untouched =
            read.ranks
                .map { it.version }
                .toSet()
                .size == 1 && read.ranks.none { it.held }
        if (!untouched || monotonicMillis() - stuck.setAtMillis < ABANDON_MILLIS) return
        events.write(LogEvent.MAP_CHANGE_ABANDONED, LogField("version", "${stuck.version}"))
        goal = null
    }

    /** Records this side's start in the log once; without a fencing number it gives no orders. */
    private fun versionsOrNull(): MapVersionSequence? {
        versions?.let { return it }
        val record = Json.encodeToString(TargetIncarnation.serializer(), self)
        versions = log.append(SIDES_STREAM, record).getOrNull()?.let { MapVersionSequence(it + 1) }
        return versions
    }

    private fun ReportedRank.view() = RankMapState(rank, version, prepared, held)
}

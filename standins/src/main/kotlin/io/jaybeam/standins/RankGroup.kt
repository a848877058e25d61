/*
 * The ranks of an engine: they step together, each with its own expert map, and take orders one rank at a time.
 */
package io.jaybeam.standins

import kotlinx.serialization.Serializable
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/** An order to one rank; [expected] is the map version that the rank must have. */
@Serializable
internal data class RankOrder(
    val incarnation: String,
    val fence: Long,
    val expected: Long,
    val version: Long = -1,
    val map: List<Int> = emptyList(),
)

/** How a rank stands. */
@Serializable
internal data class RankState(
    val rank: Int,
    val version: Long,
    val prepared: Long,
    val held: Boolean,
    val map: List<Int>,
)

/** How the group stands, and what its steps recorded. */
@Serializable
internal data class GroupState(
    val incarnation: String,
    val ranks: List<RankState>,
    val steps: Long,
    val mixedSteps: Long,
    val lastStepRankMillis: List<Double>,
)

private class Rank(
    var version: Long = 0,
    var map: List<Int> = emptyList(),
    var preparing: Long = -1,
    var prepared: Long = -1,
    var preparedMap: List<Int> = emptyList(),
    var held: Boolean = false,
    var stallMillis: Long = 0,
)

/**
 * A group of [size] ranks.
 *
 * @property fenced whether ranks refuse orders with an old fencing number.
 */
internal class RankGroup(
    size: Int,
    private val incarnation: String,
    private val fenced: Boolean,
    initialMap: List<Int>,
    private val loadWeights: (slots: Int) -> Unit,
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val ranks = List(size) { Rank(map = initialMap) }
    private var highestFence = -1L
    private var steps = 0L
    private var mixedSteps = 0L

    /** Number of steps taken. */
    val stepCount: Long get() = lock.withLock { steps }

    /** Takes one step if no rank is held; returns how much longer the slowest rank makes it. */
    fun stepOrNull(): Long? =
        lock.withLock {
            if (ranks.any { it.held }) return null
            if (ranks.map { it.version }.distinct().size > 1) mixedSteps += 1
            steps += 1
            changed.signalAll()
            ranks.maxOf { it.stallMillis }
        }

    /** Waits until more than [seen] steps were taken; returns the count. */
    fun awaitStep(seen: Long): Long =
        lock.withLock {
            while (steps <= seen) changed.await()
            steps
        }

    fun stall(rank: Int, millis: Long) = lock.withLock { ranks[rank].stallMillis = millis }

    /** Starts to load the weights of a map; the rank is prepared once they are there. */
    fun prepare(rank: Int, order: RankOrder): Boolean =
        obey(rank, order) {
            if (it.preparing != order.version) {
                it.preparing = order.version
                thread(isDaemon = true) { load(it, order) }
            }
            true
        }

    private fun load(rank: Rank, order: RankOrder) {
        loadWeights(rank.map.zip(order.map).count { (before, after) -> before != after } / ranks.size + 1)
        lock.withLock {
            if (rank.preparing != order.version) return
            rank.prepared = order.version
            rank.preparedMap = order.map
        }
    }

    fun hold(rank: Int, order: RankOrder): Boolean =
        obey(rank, order) {
            it.held = true
            true
        }

    fun switch(rank: Int, order: RankOrder): Boolean =
        obey(rank, order) {
            if (!it.held || it.prepared != order.version || order.version <= it.version) return@obey false
            it.version = it.prepared
            it.map = it.preparedMap
            true
        }

    fun resume(rank: Int, order: RankOrder): Boolean =
        obey(rank, order) {
            it.held = false
            true
        }

    fun state(): GroupState =
        lock.withLock {
            val states = ranks.mapIndexed { index, rank -> RankState(index, rank.version, rank.prepared, rank.held, rank.map) }
            GroupState(incarnation, states, steps, mixedSteps, ranks.map { 1.0 + it.stallMillis })
        }

    private fun obey(rank: Int, order: RankOrder, action: (Rank) -> Boolean): Boolean =
        lock.withLock {
            if (order.incarnation != incarnation) return false
            if (fenced && order.fence < highestFence) return false
            highestFence = maxOf(highestFence, order.fence)
            if (ranks[rank].version != order.expected) return false
            action(ranks[rank])
        }
}

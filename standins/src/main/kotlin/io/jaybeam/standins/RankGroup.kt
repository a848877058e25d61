/*
 * The ranks of a model engine. They take lock-step forward passes ("steps"), each rank with its own expert map, and accept
 * orders for one rank at a time.
 */
package io.jaybeam.standins

import kotlinx.serialization.Serializable
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/** An order for one rank. The rank refuses it unless it runs map version [expected]. */
@Serializable
internal data class RankOrder(
    val incarnation: String,
    val fence: Long,
    val expected: Long,
    val version: Long = -1,
    val map: List<Int> = emptyList(),
)

/** State of one rank. */
@Serializable
internal data class RankState(
    val rank: Int,
    val version: Long,
    val prepared: Long,
    val held: Boolean,
    val map: List<Int>,
)

/** State of the group with counts of its steps; a mixed step is one in which ranks ran different map versions. */
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
    var preparingVersion: Long = -1,
    var preparedVersion: Long = -1,
    var preparedMap: List<Int> = emptyList(),
    var isHeld: Boolean = false,
    var stallMillis: Long = 0,
)

/**
 * A group of [size] ranks that step together. Thread-safe.
 *
 * @property fenced whether ranks refuse orders with a stale fencing token.
 */
internal class RankGroup(
    size: Int,
    private val incarnation: String,
    private val fenced: Boolean,
    initialMap: List<Int>,
    private val loadWeights: (slots: Int) -> Unit,
) {
    private val lock = ReentrantLock()
    private val stepTaken = lock.newCondition()
    private val ranks = List(size) { Rank(map = initialMap) }
    private var highestFence = -1L
    private var steps = 0L
    private var mixedSteps = 0L

    /** Number of steps taken. */
    val stepCount: Long get() = lock.withLock { steps }

    /** Takes one step and returns the delay in milliseconds that the slowest rank adds; returns null if a rank is held. */
    fun stepOrNull(): Long? =
        lock.withLock {
            if (ranks.any { it.isHeld }) return null
            if (ranks.map { it.version }.distinct().size > 1) mixedSteps += 1
            steps += 1
            stepTaken.signalAll()
            ranks.maxOf { it.stallMillis }
        }

    /** Waits until the step count exceeds [lastStep] and returns it. */
    fun awaitStep(lastStep: Long): Long =
        lock.withLock {
            while (steps <= lastStep) stepTaken.await()
            steps
        }

    fun setStall(rank: Int, millis: Long) = lock.withLock { ranks[rank].stallMillis = millis }

    /** Starts loading the weights of the order's map; the rank is prepared once they are loaded. */
    fun prepare(rank: Int, order: RankOrder): Boolean =
        applyIfCurrent(rank, order) {
            if (it.preparingVersion != order.version) {
                it.preparingVersion = order.version
                thread(isDaemon = true) { loadMap(it, order) }
            }
            true
        }

    private fun loadMap(rank: Rank, order: RankOrder) {
        loadWeights(rank.map.zip(order.map).count { (before, after) -> before != after } / ranks.size + 1)
        lock.withLock {
            if (rank.preparingVersion != order.version) return
            rank.preparedVersion = order.version
            rank.preparedMap = order.map
        }
    }

    fun hold(rank: Int, order: RankOrder): Boolean =
        applyIfCurrent(rank, order) {
            it.isHeld = true
            true
        }

    fun switch(rank: Int, order: RankOrder): Boolean =
        applyIfCurrent(rank, order) {
            if (!it.isHeld || it.preparedVersion != order.version || order.version <= it.version) return@applyIfCurrent false
            it.version = it.preparedVersion
            it.map = it.preparedMap
            true
        }

    fun resume(rank: Int, order: RankOrder): Boolean =
        applyIfCurrent(rank, order) {
            it.isHeld = false
            true
        }

    fun state(): GroupState =
        lock.withLock {
            val rankStates = ranks.mapIndexed { index, rank -> RankState(index, rank.version, rank.preparedVersion, rank.isHeld, rank.map) }
            GroupState(incarnation, rankStates, steps, mixedSteps, ranks.map { 1.0 + it.stallMillis })
        }

    private fun applyIfCurrent(rank: Int, order: RankOrder, action: (Rank) -> Boolean): Boolean =
        lock.withLock {
            if (order.incarnation != incarnation) return false
            if (fenced && order.fence < highestFence) return false
            highestFence = maxOf(highestFence, order.fence)
            if (ranks[rank].version != order.expected) return false
            action(ranks[rank])
        }
}

/*
 * All sides of a group restart before their registrations in the store expire, so that the coordinator is the same process
 * address in the same generation of the store as before.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankPort
import java.net.BindException
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val AWAIT_MILLIS = 10_000L
private const val SETTLING_MILLIS = 1_500L

/** A client of [rank] that leaves some orders unanswered; [deliver] carries them out later. */
private class DelayingRankPort(
    private val rank: RankPort,
) : RankPort by rank {
    private val delayedOrders = CopyOnWriteArrayList<Pair<FencedOrder, GroupMap?>>()

    @Volatile
    var isDelayed: (FencedOrder) -> Boolean = { false }

    val hasDelayedOrders: Boolean get() = delayedOrders.isNotEmpty()

    override fun sendOrder(order: FencedOrder, map: GroupMap?): OrderOutcome {
        if (!isDelayed(order)) return rank.sendOrder(order, map)
        delayedOrders += order to map
        return OrderOutcome.UNKNOWN
    }

    fun deliver() {
        delayedOrders.forEach { (order, map) -> rank.sendOrder(order, map) }
    }
}

internal class RestartedCoordinatorTest {
    private val group = InProcessGroup()
    private val store = InProcessStore()
    private val ports = group.ranks.map { DelayingRankPort(it) }
    private val settings = ports.indices.map(::sideSettings)
    private var sides = startSides()

    @AfterTest
    fun close() {
        sides.forEach { it.stop() }
        group.close()
    }

    // Guards against fencing tokens, and versions of maps made of them, that repeat after a restart (MAP).
    @Test
    fun `a late order of the time before a restart is not taken for one of the time after it`() {
        settle()
        ports.forEach { it.isDelayed = { order -> order is FencedOrder.Prepare } }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        await("orders to prepare a map") { ports.all { it.hasDelayedOrders } }
        group.demand = List(group.demand.size) { 10L }
        restartSides()
        ports.first().deliver()
        group.demand = listOf(10, 10, 10, 10, 80, 90)
        group.awaitMapNewerThan(0)
        Thread.sleep(SETTLING_MILLIS)
        assertEquals(0, group.passesWithMixedMaps, "passes with two maps")
    }

    // Guards against a coordinator that stops for good because ranks have seen tokens of its process before the restart (RECOVER).
    @Test
    fun `a pass that is held during a restart is released`() {
        settle()
        ports.forEach { it.isDelayed = { order -> order is FencedOrder.Arm } }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        await("a held pass") { group.ranks.any { it.heldPass != null } && ports.any { it.hasDelayedOrders } }
        restartSides()
        val heldPass = group.lastPass
        await("a pass after the held one") { group.lastPass > heldPass + 1 }
        group.awaitMapNewerThan(0)
        assertEquals(0, group.passesWithMixedMaps, "passes with two maps")
    }

    /**
     * Waits until all sides have joined the group, and lets no registration expire from then on.
     *
     * A coordinator that began before the last side had joined has tokens of an earlier generation, so all start once more.
     */
    private fun settle() {
        Thread.sleep(SETTLING_MILLIS)
        store.isExpiring = false
        restartSides()
    }

    private fun restartSides() {
        val generation = store.generation
        sides.forEach { it.stop() }
        ports.forEach { it.isDelayed = { false } }
        settings.forEach { await("free port") { isFree(it.peerAddress) } }
        sides = startSides()
        Thread.sleep(SETTLING_MILLIS)
        assertTrue(store.generation == generation, "the store has begun a new generation, so this test shows nothing")
    }

    private fun startSides() =
        settings.indices.map { number ->
            RankSideProcess(settings[number], store, ports[number], Clock.System) { address ->
                ports[address.port - FIRST_TARGET_PORT]
            }.also { it.start() }
        }

    private fun isFree(address: HostPort): Boolean =
        try {
            ServerSocket(address.port).close()
            true
        } catch (e: BindException) {
            false
        }

    private fun await(what: String, isReached: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + AWAIT_MILLIS * NANOS_PER_MILLI
        while (!isReached()) {
            check(System.nanoTime() < deadlineNanos) { "no $what within $AWAIT_MILLIS ms" }
            Thread.sleep(PASS_INTERVAL_MILLIS)
        }
    }
}

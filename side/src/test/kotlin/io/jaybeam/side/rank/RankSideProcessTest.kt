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

private const val SEARCH_DURATION_MILLIS = 2_500L

internal class RankSideProcessTest {
    private val group = InProcessGroup()
    private val otherGroup = InProcessGroup()
    private val ordersToOtherGroup = CopyOnWriteArrayList<FencedOrder>()
    private val store = InProcessStore()
    private val ports = group.ranks.map { FreezableRankPort(it) }
    private val sides = ports.indices.map { number -> sideSettings(number).let { it.peerAddress to side(it, number) } }

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
        val firstVersion = group.awaitMapNewerThan(0)
        val coordinator = checkNotNull(store.coordinator)
        sides.first { it.first == coordinator }.second.stop()
        // The rank of the stopped side is not reported until a new side process has started.
        val number = sides.indexOfFirst { it.first == coordinator }
        val address = sides[number].first
        val replacement = side(sideSettings(number), number)
        replacement.start()
        group.demand = listOf(10, 10, 10, 10, 80, 90)
        group.awaitMapNewerThan(firstVersion)
        assertTrue(store.coordinator != address)
        replacement.stop()
        assertEquals(emptyList(), synchronized(group) { group.mapVersionsByPass.filter { it.size > 1 } })
    }

    @Test
    fun `the map follows demand while the side of a rank is frozen`() {
        sides.forEach { (_, side) -> side.start() }
        group.demand = listOf(90, 80, 10, 10, 10, 10)
        val firstVersion = group.awaitMapNewerThan(0)
        val frozenPort = ports[sides.indexOfFirst { it.first != store.coordinator }]
        frozenPort.isFrozen = true
        group.demand = listOf(10, 10, 10, 10, 80, 90)
        group.awaitMapNewerThan(firstVersion)
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
}

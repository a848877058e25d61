/*
 * The chances that are stated of targets and groups are those with which requests go there.
 */
package io.jaybeam.core.fleet

import io.jaybeam.core.cost.Backlog
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.cost.costEngine
import io.jaybeam.core.cost.rank
import kotlin.math.abs
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val DRAWS = 4_000
private const val TOLERANCE = 0.04

internal class PlacementChancesTest {
    private val engine = costEngine()
    private val cost = RequestCost(readMillis = 20.0, answerTokens = 100.0, memoryTokens = 900.0)

    private fun load(
        index: Int,
        requests: Int,
        isReported: Boolean,
        dataCentre: String = "north",
        freeMemoryTokens: Double? = null,
    ) = TargetLoad(
        rank(index, dataCentre),
        requests,
        0,
        Backlog(requests, answerTokens = requests * 60.0, isReported = isReported, freeMemoryTokens = freeMemoryTokens),
    )

    private fun assertDrawnAsStated(candidates: List<TargetLoad>, request: PlacementRequest) {
        val chances = targetChances(candidates, "north", request)
        val random = Random(7)
        val drawn = List(DRAWS) { chooseTarget(candidates, "north", random, request) }.groupingBy { it?.id }.eachCount()
        assertEquals(1.0, chances.sumOf { it.chance }, 1e-9)
        chances.forEach {
            val share = (drawn[it.load.target.id] ?: 0).toDouble() / DRAWS
            assertTrue(abs(share - it.chance) < TOLERANCE, "${it.load.target.id}: drawn $share, stated ${it.chance}")
        }
    }

    @Test
    fun `with reports and unseen requests of other entries`() {
        val candidates = List(6) { load(it, requests = it, isReported = true, dataCentre = if (it % 2 == 0) "north" else "south") }
        assertDrawnAsStated(candidates, PlacementRequest(cost, engine, unseenRequests = 4.0))
    }

    @Test
    fun `with reports and no unseen requests`() {
        val candidates = List(4) { load(it, requests = 2, isReported = true, dataCentre = if (it < 2) "south" else "north") }
        assertDrawnAsStated(candidates, PlacementRequest(cost, engine))
    }

    @Test
    fun `without reports`() {
        val candidates = List(6) { load(it, requests = it / 3, isReported = false, dataCentre = if (it % 2 == 0) "north" else "south") }
        assertDrawnAsStated(candidates, PlacementRequest(cost, engine, unseenRequests = 4.0))
    }

    @Test
    fun `where costs are not known`() {
        val candidates = List(5) { load(it, requests = it / 2, isReported = false) }
        assertDrawnAsStated(candidates, PlacementRequest())
        assertTrue(targetChances(candidates, "north").all { it.expectedMillis == null })
    }

    @Test
    fun `a target without memory for the request has no chance beside one with it`() {
        val full = load(0, requests = 0, isReported = true, freeMemoryTokens = 10.0)
        val roomy = load(1, requests = 3, isReported = true, freeMemoryTokens = 50_000.0)
        val chances = targetChances(listOf(full, roomy), "north", PlacementRequest(cost, engine, unseenRequests = 4.0))
        assertEquals(listOf(0.0, 1.0), chances.map { it.chance })
    }

    @Test
    fun `groups are drawn with the chances that are stated`() {
        val options =
            listOf(
                GroupOption("a", true, 32, 60, requestCount = 40, ownStarts = 0, ownInFlight = 2),
                GroupOption("b", true, 16, 60, requestCount = 19, ownStarts = 0, ownInFlight = 2),
                GroupOption("c", true, 32, 90, requestCount = 80, ownStarts = 0, ownInFlight = 2),
                GroupOption("d", false, 32, 0, requestCount = 0, ownStarts = 0, ownInFlight = 0),
            )
        val random = Random(7)
        val drawn = List(DRAWS) { chooseGroup(options, 5, random) }.groupingBy { it }.eachCount()
        val chances = groupChances(options, 5)
        chances.forEach {
            val share = (drawn[it.option.group] ?: 0).toDouble() / DRAWS
            assertTrue(abs(share - it.chance) < TOLERANCE, "${it.option.group}: drawn $share, stated ${it.chance}")
        }
        assertNull(chances.single { it.option.group == "d" }.relativeTime)
    }

    @Test
    fun `a service with one group is served as a whole`() {
        val only = GroupOption("a", true, 32, 60, requestCount = 40, ownStarts = 0, ownInFlight = 2)
        assertEquals(listOf(0.0), groupChances(listOf(only), 5).map { it.chance })
    }
}

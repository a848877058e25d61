package io.jaybeam.core.fleet

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val NANOS_PER_SECOND = 1_000_000_000L

internal class FleetDecisionsTest {
    private var nowNanos = 0L
    private val limiter = ColdStartRateLimiter { nowNanos }

    @Test
    fun `all instances together keep to the rate limit of a target in cold start in every second`() {
        val random = Random(4)
        val instances = List(5) { ColdStartRateLimiter { nowNanos } }
        val sent = mutableListOf<Long>()
        repeat(20_000) {
            nowNanos += random.nextLong(NANOS_PER_SECOND / 500)
            if (instances.random(random).tryAcquire("t", coldStartRatePerInstance(36.0, instances.size))) sent += nowNanos
        }
        val maxSent = sent.indices.maxOf { first -> sent.drop(first).takeWhile { it < sent[first] + NANOS_PER_SECOND }.size }
        assertTrue(maxSent in 30..36, "$maxSent requests in one second")
    }

    @Test
    fun `a target in cold start has capacity again after one second`() {
        assertTrue(limiter.tryAcquire("t", 1.0))
        assertFalse(limiter.hasCapacity("t", 1.0) || limiter.tryAcquire("t", 1.0))
        assertTrue(limiter.hasCapacity("other", 1.0))
        nowNanos = NANOS_PER_SECOND + 1
        assertTrue(limiter.tryAcquire("t", 1.0))
    }

    @Test
    fun `the route with the longest prefix is matched and a key identifies its organisation`() {
        val table = RouteTable(config(route("/a/", isPublic = false), route("/a/b/", isPublic = true)))
        assertEquals("/a/b/", assertIs<RouteMatch.Allowed>(table.match("Shop.Example:80", "/a/b/c", null)).route.pathPrefix)
        assertEquals("lens", assertIs<RouteMatch.Allowed>(table.match("shop.example", "/a/c", "k")).organisation)
        assertEquals(RouteMatch.UnknownKey, table.match("shop.example", "/a/c", "other"))
        assertEquals(RouteMatch.NoRoute, table.match("shop.example", "/b/c", "k"))
        assertEquals(RouteMatch.NoRoute, table.match("other.example", "/a/c", "k"))
    }

    @Test
    fun `requests are distributed over the services of a route by weight`() {
        val route = route("/a/", isPublic = true).copy(services = listOf(WeightedService("x", 90), WeightedService("y", 10)))
        assertEquals(900, (0 until 1_000).count { selectService(route, it / 1_000.0) == "x" })
    }

    @Test
    fun `the target with the lowest load per slot is chosen and among equals one in the local data centre`() {
        val near = target("near", "north", slots = 8)
        val far = target("far", "south", slots = 16)
        assertEquals(far, chooseTarget(listOf(TargetLoad(near, 3, 0), TargetLoad(far, 4, 0)), "north", Random(1)))
        assertEquals(near, chooseTarget(listOf(TargetLoad(near, 2, 0), TargetLoad(far, 4, 0)), "north", Random(1)))
        assertEquals(far, chooseTarget(listOf(TargetLoad(near, 0, 1), TargetLoad(far, 4, 0)), "north", Random(1)))
        assertNull(chooseTarget(emptyList(), "north", Random(1)))
    }

    @Test
    fun `draining targets and targets of data centres out of service are not available`() {
        val draining = target("l", "north", 8).copy(isDraining = true)
        val table =
            TargetTable().withUpdates(
                listOf(draining, target("n", "north", 8), target("s", "south", 8)).map { TargetUpdate.Announced(it) },
            )
        assertEquals(listOf("s"), table.availableTargets("plain", setOf("north")).map { it.id })
        assertEquals(
            listOf("n"),
            table.withUpdates(listOf(TargetUpdate.Withdrawn("s"))).availableTargets("plain", emptySet()).map { it.id },
        )
    }

    private fun config(vararg routes: Route) =
        FleetConfig(1, routes.toList(), emptyList(), listOf(Organisation("lens", setOf("k"))), CallerLimits(1, 1, 1, 1))

    private fun route(prefix: String, isPublic: Boolean) =
        Route(prefix, "shop.example", prefix, RouteKind.IDEMPOTENT, 1, 1, 1, listOf(WeightedService("x", 1)), 1, isPublic, false, 0)

    private fun target(id: String, dataCentre: String, slots: Int) =
        FleetTarget(
            id,
            "plain",
            "127.0.0.1",
            1,
            dataCentre,
            slots,
            isDraining = false,
            remainingColdStartMillis = 0,
            startedAtEpochMillis = 0,
        )
}

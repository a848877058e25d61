package io.jaybeam.core.routing

import io.jaybeam.core.ticket.TargetIncarnation
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class RouterTest {
    private fun target(name: String, inFlight: Int) = TargetSnapshot(TargetIncarnation(name, "a"), "chat", "pdx", 10, inFlight, 0, 0)

    @Test
    fun `no target is picked without candidates`() {
        assertNull(Router(Random(1)).pick(emptyList(), 5))
    }

    @Test
    fun `a prefix is routed to the same target until that target is loaded`() {
        val router = Router(Random(1))
        val idle = List(6) { target("t$it", 1) }
        val preferred = checkNotNull(router.pick(idle, 42)).identity.instance
        assertTrue(List(20) { router.pick(idle, 42)?.identity?.instance }.all { it == preferred })
        val loaded = idle.map { if (it.identity.instance == preferred) it.copy(reportedInFlight = 9) else it }
        assertNotEquals(setOf<String?>(preferred), List(20) { router.pick(loaded, 42)?.identity?.instance }.toSet())
    }

    @Test
    fun `a straggler gets little work`() {
        val router = Router(Random(2))
        val targets = List(6) { target("t$it", 4).copy(stepMillis = if (it == 0) 24.0 else 12.0) }
        val picks = List(600) { checkNotNull(router.pick(targets, it.toLong())).identity.instance }
        assertTrue(picks.count { it == "t0" } < 40, "${picks.groupingBy { it }.eachCount()}")
    }

    @Test
    fun `an ordered pick contains each target once`() {
        val picked = Router(Random(3)).pickOrdered(List(5) { target("t$it", it) }, 3).map { it.identity.instance }
        assertEquals(3, picked.toSet().size)
    }

    @Test
    fun `subsets are stable and spread evenly`() {
        val names = List(100) { "target-$it" }
        assertEquals(subsetFor("entry-1", names, 10), subsetFor("entry-1", names.reversed(), 10))
        val useCounts = List(400) { subsetFor("entry-$it", names, 10) }.flatten().groupingBy { it }.eachCount()
        assertTrue(useCounts.size == 100 && useCounts.values.max() < 80, "$useCounts")
    }
}

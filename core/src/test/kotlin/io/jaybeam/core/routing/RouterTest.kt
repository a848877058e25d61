package io.jaybeam.core.routing

import io.jaybeam.core.ticket.TargetIncarnation
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class RouterTest {
    private fun view(name: String, inFlight: Int) = TargetView(TargetIncarnation(name, "a"), "chat", "pdx", 10, inFlight, 0, 0)

    @Test
    fun `no candidate gives no target`() {
        assertNull(Router(Random(1)).pick(emptyList(), 5))
    }

    @Test
    fun `a prefix finds the same target until that target is loaded`() {
        val router = Router(Random(1))
        val idle = List(6) { view("t$it", 1) }
        val home = checkNotNull(router.pick(idle, 42)).identity.instance
        assertTrue(List(20) { router.pick(idle, 42)?.identity?.instance }.all { it == home })
        val loaded = idle.map { if (it.identity.instance == home) it.copy(reportedInFlight = 9) else it }
        assertNotEquals(setOf<String?>(home), List(20) { router.pick(loaded, 42)?.identity?.instance }.toSet())
    }

    @Test
    fun `a straggler gets little work`() {
        val router = Router(Random(2))
        val targets = List(6) { view("t$it", 4).copy(stepMillis = if (it == 0) 24.0 else 12.0) }
        val picks = List(600) { checkNotNull(router.pick(targets, it.toLong())).identity.instance }
        assertTrue(picks.count { it == "t0" } < 40, "${picks.groupingBy { it }.eachCount()}")
    }

    @Test
    fun `an ordered pick names each target once`() {
        val picked = Router(Random(3)).pickOrdered(List(5) { view("t$it", it) }, 3).map { it.identity.instance }
        assertEquals(3, picked.toSet().size)
    }

    @Test
    fun `subsets are stable and spread evenly`() {
        val names = List(100) { "target-$it" }
        assertEquals(subsetFor("entry-1", names, 10), subsetFor("entry-1", names.reversed(), 10))
        val uses = List(400) { subsetFor("entry-$it", names, 10) }.flatten().groupingBy { it }.eachCount()
        assertTrue(uses.size == 100 && uses.values.max() < 80, "$uses")
    }
}

package io.jaybeam.scenarios

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

private const val RUNS = 8
private const val PORTS_PER_RUN = 250

internal class FreePortsTest {
    @Test
    fun `several runs on one machine get different ports`() {
        val runs = List(RUNS) { FreePorts() }
        try {
            val given = (1..PORTS_PER_RUN).flatMap { runs.map(FreePorts::next) }
            assertEquals(RUNS * PORTS_PER_RUN, given.toSet().size)
        } finally {
            runs.forEach { it.close() }
        }
    }

    @Test
    fun `a site that fails to start leaves no process running`() {
        val plan = FleetPlan(entries = 1, modelTargets = 1, plainTargets = 0)
        val fleet = Fleet(plan) { check(!it.startsWith("waiting for")) { "test" } }
        assertFailsWith<IllegalStateException> { fleet.start() }
        assertEquals(emptyList(), listOf("log", "entry-1", "side-model-1", "target-model-1").filter(fleet::isRunning))
    }
}

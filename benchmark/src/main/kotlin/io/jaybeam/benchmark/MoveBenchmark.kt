/*
 * Latency and failures while a data centre is taken out of service and back in, on real processes, with and without slow start.
 */
package io.jaybeam.benchmark

import io.jaybeam.scenarios.Caller
import io.jaybeam.scenarios.Fleet
import io.jaybeam.scenarios.FleetPlan
import io.jaybeam.scenarios.LoadGenerator
import io.jaybeam.scenarios.MODEL_SERVICE
import io.jaybeam.scenarios.inFlightRequests
import io.jaybeam.scenarios.setDataCentre
import kotlin.time.TimeSource

private const val CALLERS = 72
private const val TOKENS = 20
private const val STEADY_MILLIS = 6_000L
private const val AWAY_MILLIS = 3_000L
private const val BACK_MILLIS = 6_000L
private const val COLD_START_PROFILE = """{"coldConcurrency": 2, "warmConcurrency": 14, "coldMillis": 3000}"""

/** Takes a data centre out and in once for each plan, restarts its engines in between, and prints the results. */
internal fun benchmarkMove() {
    val slowStartPlan =
        FleetPlan(
            plainTargets = 0,
            engineProfile = COLD_START_PROFILE,
            initialConcurrency = 2,
            fullConcurrency = 12,
            slowStartMillis = 4_000,
        )
    val rows =
        listOf(
            measureMove("with the ramp", slowStartPlan),
            measureMove("without the ramp", slowStartPlan.copy(initialConcurrency = 12, slowStartMillis = 0)),
        )
    printTable(
        "Data centre out and in, engines restarted meanwhile, $CALLERS callers",
        listOf(
            "policy",
            "whole",
            "failed",
            "p95 ms before",
            "p95 ms during",
            "p95 ms after",
            "empty after ms",
            "full use after ms",
            "engines fallen",
        ),
        rows,
    )
}

private fun measureMove(name: String, plan: FleetPlan): List<String> =
    Fleet(plan, ::println).use { fleet ->
        fleet.start()
        runLoad(fleet, STEADY_MILLIS)
        val before = runLoad(fleet, STEADY_MILLIS)
        val dataCentre = plan.dataCentres.first()
        val moved = fleet.targets.filter { it.dataCentre == dataCentre && it.service == MODEL_SERVICE }
        val during = newLoad(fleet).start()
        fleet.setDataCentre(dataCentre, inService = false)
        val out = TimeSource.Monotonic.markNow()
        fleet.awaitCondition("empty") { fleet.inFlightRequests(dataCentre) == 0 }
        val emptyMillis = out.elapsedNow().inWholeMilliseconds
        moved.forEach { fleet.process("target-${it.instance}").kill() }
        moved.forEach { fleet.startTarget(it) }
        Thread.sleep(AWAY_MILLIS)
        fleet.setDataCentre(dataCentre, inService = true)
        val back = TimeSource.Monotonic.markNow()
        val minInFlight = CALLERS / plan.dataCentres.size / 2
        val fullMillis =
            runCatching {
                fleet.awaitCondition("full use of data centre $dataCentre", BACK_MILLIS * 2) {
                    fleet.inFlightRequests(dataCentre) >= minInFlight
                }
                "${back.elapsedNow().inWholeMilliseconds}"
            }.getOrDefault("never")
        Thread.sleep(BACK_MILLIS)
        during.stop()
        val after = runLoad(fleet, STEADY_MILLIS)
        val crashed = fleet.targets.count { !fleet.isRunning("target-${it.instance}") }
        val completed = before.completeCount.get() + during.completeCount.get() + after.completeCount.get()
        val failed = before.failures.size + during.failures.size + after.failures.size
        listOf(name, "$completed", "$failed") + listOf(before, during, after).map { format(it.totalMillis(95.0), 0) } +
            listOf("$emptyMillis", fullMillis, "$crashed")
    }

private fun newLoad(fleet: Fleet) =
    LoadGenerator(CALLERS) { Caller().chat(fleet.entries[it % fleet.entries.size].url, "question ${it % 50}", TOKENS) }

private fun runLoad(fleet: Fleet, millis: Long): LoadGenerator {
    val load = newLoad(fleet).start()
    Thread.sleep(millis)
    return load.stop()
}

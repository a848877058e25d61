/*
 * Service while a data centre leaves and returns, on real processes, with and without the ramp for fresh targets.
 */
package io.jaybeam.benchmark

import io.jaybeam.scenarios.Caller
import io.jaybeam.scenarios.Fleet
import io.jaybeam.scenarios.FleetPlan
import io.jaybeam.scenarios.Load
import io.jaybeam.scenarios.MODEL_SERVICE
import io.jaybeam.scenarios.inFlightIn
import io.jaybeam.scenarios.setDataCentre
import kotlin.time.TimeSource

private const val CALLERS = 72
private const val TOKENS = 20
private const val STEADY_MILLIS = 6_000L
private const val AWAY_MILLIS = 3_000L
private const val BACK_MILLIS = 6_000L
private const val COLD = """{"coldConcurrency": 2, "warmConcurrency": 14, "coldMillis": 3000}"""

/** Moves a data centre whose engines restart while it is away, once with each plan, and prints the table. */
internal fun benchmarkMove() {
    val ramped = FleetPlan(plainTargets = 0, engineProfile = COLD, initialConcurrency = 2, fullConcurrency = 12, rampMillis = 4_000)
    val rows =
        listOf(
            move("with the ramp", ramped),
            move("without the ramp", ramped.copy(initialConcurrency = 12, rampMillis = 0)),
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

private fun move(name: String, plan: FleetPlan): List<String> =
    Fleet(plan, ::println).use { fleet ->
        fleet.start()
        phase(fleet, STEADY_MILLIS)
        val before = phase(fleet, STEADY_MILLIS)
        val dataCentre = plan.dataCentres.first()
        val moved = fleet.targets.filter { it.dataCentre == dataCentre && it.service == MODEL_SERVICE }
        val during = load(fleet).start()
        fleet.setDataCentre(dataCentre, inService = false)
        val out = TimeSource.Monotonic.markNow()
        fleet.awaitTrue("empty") { fleet.inFlightIn(dataCentre) == 0 }
        val emptyMillis = out.elapsedNow().inWholeMilliseconds
        moved.forEach { fleet.process("target-${it.instance}").kill() }
        moved.forEach { fleet.startTarget(it) }
        Thread.sleep(AWAY_MILLIS)
        fleet.setDataCentre(dataCentre, inService = true)
        val back = TimeSource.Monotonic.markNow()
        val share = CALLERS / plan.dataCentres.size / 2
        val fullMillis =
            runCatching {
                fleet.awaitTrue("full use", BACK_MILLIS * 2) { fleet.inFlightIn(dataCentre) >= share }
                "${back.elapsedNow().inWholeMilliseconds}"
            }.getOrDefault("never")
        Thread.sleep(BACK_MILLIS)
        during.stop()
        val after = phase(fleet, STEADY_MILLIS)
        val fallen = fleet.targets.count { !fleet.isRunning("target-${it.instance}") }
        val whole = before.whole.get() + during.whole.get() + after.whole.get()
        val failed = before.failures.size + during.failures.size + after.failures.size
        listOf(name, "$whole", "$failed") + listOf(before, during, after).map { format(it.totalMillis(95.0), 0) } +
            listOf("$emptyMillis", fullMillis, "$fallen")
    }

private fun load(fleet: Fleet) = Load(CALLERS) { Caller().chat(fleet.entries[it % fleet.entries.size].url, "question ${it % 50}", TOKENS) }

private fun phase(fleet: Fleet, millis: Long): Load {
    val load = load(fleet).start()
    Thread.sleep(millis)
    return load.stop()
}

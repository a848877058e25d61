/*
 * Step-time skew and bytes moved of expert placement while popularity drifts through a day.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.placement.ExpertMap
import io.jaybeam.core.placement.LayerLoad
import io.jaybeam.core.placement.PlacementPolicy
import io.jaybeam.core.placement.passDurationLowerBound
import io.jaybeam.core.placement.passDurations
import io.jaybeam.core.placement.planPlacement
import io.jaybeam.core.placement.solvePlacement
import kotlin.math.exp
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.measureTimedValue

private const val RANKS = 64
private const val EXPERTS = 128
private const val SLOTS_PER_RANK = 3
private const val EPOCHS = 288
private const val DRIFT = 0.06
private const val ZIPF = 0.7
private const val STRAGGLER_SPEED = 0.8
private const val STRAGGLERS = 2
private const val STRAGGLER_EPOCHS = 48
private const val MEGABYTES_PER_EXPERT = 88

/** One way to place experts: from the map in force and the load, the next map. */
private class Policy(
    val name: String,
    val next: (ExpertMap, LayerLoad) -> ExpertMap,
)

private class Outcome {
    val skews = mutableListOf<Double>()
    val overBound = mutableListOf<Double>()
    var moves = 0
    var changes = 0
    var slowestPlan = Duration.ZERO
}

/** Runs a day of 5-minute epochs for each policy and prints the table. */
internal fun benchmarkPlacement(seed: Long) {
    val day = drift(Random(seed))
    val start = solvePlacement(day.first(), SLOTS_PER_RANK)
    val rows = policies(seed).map { policy -> row(policy.name, run(policy, start, day)) }
    printTable(
        "Placement: $RANKS ranks, $EXPERTS experts, $SLOTS_PER_RANK slots a rank, $EPOCHS epochs, $STRAGGLERS stragglers, seed $seed",
        listOf("policy", "skew mean", "skew max", "slowest/bound mean", "slots moved", "GB moved", "changes", "slowest plan ms"),
        rows,
    )
}

private fun policies(seed: Long): List<Policy> {
    val random = Random(seed + 1)
    return listOf(
        Policy("static") { map, _ -> map },
        Policy("random replication") { _, load -> randomMap(load, random) },
        Policy("solve again every time") { _, load -> solvePlacement(load, SLOTS_PER_RANK) },
        planner("plan, no hysteresis, 32 moves", maxMoves = 32, minGainPercent = 0.0),
        planner("plan, gain 2%, 24 moves", maxMoves = 24, minGainPercent = 2.0),
        planner("plan, gain 2%, 16 moves", maxMoves = 16, minGainPercent = 2.0),
        planner("plan, gain 2%, 32 moves", maxMoves = 32, minGainPercent = 2.0),
        planner("plan, gain 3%, 64 moves", maxMoves = 64, minGainPercent = 3.0),
        planner("plan, gain 5%, 32 moves", maxMoves = 32, minGainPercent = 5.0),
        planner("plan, gain 2%, 4 moves", maxMoves = 4, minGainPercent = 2.0),
    )
}

private fun planner(name: String, maxMoves: Int, minGainPercent: Double) =
    Policy(name) { map, load -> planPlacement(map, load, PlacementPolicy(maxMoves, minGainPercent))?.map ?: map }

private fun run(policy: Policy, start: ExpertMap, day: List<LayerLoad>): Outcome {
    val outcome = Outcome()
    var map = start
    day.forEach { load ->
        val (next, took) = measureTimedValue { policy.next(map, load) }
        val moved = next.movesFrom(map)
        outcome.moves += moved
        if (moved > 0) outcome.changes += 1
        outcome.slowestPlan = maxOf(outcome.slowestPlan, took)
        map = next
        val times = passDurations(map, load)
        outcome.skews += times.skew
        outcome.overBound += times.slowest / passDurationLowerBound(load, SLOTS_PER_RANK)
    }
    return outcome
}

private fun row(name: String, outcome: Outcome) =
    listOf(
        name,
        format(outcome.skews.average(), 3),
        format(outcome.skews.max(), 3),
        format(outcome.overBound.average(), 3),
        "${outcome.moves}",
        format(outcome.moves * MEGABYTES_PER_EXPERT / 1_000.0, 1),
        "${outcome.changes}",
        "${outcome.slowestPlan.inWholeMilliseconds}",
    )

/** Popularity that starts Zipf-like and drifts by small random steps, with ranks that straggle in turn. */
private fun drift(random: Random): List<LayerLoad> {
    var loads = List(EXPERTS) { 1.0 / (it + 1.0).pow(ZIPF) }.shuffled(random)
    return List(EPOCHS) { epoch ->
        loads = loads.map { it * exp(DRIFT * (random.nextDouble() - 0.5) * 2) }
        val stragglers = List(STRAGGLERS) { ((epoch / STRAGGLER_EPOCHS) * 7 + it * 31) % RANKS }
        LayerLoad(loads, List(RANKS) { if (it in stragglers) STRAGGLER_SPEED else 1.0 })
    }
}

private fun randomMap(load: LayerLoad, random: Random): ExpertMap {
    val spare = RANKS * SLOTS_PER_RANK - load.expertCount
    val experts = List(load.expertCount) { it } + List(spare) { random.nextInt(load.expertCount) }
    return ExpertMap(SLOTS_PER_RANK, experts.shuffled(random))
}

/*
 * Skew of step times and bytes moved by placement policies, while the popularity of experts drifts through a day.
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
private const val DRIFT_PER_EPOCH = 0.06
private const val ZIPF_EXPONENT = 0.7
private const val STRAGGLER_SPEED = 0.8
private const val STRAGGLER_COUNT = 2
private const val STRAGGLER_EPOCHS = 48
private const val MEGABYTES_PER_EXPERT = 88

/** A placement policy: returns the next map for the map in force and the load. */
private class NamedPlacementPolicy(
    val name: String,
    val next: (ExpertMap, LayerLoad) -> ExpertMap,
)

private class PlacementResult {
    val skews = mutableListOf<Double>()
    val slowestOverBound = mutableListOf<Double>()
    var moves = 0
    var changes = 0
    var slowestPlan = Duration.ZERO
}

/** Simulates a day of 5-minute epochs with each policy and prints the results. */
internal fun benchmarkPlacement(seed: Long) {
    val day = driftingLoads(Random(seed))
    val start = solvePlacement(day.first(), SLOTS_PER_RANK)
    val rows = policies(seed).map { policy -> row(policy.name, simulate(policy, start, day)) }
    printTable(
        "Placement: $RANKS ranks, $EXPERTS experts, $SLOTS_PER_RANK slots a rank, $EPOCHS epochs, $STRAGGLER_COUNT stragglers, seed $seed",
        listOf("policy", "skew mean", "skew max", "slowest/bound mean", "slots moved", "GB moved", "changes", "slowest plan ms"),
        rows,
    )
}

private fun policies(seed: Long): List<NamedPlacementPolicy> {
    val random = Random(seed + 1)
    return listOf(
        NamedPlacementPolicy("static") { map, _ -> map },
        NamedPlacementPolicy("random replication") { _, load -> randomMap(load, random) },
        NamedPlacementPolicy("solve again every time") { _, load -> solvePlacement(load, SLOTS_PER_RANK) },
        plannerPolicy("plan, no hysteresis, 32 moves", maxMoves = 32, minGainPercent = 0.0),
        plannerPolicy("plan, gain 2%, 24 moves", maxMoves = 24, minGainPercent = 2.0),
        plannerPolicy("plan, gain 2%, 16 moves", maxMoves = 16, minGainPercent = 2.0),
        plannerPolicy("plan, gain 2%, 32 moves", maxMoves = 32, minGainPercent = 2.0),
        plannerPolicy("plan, gain 3%, 64 moves", maxMoves = 64, minGainPercent = 3.0),
        plannerPolicy("plan, gain 5%, 32 moves", maxMoves = 32, minGainPercent = 5.0),
        plannerPolicy("plan, gain 2%, 4 moves", maxMoves = 4, minGainPercent = 2.0),
    )
}

private fun plannerPolicy(name: String, maxMoves: Int, minGainPercent: Double) =
    NamedPlacementPolicy(name) { map, load -> planPlacement(map, load, PlacementPolicy(maxMoves, minGainPercent))?.map ?: map }

private fun simulate(policy: NamedPlacementPolicy, start: ExpertMap, day: List<LayerLoad>): PlacementResult {
    val result = PlacementResult()
    var map = start
    day.forEach { load ->
        val (next, planDuration) = measureTimedValue { policy.next(map, load) }
        val moved = next.movesFrom(map)
        result.moves += moved
        if (moved > 0) result.changes += 1
        result.slowestPlan = maxOf(result.slowestPlan, planDuration)
        map = next
        val times = passDurations(map, load)
        result.skews += times.skew
        result.slowestOverBound += times.slowest / passDurationLowerBound(load, SLOTS_PER_RANK)
    }
    return result
}

private fun row(name: String, result: PlacementResult) =
    listOf(
        name,
        format(result.skews.average(), 3),
        format(result.skews.max(), 3),
        format(result.slowestOverBound.average(), 3),
        "${result.moves}",
        format(result.moves * MEGABYTES_PER_EXPERT / 1_000.0, 1),
        "${result.changes}",
        "${result.slowestPlan.inWholeMilliseconds}",
    )

/**
 * Returns the load of each epoch. The popularity of experts starts with a Zipf distribution and drifts by small random steps; ranks
 * take turns as stragglers.
 */
private fun driftingLoads(random: Random): List<LayerLoad> {
    var loads = List(EXPERTS) { 1.0 / (it + 1.0).pow(ZIPF_EXPONENT) }.shuffled(random)
    return List(EPOCHS) { epoch ->
        loads = loads.map { it * exp(DRIFT_PER_EPOCH * (random.nextDouble() - 0.5) * 2) }
        val stragglers = List(STRAGGLER_COUNT) { ((epoch / STRAGGLER_EPOCHS) * 7 + it * 31) % RANKS }
        LayerLoad(loads, List(RANKS) { if (it in stragglers) STRAGGLER_SPEED else 1.0 })
    }
}

private fun randomMap(load: LayerLoad, random: Random): ExpertMap {
    val spareSlots = RANKS * SLOTS_PER_RANK - load.expertCount
    val experts = List(load.expertCount) { it } + List(spareSlots) { random.nextInt(load.expertCount) }
    return ExpertMap(SLOTS_PER_RANK, experts.shuffled(random))
}

/*
 * Skew and experts loaded while demand for experts shifts every few seconds, replayed from a trace or drawn from a seed.
 * A change that is planned on the counts of one second is in force in the next.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.placement.GroupDemand
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.GroupPlacementPolicy
import io.jaybeam.core.placement.groupSkew
import io.jaybeam.core.placement.planGroupPlacement
import io.jaybeam.core.placement.roundRobinMap
import java.nio.file.Files
import java.nio.file.Path
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.measureTimedValue

private const val RANKS = 12
private const val SETS = 4
private const val EXPERTS = 72
private const val SLOTS_PER_RANK = 8
private const val SPARE = 3
private const val SECONDS = 36
private const val SHIFT_SECONDS = 4
private const val SHIFT_SHARE = 0.7
private const val ZIPF = 1.3
private const val TOKENS = 1_000_000.0

// Seconds in which less than this share of the demand is where it was count as a shift.
private const val SAME_DEMAND = 0.8

private class GroupPolicy(
    val name: String,
    val policy: GroupPlacementPolicy?,
)

private val policies =
    listOf(
        GroupPolicy("map of the start", null),
        GroupPolicy("all that is new, always", GroupPlacementPolicy(SPARE, SPARE * SETS, 1.02, 1.02)),
        GroupPolicy("above 1.1, to 1.02", GroupPlacementPolicy(SPARE, SPARE * SETS, 1.1, 1.02)),
        GroupPolicy("above 1.25, to 1.08", GroupPlacementPolicy(SPARE, SPARE * SETS, 1.25, 1.08)),
        GroupPolicy("above 1.25, to 1.08, 8 a rank", GroupPlacementPolicy(SPARE, 8, 1.25, 1.08)),
        GroupPolicy("above 1.25, to 1.08, 6 a rank", GroupPlacementPolicy(SPARE, 6, 1.25, 1.08)),
        GroupPolicy("above 1.25, to 1.15, 6 a rank", GroupPlacementPolicy(SPARE, 6, 1.25, 1.15)),
        GroupPolicy("above 1.25, to 1.15, 4 a rank", GroupPlacementPolicy(SPARE, 4, 1.25, 1.15)),
        GroupPolicy("above 1.25, to 1.15, 3 a rank", GroupPlacementPolicy(SPARE, 3, 1.25, 1.15)),
        GroupPolicy("above 1.25, to 1.15, 2 a rank", GroupPlacementPolicy(SPARE, 2, 1.25, 1.15)),
        GroupPolicy("above 1.4, to 1.2, 6 a rank", GroupPlacementPolicy(SPARE, 6, 1.4, 1.2)),
    )

/** Prints the measures for the demand in [trace], or for one drawn from [seed]. */
internal fun benchmarkGroupPlacement(trace: Path?, seed: Long) {
    val demand = if (trace == null) drawnDemand(seed) else readTrace(trace)
    val header =
        listOf("policy", "mean skew", "from the 2nd second after a shift", "worst of these", "changes", "experts loaded", "ms a plan")
    printTable("expert maps of a group, ${demand.size} seconds", header, policies.map { row(it, demand) })
    val firstHeader = listOf("new experts a rank", "mean skew after the first change that follows a shift", "worst", "experts loaded")
    printTable("first change after a shift", firstHeader, (1..SPARE * SETS).map { firstChangeRow(it, demand) })
}

/** A change with few new experts is in force sooner, as ranks load them one after the other. */
private fun firstChangeRow(newPerRank: Int, demand: List<GroupDemand>): List<String> {
    val settle = GroupPlacementPolicy(SPARE, SPARE * SETS, 1.02, 1.02)
    var map: GroupMap = roundRobinMap(SETS, EXPERTS, RANKS, SLOTS_PER_RANK)
    val skews = mutableListOf<Double>()
    var loaded = 0
    demand.forEachIndexed { second, now ->
        if (second > 0 && similarity(demand[second - 1], now) < SAME_DEMAND) {
            val plan = planGroupPlacement(map, now, GroupPlacementPolicy(SPARE, newPerRank, 1.25, 1.15))
            skews += plan?.skewAfter ?: groupSkew(map, now)
            loaded += plan?.expertsLoaded ?: 0
        }
        planGroupPlacement(map, now, settle)?.let { map = it.map }
    }
    return listOf("$newPerRank", format(skews.average()), format(skews.max()), "$loaded")
}

private fun row(policy: GroupPolicy, demand: List<GroupDemand>): List<String> {
    var map: GroupMap = roundRobinMap(SETS, EXPERTS, RANKS, SLOTS_PER_RANK)
    val skews = mutableListOf<Double>()
    val settled = mutableListOf<Double>()
    var sinceShift = 0
    var changes = 0
    var loaded = 0
    var millis = 0L
    demand.forEachIndexed { second, now ->
        sinceShift = if (second == 0 || similarity(demand[second - 1], now) < SAME_DEMAND) 0 else sinceShift + 1
        val skew = groupSkew(map, now)
        skews += skew
        if (sinceShift >= 2) settled += skew
        val (plan, took) = measureTimedValue { policy.policy?.let { planGroupPlacement(map, now, it) } }
        if (plan != null) {
            map = plan.map
            changes += 1
            loaded += plan.expertsLoaded
            millis += took.inWholeMilliseconds
        }
    }
    val perPlan = if (changes == 0) 0.0 else millis.toDouble() / changes
    return listOf(
        policy.name,
        format(skews.average()),
        format(settled.average()),
        format(settled.max()),
        "$changes",
        "$loaded",
        format(perPlan, 1),
    )
}

private fun similarity(before: GroupDemand, now: GroupDemand): Double =
    now.sets.indices.minOf { set ->
        val shares = now.sets[set].map { it / now.sets[set].sum() }
        val sharesBefore = before.sets[set].map { it / before.sets[set].sum() }
        shares.indices.sumOf { minOf(shares[it], sharesBefore[it]) }
    }

/** Reads lines of second, set and counts by expert, under a header. */
private fun readTrace(path: Path): List<GroupDemand> =
    Files
        .readAllLines(path)
        .drop(1)
        .map { line -> line.split(',').map { it.toDouble() } }
        .groupBy { it[0] }
        .toSortedMap()
        .values
        .map { rows -> GroupDemand(rows.sortedBy { it[1] }.map { it.drop(2) }) }

/** Draws demand of which a large share moves to other experts every few seconds. */
private fun drawnDemand(seed: Long): List<GroupDemand> {
    val random = Random(seed)
    val popularity = List(SETS) { (1..EXPERTS).map { 1.0 / it.toDouble().pow(ZIPF) }.shuffled(random).toMutableList() }
    return (0 until SECONDS).map { second ->
        if (second % SHIFT_SECONDS == 0) popularity.forEach { shift(it, random) }
        GroupDemand(popularity.map { set -> set.map { it / set.sum() * TOKENS * random.nextDouble(0.95, 1.05) } })
    }
}

private fun shift(popularity: MutableList<Double>, random: Random) {
    val moving = popularity.indices.filter { random.nextDouble() < SHIFT_SHARE }
    val values = moving.map { popularity[it] }.shuffled(random)
    moving.forEachIndexed { index, expert -> popularity[expert] = values[index] }
}

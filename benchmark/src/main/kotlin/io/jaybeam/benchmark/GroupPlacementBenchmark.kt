/*
 * Skew and number of experts loaded while the demand for experts shifts every few seconds. The demand is replayed from a trace
 * or generated from a seed. A change that is planned on the counts of one second is in force in the next second.
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

// Number of new experts of one set that a change may load onto a rank.
private const val SPARE = 3
private const val TRACE_SECONDS = 36
private const val SHIFT_INTERVAL_SECONDS = 4
private const val SHIFT_SHARE = 0.7
private const val ZIPF_EXPONENT = 1.3
private const val TOKENS_PER_SECOND = 1_000_000.0

// A second counts as a shift if less than this share of the demand goes to the same experts as in the second before.
private const val MIN_SIMILARITY = 0.8

private class NamedGroupPolicy(
    val name: String,
    val policy: GroupPlacementPolicy?,
)

private val policies =
    listOf(
        NamedGroupPolicy("map of the start", null),
        NamedGroupPolicy("all that is new, always", GroupPlacementPolicy(SPARE, SPARE * SETS, 1.02, 1.02)),
        NamedGroupPolicy("above 1.1, to 1.02", GroupPlacementPolicy(SPARE, SPARE * SETS, 1.1, 1.02)),
        NamedGroupPolicy("above 1.25, to 1.08", GroupPlacementPolicy(SPARE, SPARE * SETS, 1.25, 1.08)),
        NamedGroupPolicy("above 1.25, to 1.08, 8 a rank", GroupPlacementPolicy(SPARE, 8, 1.25, 1.08)),
        NamedGroupPolicy("above 1.25, to 1.08, 6 a rank", GroupPlacementPolicy(SPARE, 6, 1.25, 1.08)),
        NamedGroupPolicy("above 1.25, to 1.15, 6 a rank", GroupPlacementPolicy(SPARE, 6, 1.25, 1.15)),
        NamedGroupPolicy("above 1.25, to 1.15, 4 a rank", GroupPlacementPolicy(SPARE, 4, 1.25, 1.15)),
        NamedGroupPolicy("above 1.25, to 1.15, 3 a rank", GroupPlacementPolicy(SPARE, 3, 1.25, 1.15)),
        NamedGroupPolicy("above 1.25, to 1.15, 2 a rank", GroupPlacementPolicy(SPARE, 2, 1.25, 1.15)),
        NamedGroupPolicy("above 1.4, to 1.2, 6 a rank", GroupPlacementPolicy(SPARE, 6, 1.4, 1.2)),
    )

/** Prints the results for the demand in [trace], or for demand generated from [seed] if there is no trace. */
internal fun benchmarkGroupPlacement(trace: Path?, seed: Long) {
    val demand = if (trace == null) randomDemand(seed) else readTrace(trace)
    val header =
        listOf("policy", "mean skew", "from the 2nd second after a shift", "worst of these", "changes", "experts loaded", "ms a plan")
    printTable("expert maps of a group, ${demand.size} seconds", header, policies.map { policyRow(it, demand) })
    val firstHeader = listOf("new experts a rank", "mean skew after the first change that follows a shift", "worst", "experts loaded")
    printTable("first change after a shift", firstHeader, (1..SPARE * SETS).map { firstChangeRow(it, demand) })
}

/**
 * Returns the table row for first changes after a shift that may load [newExpertsPerRank] experts onto each rank.
 *
 * A rank loads experts one after the other, so a change with fewer new experts is in force sooner.
 */
private fun firstChangeRow(newExpertsPerRank: Int, demand: List<GroupDemand>): List<String> {
    val settlingPolicy = GroupPlacementPolicy(SPARE, SPARE * SETS, 1.02, 1.02)
    var map: GroupMap = roundRobinMap(SETS, EXPERTS, RANKS, SLOTS_PER_RANK)
    val skews = mutableListOf<Double>()
    var expertsLoaded = 0
    demand.forEachIndexed { second, current ->
        if (second > 0 && similarity(demand[second - 1], current) < MIN_SIMILARITY) {
            val plan = planGroupPlacement(map, current, GroupPlacementPolicy(SPARE, newExpertsPerRank, 1.25, 1.15))
            skews += plan?.skewAfter ?: groupSkew(map, current)
            expertsLoaded += plan?.expertsLoaded ?: 0
        }
        planGroupPlacement(map, current, settlingPolicy)?.let { map = it.map }
    }
    return listOf("$newExpertsPerRank", format(skews.average()), format(skews.max()), "$expertsLoaded")
}

private fun policyRow(policy: NamedGroupPolicy, demand: List<GroupDemand>): List<String> {
    var map: GroupMap = roundRobinMap(SETS, EXPERTS, RANKS, SLOTS_PER_RANK)
    val skews = mutableListOf<Double>()
    val settledSkews = mutableListOf<Double>()
    var secondsSinceShift = 0
    var changes = 0
    var expertsLoaded = 0
    var planningMillis = 0L
    demand.forEachIndexed { second, current ->
        secondsSinceShift = if (second == 0 || similarity(demand[second - 1], current) < MIN_SIMILARITY) 0 else secondsSinceShift + 1
        val skew = groupSkew(map, current)
        skews += skew
        if (secondsSinceShift >= 2) settledSkews += skew
        val (plan, duration) = measureTimedValue { policy.policy?.let { planGroupPlacement(map, current, it) } }
        if (plan != null) {
            map = plan.map
            changes += 1
            expertsLoaded += plan.expertsLoaded
            planningMillis += duration.inWholeMilliseconds
        }
    }
    val millisPerPlan = if (changes == 0) 0.0 else planningMillis.toDouble() / changes
    return listOf(
        policy.name,
        format(skews.average()),
        format(settledSkews.average()),
        format(settledSkews.max()),
        "$changes",
        "$expertsLoaded",
        format(millisPerPlan, 1),
    )
}

private fun similarity(before: GroupDemand, current: GroupDemand): Double =
    current.sets.indices.minOf { set ->
        val shares = current.sets[set].map { it / current.sets[set].sum() }
        val sharesBefore = before.sets[set].map { it / before.sets[set].sum() }
        shares.indices.sumOf { minOf(shares[it], sharesBefore[it]) }
    }

/** Reads a CSV file: a header, then lines of second, set and token count of each expert. */
private fun readTrace(path: Path): List<GroupDemand> =
    Files
        .readAllLines(path)
        .drop(1)
        .map { line -> line.split(',').map { it.toDouble() } }
        .groupBy { it[0] }
        .toSortedMap()
        .values
        .map { rows -> GroupDemand(rows.sortedBy { it[1] }.map { it.drop(2) }) }

/** Generates demand of which a large share moves to other experts every few seconds. */
private fun randomDemand(seed: Long): List<GroupDemand> {
    val random = Random(seed)
    val popularity = List(SETS) { (1..EXPERTS).map { 1.0 / it.toDouble().pow(ZIPF_EXPONENT) }.shuffled(random).toMutableList() }
    return (0 until TRACE_SECONDS).map { second ->
        if (second % SHIFT_INTERVAL_SECONDS == 0) popularity.forEach { shift(it, random) }
        GroupDemand(popularity.map { set -> set.map { it / set.sum() * TOKENS_PER_SECOND * random.nextDouble(0.95, 1.05) } })
    }
}

private fun shift(popularity: MutableList<Double>, random: Random) {
    val moving = popularity.indices.filter { random.nextDouble() < SHIFT_SHARE }
    val values = moving.map { popularity[it] }.shuffled(random)
    moving.forEachIndexed { index, expert -> popularity[expert] = values[index] }
}

/*
 * Time that a coordinator takes to plan a map after a shift of demand, by the size of the group. Demand shifts every few seconds, so a
 * map that is planned in that time is of no use.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.placement.GroupDemand
import io.jaybeam.core.placement.GroupPlacementPolicy
import io.jaybeam.core.placement.groupSkew
import io.jaybeam.core.placement.planQuickestPlacement
import io.jaybeam.core.placement.roundRobinMap
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.measureTimedValue

private const val SHIFTS = 6
private const val POPULARITY_EXPONENT = 6
private const val LEAST_POPULARITY = 0.02
private const val ACCEPTABLE_SKEW = 1.75

private class GroupShape(
    val ranks: Int,
    val sets: Int,
    val experts: Int,
    val slotsPerRank: Int,
    val policy: GroupPlacementPolicy,
)

private val shapes =
    listOf(
        GroupShape(12, 4, 72, 8, GroupPlacementPolicy(3, 3, 1.25, 1.15)),
        GroupShape(63, 8, 252, 5, GroupPlacementPolicy(2, 7, 1.25, 1.15)),
        GroupShape(129, 16, 258, 3, GroupPlacementPolicy(2, 16, 1.25, 1.15)),
    )

/** Prints the time of the first plan after each of several shifts; the first shift, which includes compilation, is left out. */
internal fun benchmarkPlanningTime(seed: Long) {
    val header = listOf("ranks", "skew before", "skew after", "experts loaded", "ms a plan", "worst")
    printTable("planning after a shift of demand", header, shapes.map { planningRow(it, seed) })
}

private fun planningRow(shape: GroupShape, seed: Long): List<String> {
    val random = Random(seed)
    var map = roundRobinMap(shape.sets, shape.experts, shape.ranks, shape.slotsPerRank)
    val plans =
        List(SHIFTS) {
            val demand = randomDemand(shape, random)
            val before = groupSkew(map, demand)
            val (plan, duration) = measureTimedValue { planQuickestPlacement(map, demand, shape.policy, ACCEPTABLE_SKEW) }
            if (plan != null) map = plan.map
            Triple(before, plan, duration.inWholeMilliseconds)
        }.drop(1)
    return listOf(
        "${shape.ranks}",
        format(plans.map { it.first }.average()),
        format(plans.map { (before, plan) -> plan?.skewAfter ?: before }.average()),
        "${plans.sumOf { it.second?.expertsLoaded ?: 0 } / plans.size}",
        format(plans.map { it.third.toDouble() }.average(), 1),
        "${plans.maxOf { it.third }}",
    )
}

private fun randomDemand(shape: GroupShape, random: Random) =
    GroupDemand(List(shape.sets) { List(shape.experts) { randomPopularity(random) } })

private fun randomPopularity(random: Random) = random.nextDouble().pow(POPULARITY_EXPONENT) + LEAST_POPULARITY

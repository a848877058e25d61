/*
 * Compares placement with and without the reports of the ranks of a single group, by the numbers of ranks and entries.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.cost.CostBasis
import io.jaybeam.core.fleet.areSingleGroupReportsUseful
import io.jaybeam.core.fleet.loadSpreadMillis

private const val RUNS = 5
private const val REQUESTS_PER_SECOND = 3.3
private const val MEMORY_TOKENS = 163_333L
private const val EXPERT_SHARE = 0.85

private val sizes =
    listOf(
        12 to 3,
        12 to 17,
        12 to 28,
        12 to 48,
        32 to 17,
        32 to 32,
        32 to 64,
        63 to 6,
        64 to 17,
        64 to 64,
        64 to 130,
        129 to 18,
    )

/** Prints a row for each number of ranks and entries. */
internal fun benchmarkSingleGroupReports(seed: Long) {
    val seeds = seed until seed + RUNS
    printTable(
        "Reports of a single group: $REQUESTS_PER_SECOND requests/s and rank, mean of seeds $seed to ${seeds.last}",
        listOf(
            "ranks",
            "entries",
            "report ms",
            "used",
            "on time %",
            "with reports",
            "gain, each seed",
            "first event p95 ms",
            "with reports",
            "pass mean ms",
            "with reports",
        ),
        sizes.map { (ranks, entries) -> row(ranks, entries, seeds.toList()) },
    )
}

private fun row(ranks: Int, entries: Int, seeds: List<Long>): List<String> {
    val reportMillis = loadSpreadMillis(ranks)
    val load = LockStepLoad(ranks, entries, REQUESTS_PER_SECOND, 0, MEMORY_TOKENS, EXPERT_SHARE, reportMillis)
    val without = seeds.map { run(load, it, hasReports = false) }
    val with = seeds.map { run(load, it, hasReports = true) }
    val gains = without.zip(with) { first, second -> onTimeShare(second) - onTimeShare(first) }
    return listOf(
        "$ranks",
        "$entries",
        "$reportMillis",
        if (areSingleGroupReportsUseful(modelEngine(MEMORY_TOKENS, EXPERT_SHARE), ranks, entries)) "yes" else "no",
        format(without.map(::onTimeShare).average()),
        format(with.map(::onTimeShare).average()),
        gains.joinToString(" ") { format(it) },
        format(without.map(::firstEventP95).average(), 0),
        format(with.map(::firstEventP95).average(), 0),
        format(without.map { it.passMillis.average() }.average(), 1),
        format(with.map { it.passMillis.average() }.average(), 1),
    )
}

private fun run(load: LockStepLoad, seed: Long, hasReports: Boolean): LockStepResult {
    lateinit var model: LockStepModel
    model = LockStepModel(load, seed) { now -> ByExpectedCost(load, seed, now, { model }, CostBasis.BOTH, hasReports) }
    return model.run()
}

private fun onTimeShare(result: LockStepResult) =
    100.0 * result.ended.count { it.firstEventMillis - it.arrivedMillis <= ON_TIME_MILLIS } / maxOf(result.ended.size, 1)

private fun firstEventP95(result: LockStepResult) = percentile(result.ended.map { it.firstEventMillis - it.arrivedMillis })

/*
 * Compares placement by expected cost with policies that count requests, on a model of ranks in lock-step.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.cost.CostBasis
import io.jaybeam.core.cost.CostEstimator
import io.jaybeam.core.cost.CostQuery
import io.jaybeam.core.cost.PlacedRequest
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.cost.TargetBacklog
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.PlacementRequest
import io.jaybeam.core.fleet.TargetLoad
import io.jaybeam.core.fleet.chooseTarget
import kotlin.random.Random

internal const val ON_TIME_MILLIS = 500.0
private const val LONGEST_GAP_MILLIS = 150.0
private const val DATA_CENTRES = 3
private const val LARGEST_SHARE = 0.1

private class NamedPlacement(
    val name: String,
    val create: (LockStepLoad, Long, () -> Long, () -> LockStepModel) -> PlacementPolicy,
)

/** Prints a table for each load. */
internal fun benchmarkPlacementCost(seed: Long) {
    val loads =
        listOf(
            "usual load" to LockStepLoad(32, 17, 2.4, 0, 163_333, 0.85),
            "high load" to LockStepLoad(32, 17, 3.3, 0, 163_333, 0.85),
            "high load, few entries" to LockStepLoad(12, 3, 3.5, 0, 163_333, 0.85),
            "high load, a slow rank" to LockStepLoad(63, 6, 2.4, 1, 163_333, 0.85),
            "high load, half of the work in experts" to LockStepLoad(32, 6, 3.4, 0, 163_333, 0.5),
            "little memory" to LockStepLoad(32, 6, 3.0, 0, 6_000, 0.85),
        )
    loads.forEach { (name, load) ->
        printTable(
            "Placement by cost, $name: ${load.ranks} ranks, ${load.entries} entries, ${load.requestsPerSecond} requests/s and rank, " +
                "${load.slowRanks} slow, memory ${load.memoryTokens}, expert share ${load.expertShare}, seed $seed",
            listOf(
                "policy",
                "on time %",
                "largest tenth %",
                "first event p95 ms",
                "long pauses %",
                "pass mean ms",
                "pass p95 ms",
                "skew",
                "preempted",
            ),
            placements.map { row(it, load, seed) },
        )
    }
}

private val placements =
    listOf(
        NamedPlacement("round robin") { load, seed, _, _ -> RoundRobin(load, seed) },
        NamedPlacement("least requests") { load, seed, now, model -> ByExpectedCost(load, seed, now, model, null, false) },
        NamedPlacement("two random choices") { load, seed, _, _ -> TwoChoices(load, seed) },
        NamedPlacement("shortest queue, all known") { _, seed, _, _ -> ShortestQueue(seed) },
        NamedPlacement("cost, stated") { load, seed, now, model -> ByExpectedCost(load, seed, now, model, CostBasis.STATED, false) },
        NamedPlacement("cost, learned") { load, seed, now, model -> ByExpectedCost(load, seed, now, model, CostBasis.LEARNED, false) },
        NamedPlacement("cost, both") { load, seed, now, model -> ByExpectedCost(load, seed, now, model, CostBasis.BOTH, false) },
        NamedPlacement("least requests, reports") { load, seed, now, model -> ByExpectedCost(load, seed, now, model, null, true) },
        NamedPlacement(
            "cost, stated, reports",
        ) { load, seed, now, model -> ByExpectedCost(load, seed, now, model, CostBasis.STATED, true) },
        NamedPlacement(
            "cost, learned, reports",
        ) { load, seed, now, model -> ByExpectedCost(load, seed, now, model, CostBasis.LEARNED, true) },
        NamedPlacement("cost, both, reports") { load, seed, now, model -> ByExpectedCost(load, seed, now, model, CostBasis.BOTH, true) },
    )

private fun row(placement: NamedPlacement, load: LockStepLoad, seed: Long): List<String> {
    lateinit var model: LockStepModel
    model = LockStepModel(load, seed) { now -> placement.create(load, seed, now) { model } }
    val result = model.run()
    val largest = result.ended.sortedByDescending { it.work }.take((result.ended.size * LARGEST_SHARE).toInt())
    return listOf(
        placement.name,
        onTime(result.ended),
        onTime(largest),
        format(percentile(result.ended.map { it.firstEventMillis - it.arrivedMillis }), 0),
        share(result.ended) { it.longestGapMillis > LONGEST_GAP_MILLIS },
        format(result.passMillis.average(), 1),
        format(percentile(result.passMillis), 1),
        format(result.skews.average(), 3),
        "${result.preemptions}",
    )
}

private fun onTime(requests: List<SizedRequest>) = share(requests) { it.firstEventMillis - it.arrivedMillis <= ON_TIME_MILLIS }

private fun share(requests: List<SizedRequest>, isCounted: (SizedRequest) -> Boolean) =
    format(100.0 * requests.count(isCounted) / maxOf(requests.size, 1), 2)

internal fun percentile(values: List<Double>): Double = values.sorted().let { it[(it.size * 0.95).toInt().coerceAtMost(it.size - 1)] }

private class RoundRobin(
    load: LockStepLoad,
    seed: Long,
) : PlacementPolicy {
    private val random = Random(seed)
    private val next = IntArray(load.entries) { random.nextInt(load.ranks) }

    override fun pick(request: SizedRequest, ranks: List<ModelRank>): Int = next[request.entry]++ % ranks.size
}

private class TwoChoices(
    load: LockStepLoad,
    seed: Long,
) : PlacementPolicy {
    private val random = Random(seed)
    private val inFlight = List(load.entries) { IntArray(load.ranks) }

    override fun pick(request: SizedRequest, ranks: List<ModelRank>): Int {
        val first = random.nextInt(ranks.size)
        val second = random.nextInt(ranks.size)
        val own = inFlight[request.entry]
        return if (own[second] < own[first]) second else first
    }

    override fun onSent(request: SizedRequest, rank: Int) {
        inFlight[request.entry][rank] += 1
    }

    override fun onEnd(request: SizedRequest, rank: Int) {
        inFlight[request.entry][rank] -= 1
    }
}

private class ShortestQueue(
    seed: Long,
) : PlacementPolicy {
    private val random = Random(seed)

    override fun pick(request: SizedRequest, ranks: List<ModelRank>): Int {
        val least = ranks.minOf { it.requests }
        return ranks.indices.filter { ranks[it].requests == least }.random(random)
    }
}

/** Runs the code of the product; with [basis] null it counts requests. */
internal class ByExpectedCost(
    private val load: LockStepLoad,
    seed: Long,
    nowMillis: () -> Long,
    private val model: () -> LockStepModel,
    private val basis: CostBasis?,
    private val hasReports: Boolean,
) : PlacementPolicy {
    private val random = Random(seed)
    private val engine = modelEngine(load.memoryTokens, load.expertShare)
    private val targets =
        List(load.ranks) { FleetTarget("$it", "chat", "127.0.0.1", 1, "dc-${it % DATA_CENTRES}", MODEL_SLOTS, false, 0, 0) }
    private val estimators = List(load.entries) { CostEstimator(nowMillis, basis ?: CostBasis.STATED) }
    private val backlogs = List(load.entries) { List(load.ranks) { TargetBacklog(nowMillis) } }
    private val placed = mutableMapOf<SizedRequest, PlacedRequest>()
    private val typical = RequestCost(engine.readMillis(engine.meanPromptTokens), engine.meanAnswerTokens.toDouble(), 0.0)

    private fun unseenRequests(): Double {
        if (!hasReports) return 0.0
        val othersPerMilli = (load.entries - 1.0) / load.entries * load.requestsPerSecond * load.ranks / 1_000
        return othersPerMilli * model().reportAgeMillis
    }

    private fun query(request: SizedRequest) = CostQuery("chat", "route", request.organisation, request.size, engine)

    override fun pick(request: SizedRequest, ranks: List<ModelRank>): Int {
        val loads =
            targets.mapIndexed { index, target ->
                val report = if (hasReports) model().reportOf(index) else null
                val backlog = backlogs[request.entry][index].summary(report, typical)
                TargetLoad(target, backlog.requests, 0, backlog)
            }
        val cost = estimators[request.entry].expected(query(request))
        val placement = PlacementRequest(cost, engine.takeIf { basis != null }, unseenRequests())
        return checkNotNull(chooseTarget(loads, "dc-${request.entry % DATA_CENTRES}", random, placement)).id.toInt()
    }

    override fun onSent(request: SizedRequest, rank: Int) {
        placed[request] = backlogs[request.entry][rank].start(estimators[request.entry].expected(query(request)))
    }

    override fun onEvent(request: SizedRequest, rank: Int) {
        val rest = estimators[request.entry].expectedRestTokens(query(request), request.writtenEvents * engine.stepsPerPass.toDouble())
        backlogs[request.entry][rank].onOutput(placed.getValue(request), rest)
    }

    override fun onEnd(request: SizedRequest, rank: Int) {
        backlogs[request.entry][rank].end(checkNotNull(placed.remove(request)))
        estimators[request.entry].onStreamEnd(query(request), request.answerTokens.toDouble())
    }
}

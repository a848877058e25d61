/*
 * Chooses the rank at which an answer is generated.
 *
 * All ranks of a group run each forward pass in lock-step, so the rank with the most work delays the others, and a long prompt
 * lengthens every pass until it is read. Ranks are compared by the time until the request's first event there and by the work
 * that they then have left. A rank without memory for the request is chosen only if all are, as the request would be preempted;
 * what other entries have placed since the reports is then spread over the ranks with most room, as it takes memory too.
 *
 * Each entry sees its own requests, and those of others only in reports of some age, so several would choose the same rank. What
 * others are expected to have placed since then is spread over the least loaded ranks, and the request is placed among these
 * at random, in proportion to the room below the level that results. Without reports an entry sees too few of a rank's requests
 * to add up their work: a rank runs out of slots first. The number of requests then comes before their work.
 *
 * The load for which it is made: large prompts and long answers among many small ones, placed by many entries at once.
 */
package io.jaybeam.core.fleet

import io.jaybeam.core.cost.Backlog
import kotlin.random.Random

/** Places [request], whose answer is generated as [engine] describes, for an entry in [localDataCentre]. */
internal class GenerationPlacement(
    private val engine: EngineModel,
    private val request: PlacementRequest,
    private val localDataCentre: String,
    private val random: Random,
) {
    private val cost = request.cost
    private val fullStepMillis = engine.stepMillis + engine.stepMillisPerRequest * engine.batchSlots
    private val ownWorkMillis = maxOf(cost.readMillis + cost.answerTokens * engine.stepMillisPerRequest, MIN_WORK_MILLIS)
    private val typicalWorkMillis = engine.readMillis(engine.meanPromptTokens) + engine.meanAnswerTokens * engine.stepMillisPerRequest

    /** Returns one of [candidates], of which there is at least one. */
    fun choose(candidates: List<TargetLoad>): FleetTarget {
        val weights = weightsOf(candidates)
        val drawable = candidates.indices.filter { weights[it] > 0.0 }
        var remaining = random.nextDouble() * weights.sum()
        val drawn =
            drawable.firstOrNull {
                remaining -= weights[it]
                remaining < 0
            }
        return candidates[drawn ?: drawable.last()].target
    }

    /** Returns for each of [candidates], of which there is at least one, what its chance to be chosen is proportional to. */
    fun weightsOf(candidates: List<TargetLoad>): List<Double> {
        val roomy = withMostRoom(candidates)
        val weights = if (roomy.any { it.backlog.isReported }) spread(roomy, costsOf(roomy)) else evenly(fewestRequests(roomy))
        return candidates.map { weights[it] ?: 0.0 }
    }

    private fun evenly(targets: List<TargetLoad>) = targets.associateWith { 1.0 }

    /** Returns the costs of [targets], of which some have reported; the others are taken for as busy as these on average. */
    private fun costsOf(targets: List<TargetLoad>): List<Double> {
        val reportedMean = targets.filter { it.backlog.isReported }.map(::expectedMillis).average()
        return targets.map { if (it.backlog.isReported) expectedMillis(it) else maxOf(expectedMillis(it), reportedMean) }
    }

    /** Returns the targets with the least requests per slot, of these the ones in the local data centre with the least work left. */
    private fun fewestRequests(targets: List<TargetLoad>): List<TargetLoad> {
        val fewest = withLeastLoadPerSlot(targets, cost)
        val near = fewest.filter { it.target.dataCentre == localDataCentre }.ifEmpty { fewest }
        val maxMillis = near.minOf(::expectedMillis) + ownWorkMillis * TOLERANCE_SHARE
        return near.filter { expectedMillis(it) <= maxMillis }
    }

    /** Returns the weights of the targets below the level to which the requests that this entry does not see fill them. */
    private fun spread(targets: List<TargetLoad>, costs: List<Double>): Map<TargetLoad, Double> {
        val unseenWorkMillis = request.unseenRequests * UNSEEN_FACTOR * typicalWorkMillis
        val level = levelAfter(costs.sorted(), if (unseenWorkMillis > 0.0) ownWorkMillis + unseenWorkMillis else 0.0)
        val weights = targets.indices.associate { targets[it] to maxOf(level - costs[it], 0.0) * preference(targets[it]) }
        return if (weights.values.sum() > 0.0) weights else evenly(leastCost(targets, costs))
    }

    /** Returns the targets of least cost, for the case in which no target is below the level as nothing is unseen; local ones first. */
    private fun leastCost(targets: List<TargetLoad>, costs: List<Double>): List<TargetLoad> {
        val maxCost = costs.min() + ownWorkMillis * TOLERANCE_SHARE
        val least = targets.filterIndexed { index, _ -> costs[index] <= maxCost }
        return least.filter { it.target.dataCentre == localDataCentre }.ifEmpty { least }
    }

    private fun preference(load: TargetLoad) = if (load.target.dataCentre == localDataCentre) LOCAL_PREFERENCE else 1.0

    /** Returns the level to which [work] fills the targets with [sortedCosts], lowest first. */
    private fun levelAfter(sortedCosts: List<Double>, work: Double): Double {
        var below = 0.0
        for (count in 1..sortedCosts.size) {
            below += sortedCosts[count - 1]
            val level = (work + below) / count
            if (count == sortedCosts.size || level <= sortedCosts[count]) return level
        }
        return sortedCosts.last()
    }

    /** Returns the targets that have room for the request, or those with most room after what other entries have placed since. */
    private fun withMostRoom(candidates: List<TargetLoad>): List<TargetLoad> {
        val freeTokens = freeTokensOf(candidates)
        val roomy = candidates.filterIndexed { index, _ -> freeTokens[index] >= cost.memoryTokens }
        if (roomy.isNotEmpty()) return roomy
        val unseenTokens = request.unseenRequests * UNSEEN_FACTOR * (engine.meanPromptTokens + engine.meanAnswerTokens)
        val usedLevel = levelAfter(freeTokens.map { -it }.sorted(), if (unseenTokens > 0.0) cost.memoryTokens + unseenTokens else 0.0)
        val mostRoom = freeTokens.max()
        return candidates.filterIndexed { index, _ -> freeTokens[index] >= mostRoom || -freeTokens[index] < usedLevel }
    }

    /** Returns the room of [targets]; those without a report have no more than the others on average. */
    private fun freeTokensOf(targets: List<TargetLoad>): List<Double> {
        val reported = targets.mapNotNull { it.backlog.freeMemoryTokens }
        val reportedMean = if (reported.isEmpty()) Double.MAX_VALUE else reported.average()
        return targets.map { it.backlog.freeMemoryTokens ?: minOf(ownFreeTokens(it.backlog), reportedMean) }
    }

    private fun ownFreeTokens(backlog: Backlog) =
        if (engine.memoryTokens > 0) engine.memoryTokens - backlog.memoryTokens else Double.MAX_VALUE

    /** Returns the time until the first event at the target, and the time by which what it then has left lengthens passes. */
    fun expectedMillis(load: TargetLoad): Double {
        val backlog = load.backlog
        val writeMillis = backlog.answerTokens * engine.stepMillisPerRequest
        val failureMillis = load.recentFailures * FAILURE_COST_BATCHES * engine.batchSlots * ownWorkMillis
        return waitMillis(load) + (backlog.readMillis + writeMillis) * backlog.slowness + ownWorkMillis * (backlog.slowness - 1) +
            failureMillis
    }

    /** Returns the time until a slot is free, if the requests in flight end evenly. */
    private fun waitMillis(load: TargetLoad): Double {
        val backlog = load.backlog
        val slots = maxOf(load.target.batchSlots, 1)
        val ending = backlog.requests - slots + 1
        if (ending <= 0) return 0.0
        val meanRestTokens = backlog.answerTokens / backlog.requests
        // Slots become free at the end of a pass.
        val steps = maxOf(meanRestTokens * ending / slots, engine.stepsPerPass.toDouble())
        return steps * fullStepMillis * backlog.slowness
    }

    private companion object {
        const val MIN_WORK_MILLIS = 1.0

        /** Targets that differ by less than this share of the request's own work are equally good. */
        const val TOLERANCE_SHARE = 0.1

        /** As many requests as were placed since the reports come before the next ones. */
        const val UNSEEN_FACTOR = 2.0

        /** Factor by which a target in the local data centre is preferred to an equally loaded one. */
        const val LOCAL_PREFERENCE = 1.5
    }
}

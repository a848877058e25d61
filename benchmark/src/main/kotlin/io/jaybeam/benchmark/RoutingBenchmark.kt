/*
 * Compares routing policies with their baselines in a simulation with virtual time.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.routing.Router
import io.jaybeam.core.routing.TargetSnapshot
import io.jaybeam.core.routing.hash64
import kotlin.random.Random

private const val MILLIS_PER_SECOND = 1_000.0

private class NamedPolicy(
    val name: String,
    val create: () -> ModelPolicy,
)

/** Prints a table for each load, in percent of the capacity of the targets. */
internal fun benchmarkRouting(seed: Long) {
    listOf(50, 90, 150).forEach { load ->
        val rows = policies(seed).map { policy -> row(policy.name, RoutingModel(policy.create(), load, seed).run()) }
        printTable(
            "Routing at $load% load: $TARGET_COUNT targets, one straggler, reports every 1000 ms and 300 ms late, seed $seed",
            listOf(
                "policy",
                "first token p95 ms",
                "token gap p95 ms",
                "cache hits %",
                "urgent %",
                "patient %",
                "small org %",
                "answers/s",
                "retries",
            ),
            rows,
        )
    }
}

private fun policies(seed: Long) =
    listOf(
        NamedPolicy("round robin") {
            var next = 0
            ModelPolicy { snapshots, _ -> snapshots.getOrNull(next++ % maxOf(snapshots.size, 1))?.index }
        },
        NamedPolicy("random") {
            val random = Random(seed)
            ModelPolicy { snapshots, _ -> snapshots.randomOrNull(random)?.index }
        },
        NamedPolicy("least outstanding, stale") {
            ModelPolicy { snapshots, _ -> snapshots.minByOrNull { it.reportedInFlight + it.sentSinceReport }?.index }
        },
        NamedPolicy("jaybeam, no prefix") {
            val router = Router(Random(seed))
            ModelPolicy { snapshots, _ -> router.pick(snapshots, null)?.index }
        },
        NamedPolicy("jaybeam, blind to speed") {
            val router = Router(Random(seed))
            ModelPolicy { snapshots, request ->
                router.pick(snapshots.map { it.copy(stepMillis = 0.0) }, hash64("prefix-${request.prefix}"))?.index
            }
        },
        NamedPolicy("jaybeam") {
            val router = Router(Random(seed))
            ModelPolicy { snapshots, request -> router.pick(snapshots, hash64("prefix-${request.prefix}"))?.index }
        },
    )

private val TargetSnapshot.index: Int get() = identity.instance.drop(1).toInt()

private fun row(name: String, result: ModelResult): List<String> {
    val answersPerSecond = (result.finishedUrgent + result.finishedPatient) / ((RUN_MILLIS - 20_000) / MILLIS_PER_SECOND)
    return listOf(
        name,
        format(p95(result.firstTokenMillis), 0),
        format(p95(result.tokenGapMillis), 1),
        percent(result.cacheHits, result.startedRequests),
        percent(result.finishedUrgent, result.offeredUrgent),
        percent(result.finishedPatient, result.offeredPatient),
        percent(result.finishedSmall, result.offeredSmall),
        format(answersPerSecond, 0),
        "${result.retries}",
    )
}

private fun p95(values: List<Double>): Double = values.sorted()[(values.size * 0.95).toInt().coerceAtMost(values.size - 1)]

private fun percent(part: Int, whole: Int) = format(100.0 * part / maxOf(whole, 1), 1)

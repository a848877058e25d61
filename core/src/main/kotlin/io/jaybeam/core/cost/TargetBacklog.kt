/*
 * What a target still has to do: the requests in flight there with what is left of each, and how fast the target works. An entry
 * knows its own requests; those of other entries it knows from the target's reports, and takes them for as costly as its own.
 *
 * The load for which it is made: few large requests among many small ones, where a target with fewer requests may have more to
 * do, and a target that works slowly without failing.
 */
package io.jaybeam.core.cost

import io.jaybeam.core.fleet.RankLoad

/**
 * Work that a target is expected to have left.
 *
 * @property requests requests in flight there.
 * @property readMillis time for the prompts of requests that have had no output.
 * @property answerTokens tokens that are still to be written.
 * @property memoryTokens tokens that its requests hold in memory at their ends.
 * @property isReported whether the requests of other entries are included, as of the target's report.
 * @property freeMemoryTokens room that the target reports; null if it has reported none.
 * @property slowness time that it takes for its work, relative to a sound target.
 * @property relativeWork requests, each counted with its work relative to the mean request of the service.
 */
public data class Backlog(
    val requests: Int = 0,
    val readMillis: Double = 0.0,
    val answerTokens: Double = 0.0,
    val memoryTokens: Double = 0.0,
    val freeMemoryTokens: Double? = null,
    val slowness: Double = 1.0,
    val relativeWork: Double = requests.toDouble(),
    val isReported: Boolean = false,
)

/**
 * What a target has reported about itself.
 *
 * @property ageMillis time since the target was read.
 */
public data class AgedRankLoad(
    val load: RankLoad,
    val ageMillis: Long,
)

/** A request that was sent to a target, with what is left of it. */
public class PlacedRequest internal constructor(
    internal val cost: RequestCost,
    internal val sentAtMillis: Long,
) {
    internal var restTokens = cost.answerTokens
    internal var hasOutput = false
}

/** Requests of one entry at one target. Thread-safe; [nowMillis] is monotonic. */
public class TargetBacklog(
    private val nowMillis: () -> Long,
) {
    private val placed = mutableSetOf<PlacedRequest>()
    private var slowness = 1.0
    private var slownessAtMillis = 0L

    /** Whether no request is in flight. */
    public val isIdle: Boolean
        @Synchronized get() = placed.isEmpty()

    /** Number of requests in flight. */
    public val requestCount: Int
        @Synchronized get() = placed.size

    /** Records that a request with [cost] is about to be sent. */
    @Synchronized
    public fun start(cost: RequestCost): PlacedRequest = PlacedRequest(cost, nowMillis()).also { placed += it }

    /** Records output of [request], of which [restTokens] are expected to be left. */
    @Synchronized
    public fun onOutput(request: PlacedRequest, restTokens: Double) {
        request.hasOutput = true
        request.restTokens = restTokens
    }

    /** Records the end of [request]. */
    @Synchronized
    public fun end(request: PlacedRequest) {
        placed -= request
    }

    /** Records that the target took [actualMillis] for what takes a sound target [expectedMillis]. */
    @Synchronized
    public fun onSpeed(actualMillis: Double, expectedMillis: Double) {
        if (expectedMillis <= 0) return
        val observed = (actualMillis / expectedMillis).coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        slowness = currentSlowness() + SPEED_GAIN * (observed - currentSlowness())
        slownessAtMillis = nowMillis()
    }

    /**
     * Returns the work left.
     *
     * @param report what the target has reported; null if there is no recent report.
     * @param typical cost of a request of which nothing is known, for the requests of other entries.
     */
    @Synchronized
    public fun summary(report: AgedRankLoad? = null, typical: RequestCost = RequestCost.UNKNOWN): Backlog {
        val own =
            Backlog(
                requests = placed.size,
                readMillis = placed.sumOf { if (it.hasOutput) 0.0 else it.cost.readMillis },
                answerTokens = placed.sumOf { it.restTokens },
                memoryTokens = placed.sumOf { it.cost.memoryTokens },
                slowness = currentSlowness().let { if (it < SLOW) 1.0 else it },
                relativeWork = placed.sumOf { it.cost.relativeWork },
            )
        return if (report == null) own else own.plus(report, typical)
    }

    private fun Backlog.plus(report: AgedRankLoad, typical: RequestCost): Backlog {
        val reportedAtMillis = nowMillis() - report.ageMillis
        val reportedOwn = placed.count { it.sentAtMillis < reportedAtMillis }
        val load = report.load
        val others = maxOf(load.running + load.waiting - reportedOwn, 0)
        val growth = placed.sumOf { if (it.sentAtMillis < reportedAtMillis) it.restTokens else it.cost.memoryTokens }
        return copy(
            requests = requests + others,
            readMillis = readMillis + minOf(others, load.waiting) * typical.readMillis,
            answerTokens = answerTokens + others * typical.answerTokens * MEAN_REST_SHARE,
            freeMemoryTokens = freeMemory(load, growth),
            slowness = load.slowness,
            relativeWork = relativeWork + others,
            isReported = true,
        )
    }

    private fun freeMemory(load: RankLoad, growth: Double): Double? =
        if (load.totalMemoryTokens > 0) load.totalMemoryTokens - load.usedMemoryTokens - growth else null

    private fun currentSlowness(): Double {
        val ageMillis = nowMillis() - slownessAtMillis
        return if (ageMillis >= SPEED_MEMORY_MILLIS) 1.0 else slowness + (1.0 - slowness) * ageMillis / SPEED_MEMORY_MILLIS
    }

    private companion object {
        const val SPEED_GAIN = 0.2
        const val MIN_SLOWNESS = 0.25
        const val MAX_SLOWNESS = 8.0

        /** Share of an answer that is left on average while it is written. */
        const val MEAN_REST_SHARE = 0.5

        /** Targets differ from request to request; below this they count as equally fast. */
        const val SLOW = 1.5

        /** Time after which a target is tried again as if it were sound. */
        const val SPEED_MEMORY_MILLIS = 10_000L
    }
}

/*
 * Configuration that an operator publishes for a fleet: routes, services, organisations and the limits on callers' requests.
 * Each version contains all of it.
 */
package io.jaybeam.core.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A complete version of the configuration.
 *
 * @property version increases with each change, not necessarily by one.
 */
@Serializable
public data class FleetConfig(
    val version: Long,
    val routes: List<Route>,
    val services: List<ServicePolicy>,
    val organisations: List<Organisation>,
    val callerLimits: CallerLimits,
)

/** How often a request may be executed. */
@Serializable
public enum class RouteKind {
    /** Any number of times, on any target. */
    IDEMPOTENT,

    /** At most once. */
    AT_MOST_ONCE,

    /** Answered by a stream of numbered events; executed at most once unless the route is resumable. */
    STREAM,
}

/** A service and the weight of its share of a route's requests. */
@Serializable
public data class WeightedService(
    val service: String,
    val weight: Int,
)

/**
 * How requests with a given host and path prefix are served.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeoutMillis time within which a request gets its final answer.
 * @property objectiveMillis latency objective: time to the complete answer, or to the first event of a stream.
 * @property priority 0 is the most urgent.
 * @property maxTargets largest number of targets that one request may be sent to.
 * @property isPublic whether requests need no key.
 * @property isResumable whether an interrupted stream may be continued at another target.
 * @property maxEventGapMillis longest interval between events of a stream that is on time; 0 if none is configured.
 */
@Serializable
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMillis: Long,
    val objectiveMillis: Long,
    @SerialName("rank")
    val priority: Int,
    val services: List<WeightedService>,
    val maxTargets: Int,
    val isPublic: Boolean,
    val isResumable: Boolean,
    val maxEventGapMillis: Long,
) {
    /** Whether a request may be sent again although it may have been executed. */
    val isRetryable: Boolean
        get() =
            when (kind) {
                RouteKind.IDEMPOTENT -> true
                RouteKind.AT_MOST_ONCE -> false
                RouteKind.STREAM -> isResumable
            }
}

/**
 * Settings shared by all targets of a service.
 *
 * @property coldStartRequestsPerSecond limit for one target in cold start, from all instances together; 0 for none.
 * @property engine null for a plain service.
 */
@Serializable
public data class ServicePolicy(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    @SerialName("coldRequestsPerSecond")
    val coldStartRequestsPerSecond: Double,
    val engine: EngineModel?,
)

/**
 * Duration of a model target's forward pass, and limits on changes of its expert maps.
 *
 * @property batchSlots number of requests that run concurrently.
 * @property stepsPerPass token steps of a pass that includes running requests.
 * @property stepMillis duration of a step without running requests.
 * @property stepMillisPerRequest time that each running request adds to a step.
 * @property expertSets number of sets of layers, each with its own placement.
 * @property experts number of experts in a set.
 * @property slotsPerRank number of experts of a set that a rank holds.
 * @property newExpertsPerChange number of experts of a set that one change may load onto a rank.
 * @property expertMegabytes size of one expert's weights, in megabytes.
 * @property expertShare share of a step's time per request that is spent in experts, 0 to 1.
 * @property meanAnswerTokens mean length of an answer, in tokens.
 * @property weightMegabitsPerSecond rate at which a rank loads weights.
 * @property reportLagMillis maximum age of a target's report when it is read from another instance.
 * @property readTokensPerSecond rate at which a prompt is read; 0 if the cost of requests is not configured.
 * @property readMillisPerMillionPairs time that reading takes for each million pairs of a token and an earlier one.
 * @property readTokensPerStep number of prompt tokens that are read in a step at most; 0 if there is no such limit.
 * @property stepMillisPerThousandTokens time that each 1,000 tokens of a running request add to a step.
 * @property memoryTokens tokens of prompts and answers that a target holds at most; 0 if unknown.
 * @property meanPromptTokens mean length of a prompt, in tokens.
 */
@Serializable
public data class EngineModel(
    val batchSlots: Int,
    val stepsPerPass: Int,
    val stepMillis: Double,
    val stepMillisPerRequest: Double,
    val expertSets: Int,
    val experts: Int,
    val slotsPerRank: Int,
    val newExpertsPerChange: Int,
    val expertMegabytes: Double,
    val expertShare: Double,
    @SerialName("usualAnswerTokens")
    val meanAnswerTokens: Int,
    val weightMegabitsPerSecond: Double,
    val reportLagMillis: Long,
    val readTokensPerSecond: Double = 0.0,
    val readMillisPerMillionPairs: Double = 0.0,
    val readTokensPerStep: Int = 0,
    val stepMillisPerThousandTokens: Double = 0.0,
    val memoryTokens: Long = 0,
    val meanPromptTokens: Int = 0,
) {
    /** Whether the targets are ranks of groups, which run each forward pass together. */
    public val isRankGroup: Boolean get() = expertSets > 0

    /** Whether the figures are configured from which the cost of a request follows. */
    public val hasRequestCost: Boolean get() = readTokensPerSecond > 0 && stepMillisPerRequest > 0

    /** Returns the time for reading a prompt of [tokens] without other work, in milliseconds. */
    public fun readMillis(tokens: Int): Double {
        if (!hasRequestCost) return 0.0
        val pairs = tokens.toDouble() * tokens / 2
        return tokens / readTokensPerSecond * MILLIS_PER_SECOND + pairs / PAIRS_PER_UNIT * readMillisPerMillionPairs
    }

    /** Returns the time that a running request of [contextTokens] adds to each step, in milliseconds. */
    public fun stepMillisOf(contextTokens: Double): Double =
        stepMillisPerRequest + contextTokens / CONTEXT_TOKENS_PER_UNIT * stepMillisPerThousandTokens

    /** Returns the number of experts that a rank loads in [millis], at least one. */
    public fun expertsLoadedIn(millis: Long): Int {
        val millisPerExpert = expertMegabytes * BITS_PER_BYTE / weightMegabitsPerSecond * MILLIS_PER_SECOND
        return if (millisPerExpert > 0) maxOf((millis / millisPerExpert).toInt(), 1) else Int.MAX_VALUE
    }

    private companion object {
        const val BITS_PER_BYTE = 8
        const val MILLIS_PER_SECOND = 1_000
        const val PAIRS_PER_UNIT = 1_000_000
        const val CONTEXT_TOKENS_PER_UNIT = 1_000
    }
}

/**
 * Organisation whose callers send requests.
 *
 * @property keys keys by which its requests are recognised.
 * @property priority takes precedence over the priority of a route, 0 is the most urgent; null if the route's applies.
 */
@Serializable
public data class Organisation(
    val name: String,
    val keys: Set<String>,
    val priority: Int? = null,
)

/** Limits on the requests of one caller; sizes in bytes, times in milliseconds. */
@Serializable
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerMillis: Long,
    val idleMillis: Long,
)

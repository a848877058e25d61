/*
 * The configuration that an operator publishes for a fleet: routes, services, organisations and what callers may send.
 * One version holds all of it.
 */
package io.jaybeam.core.fleet

import kotlinx.serialization.Serializable

/**
 * One version of the configuration, whole.
 *
 * @property version rises with each change, in uneven steps.
 */
@Serializable
public data class FleetConfig(
    val version: Long,
    val routes: List<Route>,
    val services: List<ServicePolicy>,
    val organisations: List<Organisation>,
    val callerLimits: CallerLimits,
)

/** How often a request may run. */
@Serializable
public enum class RouteKind {
    /** Any number of times, on any target. */
    IDEMPOTENT,

    /** At most once. */
    AT_MOST_ONCE,

    /** Answered by a stream of numbered events; runs at most once unless the route is resumable. */
    STREAM,
}

/** A service and its share of a route's requests. */
@Serializable
public data class WeightedService(
    val service: String,
    val weight: Int,
)

/**
 * Requests of one host and path, and how they are served.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeoutMillis a request has its final answer within this time.
 * @property objectiveMillis time to the whole answer, for a stream to its first event, within which it is on time.
 * @property rank 0 is the most urgent.
 * @property maxTargets targets that one request may be sent to.
 * @property isPublic requests need no key.
 * @property isResumable a stream that broke off may go on at another target.
 * @property maxEventGapMillis longest pause between events of a stream that is on time; 0 where none is stated.
 */
@Serializable
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMillis: Long,
    val objectiveMillis: Long,
    val rank: Int,
    val services: List<WeightedService>,
    val maxTargets: Int,
    val isPublic: Boolean,
    val isResumable: Boolean,
    val maxEventGapMillis: Long,
) {
    /** Whether a request may be sent again although it may have run. */
    val mayRepeat: Boolean
        get() =
            when (kind) {
                RouteKind.IDEMPOTENT -> true
                RouteKind.AT_MOST_ONCE -> false
                RouteKind.STREAM -> isResumable
            }
}

/**
 * What all targets of a service have in common.
 *
 * @property coldRequestsPerSecond requests that a cold target bears, from all instances together; 0 is no limit.
 * @property engine null for a plain service.
 */
@Serializable
public data class ServicePolicy(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    val coldRequestsPerSecond: Double,
    val engine: EngineModel?,
)

/**
 * How long a pass of a model target takes and how its expert maps may change.
 *
 * @property batchSlots requests that run at once.
 * @property stepsPerPass token steps of a pass that includes running requests.
 * @property stepMillis time of a step with nothing running.
 * @property stepMillisPerRequest time that each running request adds to a step.
 * @property expertSets sets of layers, each with its own placement.
 * @property experts experts in a set.
 * @property slotsPerRank experts that a rank holds in a set.
 * @property newExpertsPerChange experts of a set that one change may load onto a rank.
 * @property expertMegabytes bytes of one expert's weights, in megabytes.
 * @property expertShare share of a step's time per request that goes to experts, 0 to 1.
 * @property usualAnswerTokens mean length of an answer.
 * @property weightMegabitsPerSecond speed at which a rank loads weights.
 * @property reportLagMillis how old a target's report may be when it is read from another machine.
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
    val usualAnswerTokens: Int,
    val weightMegabitsPerSecond: Double,
    val reportLagMillis: Long,
) {
    /** Returns how many experts a rank loads in [millis], at least one. */
    public fun expertsLoadedIn(millis: Long): Int {
        val millisPerExpert = expertMegabytes * BITS_PER_BYTE / weightMegabitsPerSecond * MILLIS_PER_SECOND
        return if (millisPerExpert > 0) maxOf((millis / millisPerExpert).toInt(), 1) else Int.MAX_VALUE
    }

    private companion object {
        const val BITS_PER_BYTE = 8
        const val MILLIS_PER_SECOND = 1_000
    }
}

/** A customer of the operator and the keys that name it. */
@Serializable
public data class Organisation(
    val name: String,
    val keys: Set<String>,
)

/** What one caller may send; sizes in bytes, times in milliseconds. */
@Serializable
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerMillis: Long,
    val idleMillis: Long,
)

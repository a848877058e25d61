/*
 * Where a request would go now and why, as an entry states it to operators in JSON.
 */
package io.jaybeam.entry.direct

import kotlinx.serialization.Serializable

/**
 * Explanation of one request.
 *
 * @property configVersion version of the configuration in force.
 * @property targetsAgeMillis time since the list of targets was last confirmed.
 * @property organisation null if the key identifies none.
 * @property urgency rank of its urgency, 0 is the most urgent.
 * @property services services of the route, of which one is drawn for each request.
 */
@Serializable
internal data class RequestExplanation(
    val instance: String,
    val configVersion: Long,
    val targetsAgeMillis: Long,
    val route: String,
    val organisation: String?,
    val urgency: Int,
    val services: List<ServiceExplanation>,
)

/**
 * What would happen at one service.
 *
 * @property chance probability with which the service is drawn.
 * @property cost null if nothing is known that tells requests of this service apart.
 * @property waitMillis time until the request is expected to be sent; null if it is not known.
 * @property queue null if requests of the route do not wait for room.
 * @property groups rank groups that are compared; empty if the service is served as a whole.
 * @property group group for which [targets] are compared, the likeliest; null if the service is served as a whole.
 */
@Serializable
internal data class ServiceExplanation(
    val service: String,
    val chance: Double,
    val cost: CostExplanation?,
    val decision: ExplainedDecision,
    val reason: String,
    val waitMillis: Long?,
    val queue: QueueExplanation?,
    val groups: List<GroupExplanation>,
    val group: String?,
    val targets: List<TargetExplanation>,
)

/** What an entry would do with a request first. */
@Serializable
internal enum class ExplainedDecision { START, WAIT, REFUSE }

/** Expected cost of a request, see [io.jaybeam.core.cost.RequestCost]. */
@Serializable
internal data class CostExplanation(
    val readMillis: Double,
    val answerTokens: Double,
    val memoryTokens: Double,
    val relativeWork: Double,
)

/** Streams of this entry at the service or group, see [StreamPreview]. */
@Serializable
internal data class QueueExplanation(
    val waiting: Int,
    val started: Int,
    val passMillis: Long?,
    val firstEventMillis: Long,
)

/**
 * A rank group, see [io.jaybeam.core.fleet.GroupChance].
 *
 * @property requests requests there, as reported; null if there is no recent report.
 */
@Serializable
internal data class GroupExplanation(
    val group: String,
    val isOpen: Boolean,
    val ranks: Int,
    val passMillis: Long,
    val requests: Int?,
    val relativeTime: Double?,
    val chance: Double,
)

/**
 * A target, see [io.jaybeam.core.fleet.TargetChance].
 *
 * @property ruledOutBy why it is not considered; null if it is.
 * @property hasReport whether requests of other entries are included, as of the target's report.
 */
@Serializable
internal data class TargetExplanation(
    val id: String,
    val address: String,
    val dataCentre: String,
    val group: String?,
    val chance: Double,
    val expectedMillis: Double?,
    val requests: Int,
    val slowness: Double,
    val hasReport: Boolean,
    val ruledOutBy: String?,
)

/** Why a request cannot be explained, and what to do about it. */
@Serializable
internal data class ExplainProblem(
    val problem: String,
    val remedy: String,
)

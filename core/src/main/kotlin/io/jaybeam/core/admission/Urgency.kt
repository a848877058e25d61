/*
 * How urgent a request is compared with others of the same service. Queues, admission, refusals and targets order requests by
 * it, whichever way their callers state it: by the priority of a route or an organisation, or by a price tier.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.config.TierClass
import io.jaybeam.core.fleet.Route
import kotlinx.serialization.Serializable

/**
 * Urgency of a request.
 *
 * @property rank 0 is the most urgent, [LEAST_URGENT_RANK] the least.
 */
@Serializable
@JvmInline
public value class Urgency(
    public val rank: Int,
) : Comparable<Urgency> {
    init {
        require(rank in 0..LEAST_URGENT_RANK) { "urgency $rank is not within 0..$LEAST_URGENT_RANK" }
    }

    /** More urgent requests precede less urgent ones. */
    override fun compareTo(other: Urgency): Int = rank.compareTo(other.rank)
}

/** Rank of the least urgent requests. */
public const val LEAST_URGENT_RANK: Int = 9

/** Returns the urgency of a request on [route] by an organisation whose own priority, if it has one, precedes that of the route. */
public fun urgencyOf(route: Route, organisationPriority: Int?): Urgency =
    Urgency((organisationPriority ?: route.priority).coerceIn(0, LEAST_URGENT_RANK))

/** Returns the urgency of a request of a price tier of [tierClass]. */
public fun urgencyOf(tierClass: TierClass): Urgency =
    when (tierClass) {
        TierClass.URGENT -> Urgency(0)
        TierClass.PATIENT -> Urgency(LEAST_URGENT_RANK)
    }

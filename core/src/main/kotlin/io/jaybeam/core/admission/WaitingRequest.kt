/*
 * A request that waits for room at a service, with all that decides on its place among the others.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.cost.RequestCost

/**
 * A waiting request of type [T]. Times are monotonic milliseconds.
 *
 * @property organisation null if the request's key identifies none.
 * @property session identifies requests that continue one another; null if the caller states none.
 * @property startOnTimeUntilMillis latest start with which the request can still be on time for its latency objective.
 * @property deadlineMillis time at which its caller stops waiting.
 * @property isReturning whether it is a retry after the `Retry-After` of a refusal.
 */
public data class WaitingRequest<T>(
    val value: T,
    val urgency: Urgency,
    val organisation: String?,
    val session: String?,
    val cost: RequestCost,
    val arrivedAtMillis: Long,
    val startOnTimeUntilMillis: Long,
    val deadlineMillis: Long,
    val isReturning: Boolean = false,
)

/*
 * Queue of requests that wait at a target. Urgent requests precede patient ones; a patient request that has waited for its
 * tier's maximum time is served as urgent. Within a class, the organisation that has been served least comes first.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.config.TierClass

/** A request of type [T] in the queue. */
public data class QueuedRequest<T>(
    val value: T,
    val organisation: String,
    val tier: PriceTier,
    val queuedAtMillis: Long,
)

/** Result of offering a request to the queue. */
public sealed class OfferResult<out T> {
    /** The request was added. */
    public data object Queued : OfferResult<Nothing>()

    /** The request was added to the full queue in place of [evicted]. */
    public data class QueuedWithEviction<T>(
        val evicted: QueuedRequest<T>,
    ) : OfferResult<T>()

    /** The queue is full and the request was not added. */
    public data object Full : OfferResult<Nothing>()
}

private const val COUNT_DECAY_FACTOR = 2

/** A bounded queue that orders requests by price tier and organisation. Not thread-safe: confine it to one thread. */
public class TierQueue<T>(
    private val capacity: Int,
) {
    private val queued = mutableListOf<QueuedRequest<T>>()
    private val servedByOrganisation = HashMap<String, Int>()

    /** Number of queued requests. */
    public val size: Int get() = queued.size

    /**
     * Adds [request].
     *
     * If the queue is full, an urgent request replaces the newest patient one. A patient request, or an urgent one in a queue
     * of urgent requests, replaces one of the organisation with the most requests of its class, if its own has at least
     * two fewer.
     */
    public fun offer(request: QueuedRequest<T>): OfferResult<T> {
        if (queued.size < capacity) {
            queued += request
            return OfferResult.Queued
        }
        val newestPatient = queued.filter { it.tier.tierClass == TierClass.PATIENT }.maxByOrNull { it.queuedAtMillis }
        if (request.tier.tierClass == TierClass.PATIENT || newestPatient == null) return replaceForFairness(request)
        queued -= newestPatient
        queued += request
        return OfferResult.QueuedWithEviction(newestPatient)
    }

    /** Removes and returns the request to serve next, or null if the queue is empty. */
    public fun poll(nowMillis: Long): QueuedRequest<T>? {
        val next = queued.minWithOrNull(servingOrder(nowMillis)) ?: return null
        queued -= next
        countServed(next.organisation)
        return next
    }

    /** Removes and returns the urgent requests that have waited longer than their tier allows. */
    public fun removeOverdue(nowMillis: Long): List<QueuedRequest<T>> {
        val overdue = queued.filter { it.tier.tierClass == TierClass.URGENT && nowMillis - it.queuedAtMillis > it.tier.maxWaitMillis }
        queued.removeAll(overdue.toSet())
        return overdue
    }

    /** Removes and returns all requests. */
    public fun drain(): List<QueuedRequest<T>> = queued.toList().also { queued.clear() }

    /** Removes and returns the first request that [matches], or returns null if there is none. */
    public fun remove(matches: (T) -> Boolean): QueuedRequest<T>? {
        val found = queued.firstOrNull { matches(it.value) } ?: return null
        queued -= found
        return found
    }

    /** Replaces a request of the organisation with the most requests of the same class if [request]'s has at least two fewer. */
    private fun replaceForFairness(request: QueuedRequest<T>): OfferResult<T> {
        val sameClass = queued.filter { it.tier.tierClass == request.tier.tierClass }
        val countByOrganisation = sameClass.groupingBy { it.organisation }.eachCount()
        val largest = countByOrganisation.maxByOrNull { it.value } ?: return OfferResult.Full
        val ownCount = countByOrganisation[request.organisation] ?: 0
        if (largest.value <= ownCount + 1) return OfferResult.Full
        val evicted = sameClass.last { it.organisation == largest.key }
        queued -= evicted
        queued += request
        return OfferResult.QueuedWithEviction(evicted)
    }

    private fun servingOrder(nowMillis: Long): Comparator<QueuedRequest<T>> =
        compareBy(
            { urgencyOf(if (it.isServedAsUrgent(nowMillis)) TierClass.URGENT else it.tier.tierClass) },
            { servedByOrganisation[it.organisation] ?: 0 },
            { it.queuedAtMillis },
        )

    private fun QueuedRequest<T>.isServedAsUrgent(nowMillis: Long) =
        tier.tierClass == TierClass.URGENT || nowMillis - queuedAtMillis > tier.maxWaitMillis

    private fun countServed(organisation: String) {
        servedByOrganisation.merge(organisation, 1, Int::plus)
        if (servedByOrganisation.values.sum() <= capacity * COUNT_DECAY_FACTOR) return
        servedByOrganisation.replaceAll { _, count -> count / COUNT_DECAY_FACTOR }
        servedByOrganisation.values.removeIf { it == 0 }
    }
}

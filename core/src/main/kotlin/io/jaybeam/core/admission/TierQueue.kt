/*
 * Work that waits at a target. Urgent before patient; patient work that has waited for its tier's time is
 * served as urgent; among organisations the one served least goes first.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.config.TierClass

/** One waiting request of type [T]. */
public data class Waiting<T>(
    val value: T,
    val organisation: String,
    val tier: PriceTier,
    val queuedAtMillis: Long,
)

/** What came of offering a request to the queue. */
public sealed class QueueVerdict<out T> {
    /** It waits. */
    public data object Queued : QueueVerdict<Nothing>()

    /** It waits, and the patient request [shed] made room for it. */
    public data class QueuedInsteadOf<T>(
        val shed: Waiting<T>,
    ) : QueueVerdict<T>()

    /** The queue has no room for it. */
    public data object Full : QueueVerdict<Nothing>()
}

private const val COUNT_DECAY = 2

/** A bounded queue of price tiers and organisations. Not thread-safe: one thread owns it. */
public class TierQueue<T>(
    private val capacity: Int,
) {
    private val waiting = mutableListOf<Waiting<T>>()
    private val servedByOrganisation = HashMap<String, Int>()

    /** Number of waiting requests. */
    public val size: Int get() = waiting.size

    /** Adds [request], shedding the newest patient request of the busiest organisation if need be. */
    public fun offer(request: Waiting<T>): QueueVerdict<T> {
        if (waiting.size < capacity) {
            waiting += request
            return QueueVerdict.Queued
        }
        val candidate = waiting.filter { it.tier.tierClass == TierClass.PATIENT }.maxByOrNull { it.queuedAtMillis }
        if (request.tier.tierClass == TierClass.PATIENT || candidate == null) return fairReplacement(request)
        waiting -= candidate
        waiting += request
        return QueueVerdict.QueuedInsteadOf(candidate)
    }

    /** Removes and returns the request to serve next, or null when none waits. */
    public fun poll(nowMillis: Long): Waiting<T>? {
        val next = waiting.minWithOrNull(order(nowMillis)) ?: return null
        waiting -= next
        countServed(next.organisation)
        return next
    }

    /** Removes and returns urgent requests that waited longer than their tier allows. */
    public fun removeOverdue(nowMillis: Long): List<Waiting<T>> {
        val overdue = waiting.filter { it.tier.tierClass == TierClass.URGENT && nowMillis - it.queuedAtMillis > it.tier.maxWaitMillis }
        waiting.removeAll(overdue.toSet())
        return overdue
    }

    /** Removes and returns everything. */
    public fun drain(): List<Waiting<T>> = waiting.toList().also { waiting.clear() }

    /** Removes the first request that matches. */
    public fun remove(matches: (T) -> Boolean): Waiting<T>? {
        val found = waiting.firstOrNull { matches(it.value) } ?: return null
        waiting -= found
        return found
    }

    /** Lets an organisation with little waiting work take the place of one with much, within the same class. */
    private fun fairReplacement(request: Waiting<T>): QueueVerdict<T> {
        val sameClass = waiting.filter { it.tier.tierClass == request.tier.tierClass }
        val countByOrganisation = sameClass.groupingBy { it.organisation }.eachCount()
        val largest = countByOrganisation.maxByOrNull { it.value } ?: return QueueVerdict.Full
        val own = countByOrganisation[request.organisation] ?: 0
        if (largest.value <= own + 1) return QueueVerdict.Full
        val shed = sameClass.last { it.organisation == largest.key }
        waiting -= shed
        waiting += request
        return QueueVerdict.QueuedInsteadOf(shed)
    }

    private fun order(nowMillis: Long): Comparator<Waiting<T>> =
        compareBy(
            { if (it.servedAsUrgent(nowMillis)) 0 else 1 },
            { servedByOrganisation[it.organisation] ?: 0 },
            { it.queuedAtMillis },
        )

    private fun Waiting<T>.servedAsUrgent(nowMillis: Long) =
        tier.tierClass == TierClass.URGENT || nowMillis - queuedAtMillis > tier.maxWaitMillis

    private fun countServed(organisation: String) {
        servedByOrganisation.merge(organisation, 1, Int::plus)
        if (servedByOrganisation.values.sum() <= capacity * COUNT_DECAY) return
        servedByOrganisation.replaceAll { _, count -> count / COUNT_DECAY }
        servedByOrganisation.values.removeIf { it == 0 }
    }
}

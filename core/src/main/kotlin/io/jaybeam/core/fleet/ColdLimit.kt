/*
 * Keeps the requests for cold targets below what they bear. A cold target has an empty cache and fails when many requests
 * come at once, so each instance keeps to its share of the rate that the operator states.
 */
package io.jaybeam.core.fleet

import java.util.concurrent.ConcurrentHashMap

/** Counts requests for each cold target over the last second. Thread-safe. */
public class ColdLimit(
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val sentByTarget = ConcurrentHashMap<String, ArrayDeque<Long>>()

    /** Whether the target called [id] may have one more request within [perSecond]. */
    public fun hasRoom(id: String, perSecond: Double): Boolean {
        val sent = sentByTarget[id] ?: return perSecond >= 1.0
        return synchronized(sent) {
            dropOld(sent)
            sent.size + 1 <= perSecond
        }
    }

    /** Takes one request for the target called [id]; returns false, and takes none, if there is no room left. */
    public fun tryTake(id: String, perSecond: Double): Boolean {
        val sent = sentByTarget.computeIfAbsent(id) { ArrayDeque() }
        return synchronized(sent) {
            dropOld(sent)
            val hasRoom = sent.size + 1 <= perSecond
            if (hasRoom) sent.addLast(nanoTime())
            hasRoom
        }
    }

    /** Forgets all targets that are not in [ids]. */
    public fun retain(ids: Set<String>) {
        sentByTarget.keys.retainAll(ids)
    }

    private fun dropOld(sent: ArrayDeque<Long>) {
        val oldest = nanoTime() - WINDOW_NANOS
        while (sent.isNotEmpty() && sent.first() <= oldest) sent.removeFirst()
    }
}

private const val WINDOW_NANOS = 1_000_000_000L

/**
 * Returns the requests a second that one of [instances] may send to a cold target that bears [perSecond] from all of them.
 *
 * At least one, as an instance that could send none would never serve a service whose targets are all cold.
 */
public fun coldShare(perSecond: Double, instances: Int): Double = maxOf(perSecond / maxOf(instances, 1), 1.0)

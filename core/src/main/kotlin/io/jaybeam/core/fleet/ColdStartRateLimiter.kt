/*
 * Limits the request rate of targets in cold start. Such a target has an empty cache and fails when many requests arrive at
 * once, so each instance may use only its share of the rate that the operator configures.
 */
package io.jaybeam.core.fleet

import java.util.concurrent.ConcurrentHashMap

/** Counts the requests sent to each target in cold start during the last second. Thread-safe. */
public class ColdStartRateLimiter(
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val sendTimesByTarget = ConcurrentHashMap<String, ArrayDeque<Long>>()

    /** Whether the target with [targetId] may have one more request within [requestsPerSecond]. */
    public fun hasCapacity(targetId: String, requestsPerSecond: Double): Boolean {
        val sendTimes = sendTimesByTarget[targetId] ?: return requestsPerSecond >= 1.0
        return synchronized(sendTimes) {
            removeExpired(sendTimes)
            sendTimes.size + 1 <= requestsPerSecond
        }
    }

    /** Counts a request for the target with [targetId]; returns false, and counts none, if [requestsPerSecond] is reached. */
    public fun tryAcquire(targetId: String, requestsPerSecond: Double): Boolean {
        val sendTimes = sendTimesByTarget.computeIfAbsent(targetId) { ArrayDeque() }
        return synchronized(sendTimes) {
            removeExpired(sendTimes)
            val hasCapacity = sendTimes.size + 1 <= requestsPerSecond
            if (hasCapacity) sendTimes.addLast(nanoTime())
            hasCapacity
        }
    }

    /** Removes all targets whose id is not in [targetIds]. */
    public fun retain(targetIds: Set<String>) {
        sendTimesByTarget.keys.retainAll(targetIds)
    }

    private fun removeExpired(sendTimes: ArrayDeque<Long>) {
        val cutoffNanos = nanoTime() - WINDOW_NANOS
        while (sendTimes.isNotEmpty() && sendTimes.first() <= cutoffNanos) sendTimes.removeFirst()
    }
}

private const val WINDOW_NANOS = 1_000_000_000L

/**
 * Returns the requests per second that each of [instanceCount] instances may send to a target in cold start that sustains
 * [requestsPerSecond] from all of them.
 *
 * The result is at least one, because an instance with a lower rate could never serve a service whose targets are all in
 * cold start.
 */
public fun coldStartRatePerInstance(requestsPerSecond: Double, instanceCount: Int): Double =
    maxOf(requestsPerSecond / maxOf(instanceCount, 1), 1.0)

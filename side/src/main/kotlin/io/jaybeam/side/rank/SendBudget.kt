/*
 * Limits how fast the coordinator sends maps. They share the network link of its instance with calls that are given up after
 * a time, and all ranks are due a map at the same moment.
 */
package io.jaybeam.side.rank

// Less than a link of 5 Mbit/s carries, so that what waits in front of a call is no more than a burst.
private const val BYTES_PER_SECOND = 400_000L

// More than is sent between two ticks of the coordinator.
private const val BURST_BYTES = 12_000L
private const val MILLIS_PER_SECOND = 1_000L

/**
 * Bytes that may be sent at once; they come back at a steady rate. Not thread-safe.
 *
 * A message may exceed what is left, as long as anything is, so one of any size is sent at last.
 */
internal class SendBudget(
    private val nowMillis: () -> Long,
) {
    private var availableBytes = BURST_BYTES
    private var updatedAtMillis = nowMillis()

    /** Whether a message may be sent now. */
    fun hasRoom(): Boolean {
        val now = nowMillis()
        availableBytes = minOf(BURST_BYTES, availableBytes + (now - updatedAtMillis) * BYTES_PER_SECOND / MILLIS_PER_SECOND)
        updatedAtMillis = now
        return availableBytes > 0
    }

    /** Records that a message of [bytes] was sent. */
    fun spend(bytes: Int) {
        availableBytes -= bytes
    }
}

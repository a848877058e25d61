/*
 * Limits the bytes that a process sends of what it could also send later, or not at all.
 */
package io.jaybeam.core.fleet

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * Bytes that may be sent: [bytesPerSecond] on average and [burstBytes] at once. A message may exceed what is left, which the
 * following ones wait for. Not thread-safe; times are monotonic milliseconds.
 */
public class ByteBudget(
    private val bytesPerSecond: Int,
    private val burstBytes: Int,
) {
    private var availableBytes = burstBytes.toDouble()
    private var updatedAtMillis: Long? = null

    /** Returns the share of the burst that is available at [nowMillis], at most 1; negative while a large message is paid off. */
    public fun availableShare(nowMillis: Long): Double {
        val elapsedMillis = updatedAtMillis?.let { maxOf(nowMillis - it, 0) } ?: 0
        updatedAtMillis = nowMillis
        availableBytes = minOf(burstBytes.toDouble(), availableBytes + elapsedMillis * bytesPerSecond / MILLIS_PER_SECOND)
        return availableBytes / burstBytes
    }

    /** Records that a message of [bytes] was sent. */
    public fun spend(bytes: Int) {
        availableBytes -= bytes
    }
}

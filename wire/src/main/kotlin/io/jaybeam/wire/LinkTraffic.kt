/*
 * Counts the frames and bytes on all links of a process. An instance's network link is often the scarcest resource of a
 * process that exchanges frames with many peers.
 */
package io.jaybeam.wire

import java.util.concurrent.atomic.AtomicLong

/**
 * Frames and bytes on the links of a process since it started. Bytes include the length prefix of each frame, but not the
 * headers of TCP and IP.
 */
public data class LinkTotals(
    val receivedFrames: Long,
    val receivedBytes: Long,
    val sentFrames: Long,
    val sentBytes: Long,
) {
    /** Returns the traffic since [earlier]. */
    public operator fun minus(earlier: LinkTotals): LinkTotals =
        LinkTotals(
            receivedFrames - earlier.receivedFrames,
            receivedBytes - earlier.receivedBytes,
            sentFrames - earlier.sentFrames,
            sentBytes - earlier.sentBytes,
        )
}

/** Counters of the traffic on links. Thread-safe. */
public class LinkTraffic {
    private val receivedFrames = AtomicLong()
    private val receivedBytes = AtomicLong()
    private val sentFrames = AtomicLong()
    private val sentBytes = AtomicLong()

    /** Counts a received frame of [size] bytes. */
    public fun onReceived(size: Int) {
        receivedFrames.incrementAndGet()
        receivedBytes.addAndGet(size.toLong())
    }

    /** Counts a sent frame of [size] bytes. */
    public fun onSent(size: Int) {
        sentFrames.incrementAndGet()
        sentBytes.addAndGet(size.toLong())
    }

    /** Returns the traffic since the process started. */
    public fun totals(): LinkTotals = LinkTotals(receivedFrames.get(), receivedBytes.get(), sentFrames.get(), sentBytes.get())
}

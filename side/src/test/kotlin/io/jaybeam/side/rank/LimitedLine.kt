package io.jaybeam.side.rank

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val NANOS_PER_SECOND = 1_000_000_000L

/** One direction of a network link: what is sent arrives in order, at [bytesPerSecond]. */
internal class LimitedLine(
    private val bytesPerSecond: Long,
) : AutoCloseable {
    private class Transfer(
        val arrivesAtNanos: Long,
        val onArrival: () -> Unit,
    )

    private val transfers = LinkedBlockingQueue<Transfer>()
    private val sentBytes = AtomicLong()
    private var freeAtNanos = System.nanoTime()
    private val deliverer = thread(isDaemon = true) { deliver() }

    /** Number of bytes sent so far, including those that have not arrived yet. */
    val totalBytes: Long get() = sentBytes.get()

    /** Time until something that is sent now would begin to travel, in milliseconds. */
    val queuedMillis: Long get() = synchronized(this) { maxOf(0, freeAtNanos - System.nanoTime()) / NANOS_PER_MILLI }

    fun send(bytes: Int, onArrival: () -> Unit) {
        sentBytes.addAndGet(bytes.toLong())
        synchronized(this) {
            freeAtNanos = maxOf(freeAtNanos, System.nanoTime()) + bytes * NANOS_PER_SECOND / bytesPerSecond
            transfers += Transfer(freeAtNanos, onArrival)
        }
    }

    override fun close() = deliverer.interrupt()

    private fun deliver() {
        try {
            while (true) {
                val transfer = transfers.take()
                TimeUnit.NANOSECONDS.sleep(transfer.arrivesAtNanos - System.nanoTime())
                transfer.onArrival()
            }
        } catch (e: InterruptedException) {
            return
        }
    }
}

/*
 * Steady load on a fleet's entries from many callers, with what came of it.
 */
package io.jaybeam.scenarios

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val MAX_MICROS = 120_000_000L
private const val DIGITS = 3
private const val MICROS_PER_MILLI = 1_000.0

/** Callers that send one request after another until stopped. */
public class Load(
    private val callers: Int,
    private val send: (Int) -> Reply,
) {
    private val stopped = AtomicBoolean()
    private val sequence = AtomicInteger()
    private val firstByte = ConcurrentHistogram(MAX_MICROS, DIGITS)
    private val total = ConcurrentHistogram(MAX_MICROS, DIGITS)
    private val threads = mutableListOf<Thread>()

    /** Whole answers with status 200. */
    public val whole: AtomicInteger = AtomicInteger()

    /** Every reply that was not whole. */
    public val failures: ConcurrentLinkedQueue<Reply> = ConcurrentLinkedQueue()

    /** Starts the callers. */
    public fun start(): Load {
        repeat(callers) { threads += thread(name = "caller-$it") { work() } }
        return this
    }

    /** Stops after the requests under way. */
    public fun stop(): Load {
        stopped.set(true)
        threads.forEach { it.join() }
        return this
    }

    /** Returns percentile [percent] of the time to the first byte, in milliseconds. */
    public fun firstByteMillis(percent: Double): Double = firstByte.getValueAtPercentile(percent) / MICROS_PER_MILLI

    /** Returns percentile [percent] of the time to the end, in milliseconds. */
    public fun totalMillis(percent: Double): Double = total.getValueAtPercentile(percent) / MICROS_PER_MILLI

    private fun work() {
        while (!stopped.get()) {
            when (val reply = send(sequence.getAndIncrement())) {
                is Reply.Whole -> record(reply)
                is Reply.Refused, is Reply.Cut -> failures += reply
            }
        }
    }

    private fun record(reply: Reply.Whole) {
        if (reply.status != HTTP_OK) {
            failures += reply
            return
        }
        whole.incrementAndGet()
        firstByte.recordValue((reply.firstByteMillis * MICROS_PER_MILLI).toLong())
        total.recordValue((reply.totalMillis * MICROS_PER_MILLI).toLong())
    }
}

private const val HTTP_OK = 200

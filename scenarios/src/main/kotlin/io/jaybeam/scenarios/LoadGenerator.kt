/*
 * Load generator: concurrent callers that send requests to a fleet, with counts and latencies of the replies.
 */
package io.jaybeam.scenarios

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val MAX_LATENCY_MICROS = 120_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MICROS_PER_MILLI = 1_000.0

/** Runs [callers] threads that call [send] with consecutive request numbers, each one request after another, until stopped. */
public class LoadGenerator(
    private val callers: Int,
    private val send: (Int) -> Reply,
) {
    private val stopped = AtomicBoolean()
    private val sequence = AtomicInteger()
    private val firstByteMicros = ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
    private val totalMicros = ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
    private val threads = mutableListOf<Thread>()

    /** Number of complete answers with status 200. */
    public val completeCount: AtomicInteger = AtomicInteger()

    /** All other replies. */
    public val failures: ConcurrentLinkedQueue<Reply> = ConcurrentLinkedQueue()

    /** Starts the caller threads. */
    public fun start(): LoadGenerator {
        repeat(callers) { threads += thread(name = "caller-$it") { runCaller() } }
        return this
    }

    /** Stops the callers and waits for their requests in flight. */
    public fun stop(): LoadGenerator {
        stopped.set(true)
        threads.forEach { it.join() }
        return this
    }

    /** Returns the [percent]th percentile of the time to the first byte, in milliseconds. */
    public fun firstByteMillis(percent: Double): Double = firstByteMicros.getValueAtPercentile(percent) / MICROS_PER_MILLI

    /** Returns the [percent]th percentile of the time to the end of the answer, in milliseconds. */
    public fun totalMillis(percent: Double): Double = totalMicros.getValueAtPercentile(percent) / MICROS_PER_MILLI

    private fun runCaller() {
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
        completeCount.incrementAndGet()
        firstByteMicros.recordValue((reply.firstByteMillis * MICROS_PER_MILLI).toLong())
        totalMicros.recordValue((reply.totalMillis * MICROS_PER_MILLI).toLong())
    }
}

private const val HTTP_OK = 200

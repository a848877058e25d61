/*
 * A worker thread with a bounded queue of messages.
 */
package io.jaybeam.runtime

import io.jaybeam.runtime.observe.EventLog
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * Handles messages of type [M] one at a time, in order, and calls [onTick] about every [tickMillis].
 *
 * A message or tick that throws, an [Error] included, is logged, and the thread continues with the next one.
 *
 * State that is used only by [onMessage] and [onTick] needs no lock.
 */
public class WorkerThread<M : Any>(
    private val name: String,
    capacity: Int,
    private val tickMillis: Long,
    private val events: EventLog,
    private val onMessage: (M) -> Unit,
    private val onTick: () -> Unit,
) : AutoCloseable {
    private val queue = ArrayBlockingQueue<M>(capacity)

    @Volatile
    private var isRunning = true
    private lateinit var worker: Thread

    /** Number of queued messages. */
    public val backlog: Int get() = queue.size

    /** Starts the thread. */
    public fun start() {
        worker = thread(name = name, isDaemon = true) { runLoop() }
    }

    /** Queues [message]; returns false if the queue is full. */
    public fun offer(message: M): Boolean = queue.offer(message)

    /** Queues [message], blocking while the queue is full. Intended for messages that must not be lost. */
    public fun put(message: M) {
        queue.put(message)
    }

    override fun close() {
        isRunning = false
        if (::worker.isInitialized) worker.interrupt()
    }

    private fun runLoop() {
        var nextTickNanos = System.nanoTime()
        while (isRunning) {
            try {
                val message = queue.poll(tickMillis, TimeUnit.MILLISECONDS)
                if (message != null) onMessage(message)
                if (System.nanoTime() >= nextTickNanos) {
                    nextTickNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(tickMillis)
                    onTick()
                }
            } catch (e: InterruptedException) {
                return
            } catch (e: Throwable) {
                events.writeUnexpectedFailure(name, e)
            }
        }
    }
}

/*
 * A stream that was started from a queue. It tells the queue once about its first event and its end, with what it counted for there.
 */
package io.jaybeam.entry.direct

/** The started stream of [arrival], which waited in [queue]. Used by one thread. */
internal class StartedStream(
    private val queue: StreamQueue,
    private val arrival: StreamArrival,
) {
    private var isRunning = false

    /** Records an event, [gapMillis] after the previous one. */
    fun onEvent(gapMillis: () -> Long) {
        if (isRunning) {
            queue.onEvent(gapMillis())
        } else {
            isRunning = true
            queue.onFirstEvent(arrival.cost.readMillis)
        }
    }

    /** Records the end. */
    fun onEnd() = queue.onEnd(isRunning, arrival.maxGapMillis, arrival.cost.readMillis)
}

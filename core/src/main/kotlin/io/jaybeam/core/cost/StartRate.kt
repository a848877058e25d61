/*
 * Rate at which an instance starts requests, from which it infers how many others have started since a report.
 */
package io.jaybeam.core.cost

import kotlin.math.exp

/** Rate over the last seconds. Thread-safe; [nowMillis] is monotonic. */
public class StartRate(
    private val nowMillis: () -> Long,
) {
    private var count = 0.0
    private var countedAtMillis = nowMillis()

    /** Records the start of a request. */
    @Synchronized
    public fun onStart() {
        count = currentCount() + 1
        countedAtMillis = nowMillis()
    }

    /** Returns the number of requests that start in [millis]. */
    @Synchronized
    public fun expectedIn(millis: Long): Double = currentCount() * millis / MEMORY_MILLIS

    private fun currentCount() = count * exp(-(nowMillis() - countedAtMillis).toDouble() / MEMORY_MILLIS)

    private companion object {
        const val MEMORY_MILLIS = 1_000.0
    }
}

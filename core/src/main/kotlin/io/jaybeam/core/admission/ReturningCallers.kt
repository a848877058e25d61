/*
 * Recognises requests that are retried after the `Retry-After` of their refusal.
 *
 * Answers load that lasts longer than one refusal: such a retry would otherwise queue behind all requests that arrived meanwhile,
 * and most callers retry only once. An earlier retry is treated as a new request, so that retrying at once gains nothing.
 */
package io.jaybeam.core.admission

// Longer than the time limits of streams; a later repetition is a new request.
private const val MAX_ABSENCE_MILLIS = 10_000L
private const val MAX_CALLERS = 4_000

// Tolerance for the differences of clocks and network delays.
private const val EARLY_MILLIS = 20L

/** Refusals of one instance, by the content of the requests. Not thread-safe; times are monotonic milliseconds. */
public class ReturningCallers {
    private val returnAtMillis =
        object : LinkedHashMap<String, Long>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Long>) = size > MAX_CALLERS
        }

    /** Records that a request with [content] was refused with a `Retry-After` of [delayMillis]. */
    public fun onRefused(content: String, delayMillis: Long, nowMillis: Long) {
        returnAtMillis.remove(content)
        returnAtMillis[content] = nowMillis + delayMillis
    }

    /** Whether a request with [content] is a retry after its `Retry-After`; each refusal counts for one retry. */
    public fun onArrival(content: String, nowMillis: Long): Boolean {
        val expectedMillis = returnAtMillis.remove(content) ?: return false
        return nowMillis >= expectedMillis - EARLY_MILLIS && nowMillis <= expectedMillis + MAX_ABSENCE_MILLIS
    }
}

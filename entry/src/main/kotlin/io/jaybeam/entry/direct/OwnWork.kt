/*
 * Counts the requests that this entry has started, and those that wait at it, by service and urgency.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.LEAST_URGENT_RANK
import io.jaybeam.core.admission.ServiceLoad
import io.jaybeam.core.admission.Urgency

// A peer refuses a longer time.
private const val MAX_WAITING_FOR_MILLIS = 3_600_000L

/** Work of one entry. Thread-safe; [nowMillis] is monotonic. */
internal class OwnWork(
    private val nowMillis: () -> Long,
) {
    private class Counts {
        val started = IntArray(LEAST_URGENT_RANK + 1)
        val waiting = IntArray(LEAST_URGENT_RANK + 1)
        var waitingSinceMillis = 0L
    }

    private val countsByService = HashMap<String, Counts>()

    /** Called after a request has begun to wait where none as urgent has waited; set before requests are served. */
    @Volatile
    var onUrgentWaiting: (Urgency) -> Unit = {}

    /** Records that a request begins to wait for room. */
    fun onWaiting(service: String, urgency: Urgency) {
        val isFirst =
            synchronized(countsByService) {
                val counts = countsByService.getOrPut(service) { Counts() }
                if (counts.waiting.all { it == 0 }) counts.waitingSinceMillis = nowMillis()
                counts.waiting[urgency.rank] += 1
                counts.waiting.take(urgency.rank + 1).sum() == 1
            }
        if (isFirst) onUrgentWaiting(urgency)
    }

    /** Records that a request does not wait any more, whether it starts or not. */
    fun onWaitEnded(service: String, urgency: Urgency) = change(service) { it.waiting[urgency.rank] -= 1 }

    /** Records that a request is sent to targets. */
    fun onStarted(service: String, urgency: Urgency) = change(service) { it.started[urgency.rank] += 1 }

    /** Records that a request that was started has ended. */
    fun onEnded(service: String, urgency: Urgency) = change(service) { it.started[urgency.rank] -= 1 }

    /** Returns the load of each service with any. */
    fun loads(): List<ServiceLoad> =
        synchronized(countsByService) {
            countsByService.values.removeIf { counts -> (counts.started + counts.waiting).all { it == 0 } }
            countsByService.map { (service, counts) ->
                val waiting = withoutTrailingZeros(counts.waiting)
                val waitingForMillis =
                    if (waiting.isEmpty()) {
                        0
                    } else {
                        (nowMillis() - counts.waitingSinceMillis).coerceIn(
                            0,
                            MAX_WAITING_FOR_MILLIS,
                        )
                    }
                ServiceLoad(service, withoutTrailingZeros(counts.started), waiting, waitingForMillis)
            }
        }

    private fun change(service: String, change: (Counts) -> Unit) {
        synchronized(countsByService) { change(countsByService.getOrPut(service) { Counts() }) }
    }

    private fun withoutTrailingZeros(counts: IntArray) = counts.toList().dropLastWhile { it == 0 }
}

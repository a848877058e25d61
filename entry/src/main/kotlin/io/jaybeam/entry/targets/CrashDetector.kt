/*
 * Decides whether the requests in flight at a side that was replaced are suspects of having crashed its target. They are
 * if the target's incarnation changed as well. The loss of the side alone gives no reason to suspect them.
 */
package io.jaybeam.entry.targets

import io.jaybeam.core.ticket.TargetIncarnation

/** Fingerprints of the requests that were in flight at the side [identity] when its target crashed. */
internal data class CrashSuspects(
    val identity: TargetIncarnation,
    val fingerprints: List<String>,
)

/** Detects crashes of the target on one instance. Thread-safe. */
internal class CrashDetector {
    /** Fingerprints of the requests in flight when the link was lost. */
    private val lostRequests = LinkedHashSet<String>()
    private var targetIncarnation: String? = null
    private var pending: CrashSuspects? = null

    /** Records that a request with [fingerprint] was in flight when the link was lost. */
    @Synchronized
    fun onLinkLost(fingerprint: String) {
        lostRequests += fingerprint
    }

    /** Records that a link to the side [current] is established. [previous] is the side of the last link, or null for the first. */
    @Synchronized
    fun onHello(previous: TargetIncarnation?, current: TargetIncarnation) {
        if (previous != null && previous != current && lostRequests.isNotEmpty()) pending = CrashSuspects(previous, lostRequests.toList())
        lostRequests.clear()
    }

    /** Records the target's current [incarnation]; returns the suspects if an earlier incarnation ended together with its side. */
    @Synchronized
    fun onTargetIncarnation(incarnation: String): CrashSuspects? {
        val suspects = pending.takeIf { incarnation != targetIncarnation }
        targetIncarnation = incarnation
        pending = null
        return suspects
    }
}

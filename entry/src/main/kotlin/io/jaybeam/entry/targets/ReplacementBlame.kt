/*
 * Whether the requests that were in flight at a side that was replaced may have crashed its target. A side that dies
 * alone tells nothing of them: only a target that began another life meanwhile does.
 */
package io.jaybeam.entry.targets

import io.jaybeam.core.ticket.TargetIncarnation

/** Requests that were in flight at the side [identity] when its target died. */
internal data class BlamedRequests(
    val identity: TargetIncarnation,
    val fingerprints: List<String>,
)

/** Follows one instance. Thread-safe. */
internal class ReplacementBlame {
    private val lostFingerprints = LinkedHashSet<String>()
    private var targetIncarnation: String? = null
    private var pending: BlamedRequests? = null

    /** Notes that the link was lost with a request of [fingerprint] in flight. */
    @Synchronized
    fun onLost(fingerprint: String) {
        lostFingerprints += fingerprint
    }

    /** Notes that the side is [now]; it was [before], null if it was not known. */
    @Synchronized
    fun onIntroduced(before: TargetIncarnation?, now: TargetIncarnation) {
        if (before != null && before != now && lostFingerprints.isNotEmpty()) pending = BlamedRequests(before, lostFingerprints.toList())
        lostFingerprints.clear()
    }

    /** Notes that the target's present life is [incarnation]; returns the requests in flight when an earlier one ended. */
    @Synchronized
    fun onTargetSeen(incarnation: String): BlamedRequests? {
        val blamed = pending.takeIf { incarnation != targetIncarnation }
        targetIncarnation = incarnation
        pending = null
        return blamed
    }
}

/*
 * The rule LOST: requests whose connection ended without a complete answer, although all targets that got them answered soundly.
 *
 * Excused are requests on connections to processes that were killed or paused meanwhile, and those whose time had run out. An entry that
 * is being stopped finishes what it has passed on: each such request counts. Of others, [KEPT_CLOSES_ALLOWED] may cross a close.
 */
package io.jaybeam.soak

internal fun lostRequests(requests: List<SentRequest>, arrivals: List<Arrival>): List<BrokenRule> {
    val arrivalsById = arrivals.groupBy { it.id }
    val lost =
        requests.filter { request ->
            val passedOn = arrivalsById[request.id].orEmpty()
            passedOn.isNotEmpty() && passedOn.all { it.behaviour in soundBehaviours } && request.isLost()
        }
    val (stopped, others) = lost.partition { it.wasInterrupted(Disruption.STOP) }
    return stopped.map { BrokenRule("LOST", it.id, "ended ${it.openMillis()} ms after it was sent, by an entry that stops") } +
        others.drop(KEPT_CLOSES_ALLOWED).map { BrokenRule("LOST", it.id, "connection closed ${it.openMillis()} ms after it was sent") }
}

private fun SentRequest.isLost(): Boolean = lostNanos != null && excuses.none(::wasInterrupted) && openMillis() < LOST_LIMIT_MILLIS

private fun SentRequest.wasInterrupted(disruption: Disruption): Boolean =
    entry.interruptions.any { it.disruption == disruption && it.fromNanos <= (lostNanos ?: 0) && it.untilNanos >= connectedNanos }

private fun SentRequest.openMillis() = ((lostNanos ?: 0) - sentNanos) / NANOS_PER_MILLI

private val excuses = listOf(Disruption.KILL, Disruption.KILL_ALL, Disruption.PAUSE)
private val soundBehaviours = setOf(Behaviour.SOUND, Behaviour.SLOW)
private const val KEPT_CLOSES_ALLOWED = 3
private const val LOST_LIMIT_MILLIS = DEADLINE_MILLIS * 7L / 10

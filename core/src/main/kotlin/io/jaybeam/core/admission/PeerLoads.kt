/*
 * What other entries have started and what waits at them, by service and urgency, as far as they have said so recently.
 *
 * The load for which it is made: callers of unlike urgency that reach different entries. An entry at which only less urgent
 * requests arrive would start them while more urgent ones wait at its peers. What a peer said counts for a few of its messages
 * only, so an entry that is alone, cut off or was frozen sees nothing and decides by its own requests. An entry hears from those
 * that it is linked to, at most [MAX_PEERS], so what it keeps does not grow with the fleet.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.fleet.FleetConfig

/** Time after which what a peer said does not count any more, in milliseconds. */
public const val PEER_LOAD_TRUST_MILLIS: Long = 2_500L

private const val MAX_PEERS = 64
private const val MAX_SERVICES = 64
private const val MAX_REQUESTS = 1_000_000
private const val MAX_WAIT_MILLIS = 3_600_000L

/**
 * Requests of one service at one entry. Lists are indexed by [Urgency.rank], without trailing zeros.
 *
 * @property started requests that were sent to a target and have not ended.
 * @property waiting requests that wait for room.
 * @property waitingForMillis time for which requests have been waiting without a break; 0 if none waits.
 */
public data class ServiceLoad(
    val service: String,
    val started: List<Int>,
    val waiting: List<Int>,
    val waitingForMillis: Long,
) {
    /** Returns the number of waiting requests that are more urgent than [urgency]. */
    public fun waitingBefore(urgency: Urgency): Int = waiting.take(urgency.rank).sum()

    internal fun isUsable(): Boolean =
        listOf(started, waiting).all { counts -> counts.size <= LEAST_URGENT_RANK + 1 && counts.all { it in 0..MAX_REQUESTS } } &&
            waitingForMillis in 0..MAX_WAIT_MILLIS
}

/** Loads that peers have stated. Thread-safe; times are monotonic milliseconds. */
public class PeerLoads {
    private class PeerLoad(
        val byService: Map<String, ServiceLoad>,
        val atMillis: Long,
    )

    private val loadByPeer = HashMap<String, PeerLoad>()

    /** Replaces what [peer] said by [loads]; returns false if they cannot be used, and then forgets what it said. */
    public fun onNews(peer: String, loads: List<ServiceLoad>, nowMillis: Long): Boolean =
        synchronized(loadByPeer) {
            loadByPeer.remove(peer)
            loadByPeer.values.removeIf { !it.isTrusted(nowMillis) }
            if (loads.size > MAX_SERVICES || !loads.all { it.isUsable() }) return false
            if (loadByPeer.size < MAX_PEERS) loadByPeer[peer] = PeerLoad(loads.associateBy { it.service }, nowMillis)
            true
        }

    /** Forgets what [peer] said, because the link to it has closed. */
    public fun forget(peer: String) {
        synchronized(loadByPeer) { loadByPeer.remove(peer) }
    }

    /** Returns the number of requests of [service] that wait at peers and are more urgent than [urgency]. */
    public fun urgentWaitingElsewhere(service: String, urgency: Urgency, nowMillis: Long): Int =
        trusted(service, nowMillis).sumOf { it.waitingBefore(urgency) }

    /** Returns the number of requests of [service] that peers have sent to its targets. */
    public fun startedElsewhere(service: String, nowMillis: Long): Int = trusted(service, nowMillis).sumOf { it.started.sum() }

    private fun trusted(service: String, nowMillis: Long): List<ServiceLoad> =
        synchronized(loadByPeer) { loadByPeer.values.filter { it.isTrusted(nowMillis) }.mapNotNull { it.byService[service] } }

    private fun PeerLoad.isTrusted(nowMillis: Long) = nowMillis - atMillis <= PEER_LOAD_TRUST_MILLIS
}

/** Returns the most and the least urgent that a request under this configuration can be; null if all are equally urgent. */
public fun FleetConfig.urgencyRangeOrNull(): ClosedRange<Urgency>? {
    val ownPriorities = organisations.map { it.priority }
    val usesRoutePriorities = organisations.isEmpty() || null in ownPriorities || routes.any { it.isPublic }
    val priorities = ownPriorities.filterNotNull() + if (usesRoutePriorities) routes.map { it.priority } else emptyList()
    val ranks = priorities.map { it.coerceIn(0, LEAST_URGENT_RANK) }.toSortedSet()
    return if (ranks.size > 1) Urgency(ranks.first())..Urgency(ranks.last()) else null
}

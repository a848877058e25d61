/*
 * Decides when an entry requests state from a peer. Load: all entries get a configuration of a thousand routes from the store
 * within milliseconds and announce it to ten peers each. Requests to each peer that is a few milliseconds ahead would have all
 * entries encode, send and decode that configuration many times, so an entry leaves it to the store first, then to one peer at
 * a time.
 */
package io.jaybeam.entry.direct

import io.jaybeam.wire.Frame

// Entries that the store answers have a change in force within this time of each other. Callers of any entry must see a change
// within two seconds, which leaves time for several peers.
private const val STORE_LEAD_MILLIS = 300L

// A peer encodes and sends a large configuration within this time.
private const val REPLY_LIMIT_MILLIS = 400L

/** Limits the requests of one entry for configurations. Thread-safe. */
internal class PeerRequests(
    private val nanoTime: () -> Long = System::nanoTime,
) {
    /** A version of the configuration that this entry has, while a peer has a newer one. */
    private class Lag(
        val configVersion: Long,
        val sinceNanos: Long,
        var requestedAtNanos: Long? = null,
    )

    private var lag: Lag? = null

    /**
     * Returns what to request now from the peer that sent [news]; null if nothing. [lacking] is the request for all that this
     * entry lacks of the peer's state.
     */
    fun next(news: Frame.FleetNews, lacking: Frame.FleetRequest): Frame.FleetRequest? =
        when {
            news.configVersion <= lacking.configVersion -> lacking
            isConfigDue(lacking.configVersion) -> lacking
            news.targetsPosition > lacking.targetsPosition -> lacking.copy(isTargetsOnly = true)
            else -> null
        }

    @Synchronized
    private fun isConfigDue(ownVersion: Long): Boolean {
        val nowNanos = nanoTime()
        val current = lag?.takeIf { it.configVersion == ownVersion } ?: Lag(ownVersion, nowNanos).also { lag = it }
        val requestedAtNanos = current.requestedAtNanos
        val isDue =
            when {
                requestedAtNanos != null -> nowNanos - requestedAtNanos >= REPLY_LIMIT_MILLIS * NANOS_PER_MILLI
                // Without any configuration no caller can be served.
                ownVersion == UNREAD -> true
                else -> nowNanos - current.sinceNanos >= STORE_LEAD_MILLIS * NANOS_PER_MILLI
            }
        if (isDue) current.requestedAtNanos = nowNanos
        return isDue
    }
}

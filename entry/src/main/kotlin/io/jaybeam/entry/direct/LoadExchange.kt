/*
 * Tells linked entries what this one has started and what waits at it, and keeps what they tell, so that one entry does not start
 * less urgent requests while more urgent ones wait at another.
 *
 * News is sent only while requests differ in urgency. It goes to linked entries and no further: its bytes grow with an entry's links.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.PeerLoads
import io.jaybeam.core.admission.ServiceLoad
import io.jaybeam.core.admission.Urgency
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.reportedServiceLoadOf

private const val MIN_INTERVAL_MILLIS = 500L

// A frame takes some 50 bytes for a service, so that all links together take a kilobyte a second.
private const val INTERVAL_MILLIS_PER_LINK = 50L
private const val URGENT_INTERVAL_MILLIS = 50L

// A peer refuses news of more services.
private const val MAX_SERVICES = 64
private const val LOG_INTERVAL_MILLIS = 1_000L

/** Exchanges loads of one entry. Thread-safe; [nowMillis] is monotonic. */
internal class LoadExchange(
    private val ownLoads: () -> List<ServiceLoad>,
    private val hasSeveralUrgencies: () -> Boolean,
    private val events: EventLog,
    private val nowMillis: () -> Long,
) {
    private val peerLoads = PeerLoads()
    private var sentAtMillis: Long? = null
    private var hasToldOfWork = false
    private var refusalLoggedAtMillis: Long? = null

    /** Returns the number of requests of [service] that wait at linked entries and are more urgent than [urgency]. */
    fun urgentWaitingElsewhere(service: String, urgency: Urgency): Int = peerLoads.urgentWaitingElsewhere(service, urgency, nowMillis())

    /** Sends news to [receivers] if it is due; sooner if [isUrgent], because the first urgent request begins to wait. */
    fun sendIfDue(receivers: Collection<Link>, isUrgent: Boolean) {
        if (receivers.isEmpty()) return
        val intervalMillis =
            if (isUrgent) URGENT_INTERVAL_MILLIS else maxOf(MIN_INTERVAL_MILLIS, receivers.size * INTERVAL_MILLIS_PER_LINK)
        val loads = if (hasSeveralUrgencies()) ownLoads().sortedByDescending { it.waiting.sum() }.take(MAX_SERVICES) else emptyList()
        synchronized(this) {
            val now = nowMillis()
            if (sentAtMillis?.let { now - it < intervalMillis } == true) return
            // The last news says that nothing is left, so that peers need not wait until what they know is too old.
            if (loads.isEmpty() && !hasToldOfWork) return
            hasToldOfWork = loads.isNotEmpty()
            sentAtMillis = now
        }
        val news = Frame.LoadNews(loads.map(::reportedServiceLoadOf))
        receivers.forEach { it.send(news) }
    }

    /** Records [news] of [peer]. */
    fun onNews(peer: String, news: Frame.LoadNews) {
        val now = nowMillis()
        if (peerLoads.onNews(peer, news.services.map { it.toServiceLoad() }, now)) return
        synchronized(this) {
            if (refusalLoggedAtMillis?.let { now - it < LOG_INTERVAL_MILLIS } == true) return
            refusalLoggedAtMillis = now
        }
        events.write(LogEvent.PEER_LOADS_REFUSED, LogField("peer", peer))
    }

    /** Forgets what [peer] said, because the link to it has closed. */
    fun forget(peer: String) = peerLoads.forget(peer)
}

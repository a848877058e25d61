/*
 * Answers the requests of peers for the fleet state. Encoding a configuration of a thousand routes takes long enough to delay
 * heartbeats and news, so a thread of its own does it, once for all peers that request the same state.
 */
package io.jaybeam.entry.direct

import io.jaybeam.runtime.WorkerThread
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.SharedFrame

// A peer whose request is dropped requests the state again after later news.
private const val MAX_QUEUED_REQUESTS = 64

// Peers that lack a configuration request it within about a second of each other.
private const val KEPT_MILLIS = 5_000L

/** Sends each peer the state of [cache] that it requests. */
internal class PeerReplies(
    private val cache: FleetCache,
    events: EventLog,
) : AutoCloseable {
    private class Request(
        val link: Link,
        val request: Frame.FleetRequest,
    )

    private var lastReply: SharedFrame? = null
    private val worker =
        WorkerThread<Request>("peer-replies", MAX_QUEUED_REQUESTS, KEPT_MILLIS, events, onMessage = ::reply, onTick = { lastReply = null })

    fun start() = worker.start()

    /** Queues the reply to [request], which came over [link]. */
    fun onRequest(link: Link, request: Frame.FleetRequest) {
        worker.offer(Request(link, request))
    }

    override fun close() = worker.close()

    private fun reply(message: Request) {
        val state = cache.stateFor(message.request)
        val reply = lastReply?.takeIf { it.frame == state } ?: SharedFrame(state).encode().also { lastReply = it }
        message.link.send(reply)
    }
}

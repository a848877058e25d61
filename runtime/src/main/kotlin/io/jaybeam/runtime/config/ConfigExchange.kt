/*
 * Keeps the two ends of a link at the same configuration: whoever learns that it is behind asks.
 */
package io.jaybeam.runtime.config

import io.jaybeam.core.config.ConfigDelta
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

/** Answers and sends the configuration frames of a link. */
public class ConfigExchange(
    private val controller: ConfigController,
) {
    /** Asks the peer for its changes if it is at a later version than this process. */
    public fun onPeerVersion(link: Link, peerVersion: Long) {
        val own = controller.version()
        if (peerVersion > own) link.send(Frame.ConfigRequest(own))
    }

    /** Answers a peer that is behind. */
    public fun onRequest(link: Link, request: Frame.ConfigRequest) {
        val state = controller.stateOrNull() ?: return
        val delta = state.deltaSince(request.sinceVersion)
        link.send(Frame.ConfigChanges(delta.sinceVersion, delta.version, delta.changes))
    }

    /** Takes the peer's answer. */
    public fun onChanges(changes: Frame.ConfigChanges) {
        controller.mergeFromPeer(ConfigDelta(changes.sinceVersion, changes.version, changes.changes))
    }
}

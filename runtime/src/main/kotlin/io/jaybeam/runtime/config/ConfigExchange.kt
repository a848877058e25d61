/*
 * Synchronizes the configuration of the two ends of a link: the end with the older version requests the changes.
 */
package io.jaybeam.runtime.config

import io.jaybeam.core.config.ConfigDelta
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

/** Sends and answers the configuration frames of a link. */
public class ConfigExchange(
    private val controller: ConfigController,
) {
    /** Requests the peer's changes if [peerVersion] is later than the version of this process. */
    public fun onPeerVersion(link: Link, peerVersion: Long) {
        val ownVersion = controller.version()
        if (peerVersion > ownVersion) link.send(Frame.ConfigRequest(ownVersion))
    }

    /** Sends the requested changes to a peer with an older version. */
    public fun onRequest(link: Link, request: Frame.ConfigRequest) {
        val state = controller.stateOrNull() ?: return
        val delta = state.deltaSince(request.sinceVersion)
        link.send(Frame.ConfigChanges(delta.sinceVersion, delta.version, delta.changes))
    }

    /** Merges the changes received from the peer. */
    public fun onChanges(changes: Frame.ConfigChanges) {
        controller.mergeFromPeer(ConfigDelta(changes.sinceVersion, changes.version, changes.changes))
    }
}

/*
 * CDS training run of a side process on the loopback interface, without a store or a target. The build runs it once to record
 * the classes that a side process loads, so that the JVM maps them from one archive file when it starts.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetLimits
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.runtime.unusedPorts
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime

private const val HOST = "127.0.0.1"
private const val WARM_UP_MILLIS = 1_500L
private const val PORT_COUNT = 3

/** Makes the training run and returns the exit code of the process. */
internal fun runWarmUp(): Int {
    val addresses = unusedPorts(PORT_COUNT).map { HostPort(HOST, it) }
    val limits = FleetLimits(shutdownGraceMillis = 0, retryPercent = 0, retrySlack = 0, retryWindowMillis = 1, isFencingRequired = true)
    val settings =
        InstanceSettings("rehearsal", "here", HOST, null, null, addresses[0], emptyList(), addresses[1], null, addresses[2], limits)
    rankSideProcess(settings).start()
    LinkRuntime().connect(HOST, addresses[0].port, NoOpLinkHandler, onConnected = { it.send(Frame.Heartbeat(0)) }, onFailed = {})
    Thread.sleep(WARM_UP_MILLIS)
    return 0
}

private object NoOpLinkHandler : LinkHandler {
    override fun onFrame(link: Link, frame: Frame) = Unit

    override fun onClosed(link: Link, reason: String) = Unit
}

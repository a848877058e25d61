/*
 * Starts a side process on loopback with nothing beside it and ends. The build runs it once to record which classes a
 * side process loads, so that the JVM maps them from one file at the next start.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetLimits
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime
import java.net.ServerSocket

private const val HOST = "127.0.0.1"
private const val RUN_MILLIS = 1_500L
private const val PORTS = 3

/** Runs the rehearsal; returns the exit code. */
internal fun rehearseSide(): Int {
    val addresses = List(PORTS) { HostPort(HOST, ServerSocket(0).use { it.localPort }) }
    val bounds = FleetLimits(shutdownGraceMillis = 0, retryPercent = 0, retrySlack = 0, retryWindowMillis = 1, isFencingRequired = true)
    val settings =
        InstanceSettings("rehearsal", "here", HOST, null, null, addresses[0], emptyList(), addresses[1], null, addresses[2], bounds)
    rankSide(settings).start()
    LinkRuntime().connect(HOST, addresses[0].port, IgnoringHandler, onConnected = { it.send(Frame.Heartbeat(0)) }, onFailed = {})
    Thread.sleep(RUN_MILLIS)
    return 0
}

private object IgnoringHandler : LinkHandler {
    override fun onFrame(link: Link, frame: Frame) = Unit

    override fun onClosed(link: Link, reason: String) = Unit
}

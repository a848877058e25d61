/*
 * What a process is told at its start about itself and its surroundings.
 */
package io.jaybeam.core.fleet

import kotlinx.serialization.Serializable

/** Address of a TCP port, by IP number. */
@Serializable
public data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/**
 * Settings of one process.
 *
 * @property instance name of the instance, once in the fleet.
 * @property callers where callers connect; null on an instance that takes none.
 * @property readiness where the balancer asks whether the instance takes callers.
 * @property peers where other processes of the fleet connect.
 * @property seeds peers that may know the fleet; they may be gone.
 * @property target the target on this process's own machine; null where there is none.
 * @property store the platform's log.
 * @property operators where operators read metrics and state; null where nothing is served to them.
 */
public data class InstanceSettings(
    val instance: String,
    val dataCentre: String,
    val host: String,
    val callers: HostPort?,
    val readiness: HostPort?,
    val peers: HostPort,
    val seeds: List<HostPort>,
    val target: HostPort?,
    val targetService: String?,
    val store: HostPort,
    val bounds: FleetBounds,
    val operators: HostPort? = null,
)

/**
 * Limits that the operator sets for the whole fleet.
 *
 * @property graceMillis time between the signal to stop and the end of the process.
 * @property retryPercent sends of a request beyond its first, in percent of requests.
 * @property retrySlack such sends that are allowed besides, from all instances together, in [retryWindowMillis].
 * @property fencing ranks check fencing tokens.
 */
public data class FleetBounds(
    val graceMillis: Long,
    val retryPercent: Int,
    val retrySlack: Int,
    val retryWindowMillis: Long,
    val fencing: Boolean,
)

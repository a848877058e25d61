/*
 * Settings that a process reads when it starts: its identity, its addresses and the limits of the fleet.
 */
package io.jaybeam.core.fleet

import kotlinx.serialization.Serializable

/** IP address and TCP port. */
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
 * @property instance name of the instance, unique in the fleet.
 * @property callerAddress address to which callers connect; null on an instance that takes no callers.
 * @property readinessAddress address at which the load balancer in front of the instance checks its readiness.
 * @property peerAddress address to which other processes of the fleet connect.
 * @property seedAddresses peers from which the process discovers the fleet; some of them may no longer exist.
 * @property targetAddress address of the target on the same instance; null if there is none.
 * @property storeAddress address of the platform's store.
 * @property operatorAddress address at which operators read metrics and state; null if they are not served.
 */
public data class InstanceSettings(
    val instance: String,
    val dataCentre: String,
    val host: String,
    val callerAddress: HostPort?,
    val readinessAddress: HostPort?,
    val peerAddress: HostPort,
    val seedAddresses: List<HostPort>,
    val targetAddress: HostPort?,
    val targetService: String?,
    val storeAddress: HostPort,
    val limits: FleetLimits,
    val operatorAddress: HostPort? = null,
)

/**
 * Limits that the operator sets for the whole fleet.
 *
 * @property shutdownGraceMillis time between the stop signal and the end of the process.
 * @property retryPercent retries allowed, in percent of requests.
 * @property retrySlack additional retries allowed in each [retryWindowMillis], from all instances together.
 * @property isFencingRequired whether ranks check fencing tokens.
 */
public data class FleetLimits(
    val shutdownGraceMillis: Long,
    val retryPercent: Int,
    val retrySlack: Int,
    val retryWindowMillis: Long,
    val isFencingRequired: Boolean,
)

/*
 * Starts an entry on loopback, serves a few requests and ends. The build runs it once to record which classes an entry
 * loads, so that the JVM maps them from one file at the next start.
 */
package io.jaybeam.entry.direct

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.fleet.CallerLimits
import io.jaybeam.core.fleet.CoordinatorTerm
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetLimits
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.Route
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.core.fleet.WeightedService
import io.jaybeam.platform.platformStore
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import io.jaybeam.runtime.observe.EventLog
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.net.ServerSocket
import kotlin.time.Clock

private const val HOST = "127.0.0.1"
private const val SERVICE = "rehearsal"
private const val REQUESTS = 3
private const val TIMEOUT_MILLIS = 2_000L

/** Runs the rehearsal; returns the exit code. */
internal fun rehearseEntry(): Int {
    val ports = List(PORTS) { ServerSocket(0).use { it.localPort } }
    val settings = rehearsalSettings(ports)
    val store = RehearsalStore(checkNotNull(settings.readinessAddress))
    val entry = DirectEntry(settings, store, Clock.System)
    val peer =
        PeerExchange(
            "peer",
            HostPort(HOST, ports.last()),
            listOf(settings.peerAddress),
            store,
            FleetKnowledge(rehearsalLog()),
            rehearsalLog(),
        )
    entry.start()
    peer.start()
    // Nobody listens there; the client and what it needs are loaded all the same.
    platformStore(settings.storeAddress).readLatestTargets()
    val client = singleAttemptClient(HttpTimeouts())
    client.newCall(Request.Builder().url("http://${settings.operatorAddress}/metrics").build()).execute().use { it.body.bytes() }
    repeat(REQUESTS) {
        val request =
            Request
                .Builder()
                .url("http://${settings.callerAddress}/rehearsal/x")
                .post(ByteArray(1).toRequestBody())
                .build()
        client.newCall(request).execute().use { it.body.bytes() }
        Thread.sleep(TIMEOUT_MILLIS / REQUESTS)
    }
    return 0
}

private const val PORTS = 6

private fun rehearsalLog() = EventLog("rehearsal", Clock.System)

private fun rehearsalSettings(ports: List<Int>): InstanceSettings {
    val addresses = ports.map { HostPort(HOST, it) }
    return InstanceSettings(
        instance = "rehearsal",
        dataCentre = "here",
        host = HOST,
        callerAddress = addresses[0],
        readinessAddress = addresses[1],
        peerAddress = addresses[2],
        seedAddresses = listOf(addresses.last()),
        targetAddress = null,
        targetService = null,
        storeAddress = addresses[3],
        limits = FleetLimits(shutdownGraceMillis = 0, retryPercent = 0, retrySlack = 0, retryWindowMillis = 1, isFencingRequired = true),
        operatorAddress = addresses[4],
    )
}

/** A store with one route to one target at [target]. */
private class RehearsalStore(
    private val target: HostPort,
) : FleetStore {
    private val route =
        Route("r", HOST, "/rehearsal/", RouteKind.IDEMPOTENT, TIMEOUT_MILLIS, 0, 0, listOf(WeightedService(SERVICE, 1)), 1, true, false, 0)
    private val config = FleetConfig(1, listOf(route), emptyList(), emptyList(), CallerLimits(1, REQUESTS, 1, 1))

    override fun readLatestTargets(): Either<StoreFault, LogPage<TargetUpdate>> {
        val announced =
            FleetTarget(
                "t",
                SERVICE,
                target.host,
                target.port,
                "here",
                1,
                isDraining = false,
                remainingColdStartMillis = 0,
                startedAtEpochMillis = 0,
            )
        return LogPage(listOf(TargetUpdate.Announced(announced)), 1, emptyList()).right()
    }

    override fun readTargetsFrom(position: Long): Either<StoreFault, LogPage<TargetUpdate>> =
        LogPage(emptyList<TargetUpdate>(), position, emptyList()).right()

    override fun readLatestOperatorUpdates(): Either<StoreFault, LogPage<OperatorUpdate>> =
        LogPage(listOf(OperatorUpdate.Published(config)), 1, emptyList()).right()

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>> =
        StoreFault.Refused("a rehearsal has one configuration").left()

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> = CoordinatorTerm(isCoordinator = false, generation = 1).right()

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = null.right()
}

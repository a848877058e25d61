/*
 * CDS training run of an entry: starts it on the loopback address and serves a few requests. The build runs this once to record
 * which classes an entry loads, so that the JVM maps them from one archive file when an entry starts.
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
import io.jaybeam.core.fleet.TargetNotices
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.core.fleet.WeightedService
import io.jaybeam.platform.platformStore
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.unusedPorts
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import kotlin.time.Clock

private const val HOST = "127.0.0.1"
private const val SERVICE = "rehearsal"
private const val REQUEST_COUNT = 3
private const val TIMEOUT_MILLIS = 2_000L

/** Makes the training run and returns the exit code of the process. */
internal fun warmUpEntry(): Int {
    val ports = unusedPorts(PORT_COUNT)
    val settings = warmUpSettings(ports)
    val store = WarmUpStore(checkNotNull(settings.readinessAddress))
    val entry = DirectEntry(settings, store, Clock.System)
    val peerCache = FleetCache(warmUpLog())
    val peer =
        PeerExchange(
            "peer",
            HostPort(HOST, ports.last()),
            listOf(settings.peerAddress),
            store,
            peerCache,
            CrashGuard(warmUpLog()),
            AnswerNotices(TargetNotices(), peerCache, warmUpLog()),
            GroupExchange({ true }, warmUpLog(), AwakeClock(Clock.System)::nowMillis),
            LoadExchange({ emptyList() }, { false }, warmUpLog(), AwakeClock(Clock.System)::nowMillis),
            warmUpLog(),
        )
    entry.start()
    peer.start()
    // No store listens at this address, but the call loads the client and the classes that it needs.
    platformStore(settings.storeAddress).readLatestTargets()
    val client = singleAttemptClient(HttpTimeouts())
    client.newCall(Request.Builder().url("http://${settings.operatorAddress}/metrics").build()).execute().use { it.body.bytes() }
    repeat(REQUEST_COUNT) {
        val request =
            Request
                .Builder()
                .url("http://${settings.callerAddress}/rehearsal/x")
                .post(ByteArray(1).toRequestBody())
                .build()
        client.newCall(request).execute().use { it.body.bytes() }
        Thread.sleep(TIMEOUT_MILLIS / REQUEST_COUNT)
    }
    return 0
}

private const val PORT_COUNT = 6

private fun warmUpLog() = EventLog("rehearsal", Clock.System)

private fun warmUpSettings(ports: List<Int>): InstanceSettings {
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
private class WarmUpStore(
    private val target: HostPort,
) : FleetStore {
    private val route =
        Route("r", HOST, "/rehearsal/", RouteKind.IDEMPOTENT, TIMEOUT_MILLIS, 0, 0, listOf(WeightedService(SERVICE, 1)), 1, true, false, 0)
    private val config = FleetConfig(1, listOf(route), emptyList(), emptyList(), CallerLimits(1, REQUEST_COUNT, 1, 1))

    override fun readLatestTargets(): Either<StoreFault, LogPage<TargetUpdate>> {
        val targetAnnouncement =
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
        return LogPage(listOf(TargetUpdate.Announced(targetAnnouncement)), 1, emptyList()).right()
    }

    override fun readTargetsFrom(position: Long): Either<StoreFault, LogPage<TargetUpdate>> =
        LogPage(emptyList<TargetUpdate>(), position, emptyList()).right()

    override fun readLatestOperatorUpdates(): Either<StoreFault, LogPage<OperatorUpdate>> =
        LogPage(listOf(OperatorUpdate.Published(config)), 1, emptyList()).right()

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>> =
        StoreFault.Refused("the store of the warm-up holds only one configuration").left()

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> = CoordinatorTerm(isCoordinator = false, generation = 1).right()

    override fun nextTermNumber(group: String, generation: Long): Either<StoreFault, Long> =
        StoreFault.Refused("the store of the warm-up has no counters").left()

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = null.right()
}

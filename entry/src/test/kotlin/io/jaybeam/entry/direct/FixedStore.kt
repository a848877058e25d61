/*
 * The platform's store and configuration as tests of the entry use them.
 */
package io.jaybeam.entry.direct

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.fleet.CallerLimits
import io.jaybeam.core.fleet.CoordinatorTerm
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.Organisation
import io.jaybeam.core.fleet.Route
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.fleet.ServicePolicy
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.core.fleet.WeightedService
import java.util.concurrent.BlockingQueue
import java.util.concurrent.TimeUnit

private const val HOST = "127.0.0.1"
internal const val ROUTE_TIMEOUT_MILLIS = 900L
internal const val FIRST_CONFIG_VERSION = 7L

/** Time limit of the routes with callers that wait long, and of those to the service "group", whose targets are ranks. */
internal const val LONG_TIMEOUT_MILLIS = 5_000L

internal fun route(
    prefix: String,
    kind: RouteKind,
    service: String,
    maxTargets: Int,
) = Route(
    prefix,
    "shop.example",
    prefix,
    kind,
    ROUTE_TIMEOUT_MILLIS,
    100,
    1,
    listOf(WeightedService(service, 1)),
    maxTargets,
    false,
    true,
    0,
)

/** Returns a configuration with the routes that tests use, and [moreRoutes]. */
internal fun fixedConfig(version: Long, vararg moreRoutes: Route) =
    FleetConfig(
        version,
        listOf(
            route("/safe/", RouteKind.IDEMPOTENT, "plain", maxTargets = 2),
            route("/once/", RouteKind.AT_MOST_ONCE, "plain", maxTargets = 2),
            route("/stream/", RouteKind.STREAM, "plain", maxTargets = 2),
            route("/long/safe/", RouteKind.IDEMPOTENT, "plain", maxTargets = 2).copy(timeoutMillis = LONG_TIMEOUT_MILLIS),
            route("/long/once/", RouteKind.AT_MOST_ONCE, "plain", maxTargets = 1).copy(timeoutMillis = LONG_TIMEOUT_MILLIS),
            route("/rank/stream/", RouteKind.STREAM, "group", maxTargets = 2)
                .copy(timeoutMillis = LONG_TIMEOUT_MILLIS, maxEventGapMillis = 500),
            *moreRoutes,
        ),
        services = listOf(ServicePolicy("group", "/health", 100, 0.0, rankEngine)),
        organisations = listOf(Organisation("lens", setOf("key-1"))),
        callerLimits = CallerLimits(16_384, 1_000, 3_000, 15_000),
    )

internal fun target(id: String, service: String, port: Int) =
    FleetTarget(id, service, HOST, port, "north", 8, isDraining = false, remainingColdStartMillis = 0, startedAtEpochMillis = 0)

/** Services of a route that cannot be read, so that the entry fails while it serves a request. */
private class FailingServices(
    private val failure: () -> Throwable,
) : AbstractList<WeightedService>() {
    override val size = 1

    override fun get(index: Int): WeightedService = throw failure()
}

/** Model of the ranks of the service "group". */
private val rankEngine =
    EngineModel(
        batchSlots = 8,
        stepsPerPass = 5,
        stepMillis = 1.0,
        stepMillisPerRequest = 0.1,
        expertSets = 2,
        experts = 4,
        slotsPerRank = 2,
        newExpertsPerChange = 1,
        expertMegabytes = 1.0,
        expertShare = 0.5,
        meanAnswerTokens = 10,
        weightMegabitsPerSecond = 100.0,
        reportLagMillis = 200,
    )

/**
 * A store with [targets] and what targets announce [later], and one configuration, after which come those in [publications]. It answers
 * no read of the configuration if [isConfigSilent].
 */
internal class FixedStore(
    targets: List<FleetTarget>,
    private val later: List<TargetUpdate>,
    private val isConfigSilent: Boolean,
    private val publications: BlockingQueue<FleetConfig>,
    routingFailure: Throwable?,
) : FleetStore {
    private val config =
        fixedConfig(
            FIRST_CONFIG_VERSION,
            *listOfNotNull(routingFailure)
                .map { failure ->
                    route("/failing/", RouteKind.AT_MOST_ONCE, "plain", maxTargets = 2).copy(services = FailingServices { failure })
                }.toTypedArray(),
        )
    private val updates = targets.map { TargetUpdate.Announced(it) }

    override fun readLatestTargets(): Either<StoreFault, LogPage<TargetUpdate>> =
        LogPage(updates + later, 1L + later.size, emptyList()).right()

    override fun readTargetsFrom(position: Long): Either<StoreFault, LogPage<TargetUpdate>> =
        later.drop((position - 1).toInt()).let { LogPage(it, position + it.size, emptyList()).right() }

    override fun readLatestOperatorUpdates(): Either<StoreFault, LogPage<OperatorUpdate>> =
        if (isConfigSilent) {
            StoreFault.Unreachable("no answer").left()
        } else {
            LogPage(listOf(OperatorUpdate.Published(config)), 1, emptyList()).right()
        }

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>> {
        val published = publications.poll(waitMillis, TimeUnit.MILLISECONDS)
        val updates = listOfNotNull(published).map { OperatorUpdate.Published(it) }
        return LogPage(updates, position + updates.size, emptyList()).right()
    }

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> = StoreFault.Refused("not supported by this store").left()

    override fun nextTermNumber(group: String, generation: Long): Either<StoreFault, Long> =
        StoreFault.Refused("not supported by this store").left()

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = null.right()
}

package io.jaybeam.side.rank

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.fleet.CallerLimits
import io.jaybeam.core.fleet.CoordinatorTerm
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetLimits
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.ServicePolicy
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.fleet.TargetUpdate
import java.util.concurrent.atomic.AtomicInteger

private const val HOST = "127.0.0.1"

/**
 * A store with one configuration, in which [service] runs on [engine], and with neither targets nor candidates.
 *
 * The first [failingReads] reads of the configuration fail.
 */
internal class OperatorStore(
    private val service: String,
    private val engine: EngineModel,
    failingReads: Int = 0,
) : FleetStore {
    private val failuresLeft = AtomicInteger(failingReads)

    override fun readLatestOperatorUpdates(): Either<StoreFault, LogPage<OperatorUpdate>> {
        if (failuresLeft.getAndDecrement() > 0) return StoreFault.Unreachable("no answer").left()
        val policy = ServicePolicy(service, "", 1, 0.0, engine)
        val config = FleetConfig(1, emptyList(), listOf(policy), emptyList(), CallerLimits(1, 1, 1, 1))
        return LogPage(listOf(OperatorUpdate.Published(config)), 1, emptyList()).right()
    }

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long) = readLatestOperatorUpdates()

    override fun readLatestTargets(): Either<StoreFault, LogPage<TargetUpdate>> = LogPage(emptyList<TargetUpdate>(), 1, emptyList()).right()

    override fun readTargetsFrom(position: Long) = readLatestTargets()

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> = CoordinatorTerm(isCoordinator = false, generation).right()

    override fun nextTermNumber(group: String, generation: Long): Either<StoreFault, Long> =
        StoreFault.Refused("not supported by this store").left()

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = null.right()
}

/** Returns the settings of the side beside the rank at [target], which belongs to [service]. */
internal fun rankSettings(service: String, target: HostPort, isFencingRequired: Boolean = true): InstanceSettings {
    val limits = FleetLimits(shutdownGraceMillis = 0, retryPercent = 0, retrySlack = 0, retryWindowMillis = 1, isFencingRequired)
    val address = HostPort(HOST, target.port + 1_000)
    return InstanceSettings("side-${target.port}", "north", HOST, null, null, address, emptyList(), target, service, address, limits)
}

/*
 * A side process beside one rank of a group. All sides watch their ranks and carry out orders; one of them, chosen by
 * the platform's store, coordinates the group's expert map.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.platform.httpRankPort
import io.jaybeam.platform.platformStore
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.settings.ServingProcess
import io.jaybeam.wire.LinkRuntime
import kotlin.time.Clock

/** Returns the side process that [settings] describe. */
internal fun rankSide(settings: InstanceSettings): ServingProcess {
    val target = checkNotNull(settings.targetAddress) { "settings name no target; a side process runs on a target's machine only" }
    return RankSide(settings, platformStore(settings.storeAddress), httpRankPort(target), Clock.System, ::httpRankPort)
}

/** The side process of one rank; [rankAt] reaches the ranks of other sides. */
internal class RankSide(
    private val settings: InstanceSettings,
    store: FleetStore,
    rank: RankPort,
    clock: Clock,
    rankAt: (HostPort) -> RankPort,
) : ServingProcess {
    private val events = EventLog(settings.instance, clock)
    private val links = LinkRuntime()
    private val watch = RankWatch(rank, checkNotNull(settings.targetAddress), events)
    private val coordinator = MapCoordinator(store, settings, { watch.rankNumber }, { watch.group }, rankAt, events)
    private val election = CoordinatorElection(settings.peerAddress, store, links, watch, coordinator, events)

    override fun start() {
        events.write(LogEvent.PROCESS_STARTED, LogField("dataCentre", settings.dataCentre), LogField("target", "${settings.targetAddress}"))
        links.listen(settings.peerAddress.host, settings.peerAddress.port) { coordinator.handlerOfLink() }
        watch.start()
        coordinator.start()
        election.start()
        events.write(LogEvent.PROCESS_READY, LogField("peers", "${settings.peerAddress}"))
    }

    override fun stop() {
        events.write(LogEvent.PROCESS_STOPPING)
        election.close()
        coordinator.close()
        watch.close()
        links.close()
        events.write(LogEvent.PROCESS_STOPPED)
    }
}

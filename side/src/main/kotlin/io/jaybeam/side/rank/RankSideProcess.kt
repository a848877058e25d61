/*
 * The side process of one rank of a group. Each side reads its rank and passes orders on to it. One of the sides, which the
 * platform's store elects, also coordinates the group's expert map.
 */
package io.jaybeam.side.rank

import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.rankgroup.RankPort
import io.jaybeam.platform.httpRankPort
import io.jaybeam.platform.localHttpRankPort
import io.jaybeam.platform.platformStore
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.settings.ServingProcess
import io.jaybeam.runtime.writeUnexpectedFailure
import io.jaybeam.wire.LinkRuntime
import kotlin.time.Clock

/** Creates the side process that [settings] describe. */
internal fun rankSideProcess(settings: InstanceSettings): ServingProcess {
    val target = checkNotNull(settings.targetAddress) { "settings contain no target address; start a side process only beside a target" }
    return RankSideProcess(settings, platformStore(settings.storeAddress), localHttpRankPort(target), Clock.System, ::httpRankPort)
}

/** The side process of [rank]; [rankPortAt] returns a client of the rank at an address. */
internal class RankSideProcess(
    private val settings: InstanceSettings,
    store: FleetStore,
    rank: RankPort,
    clock: Clock,
    rankPortAt: (HostPort) -> RankPort,
) : ServingProcess {
    private val events = EventLog(settings.instance, clock)
    private val links = LinkRuntime(onAcceptFailure = { events.writeUnexpectedFailure("accept links", it) })
    private val lease = newCoordinatorLease(clock)
    private val rankAgent = RankAgent(rank, checkNotNull(settings.targetAddress), events)
    private val entryLinks = EntryLinks(settings.instance, settings.seedAddresses, store, links, events)
    private val coordinatorWorker =
        CoordinatorWorker(
            store,
            settings,
            { rankAgent.rankNumber },
            { rankAgent.groupName },
            rankPortAt,
            links.traffic::totals,
            { lease.isValid },
            events,
            groupNews = settings.targetService?.let { GroupNewsSender(it, entryLinks, events) },
        )
    private val election = CoordinatorElection(settings.peerAddress, store, links, rankAgent, coordinatorWorker, lease, events)

    override fun start() {
        events.write(LogEvent.PROCESS_STARTED, LogField("dataCentre", settings.dataCentre), LogField("target", "${settings.targetAddress}"))
        links.listen(settings.peerAddress.host, settings.peerAddress.port) { coordinatorWorker.linkHandler() }
        rankAgent.start()
        coordinatorWorker.start()
        entryLinks.start()
        election.start()
        events.write(LogEvent.PROCESS_READY, LogField("peers", "${settings.peerAddress}"))
    }

    override fun stop() {
        events.write(LogEvent.PROCESS_STOPPING)
        election.close()
        coordinatorWorker.close()
        entryLinks.close()
        rankAgent.close()
        links.close()
        events.write(LogEvent.PROCESS_STOPPED)
    }
}

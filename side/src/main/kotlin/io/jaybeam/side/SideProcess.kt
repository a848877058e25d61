/*
 * Assembles the parts of a side process, dispatches the frames of its links and shuts the process down gracefully.
 */
package io.jaybeam.side

import io.jaybeam.core.config.Bundle
import io.jaybeam.core.config.ServiceKind
import io.jaybeam.core.quarantine.CrashTracker
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.runtime.config.ConfigController
import io.jaybeam.runtime.config.ConfigExchange
import io.jaybeam.runtime.log.LogClient
import io.jaybeam.runtime.observe.AdminServer
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.observe.metricsRegistry
import io.jaybeam.runtime.settings.ServingProcess
import io.jaybeam.runtime.writeUnexpectedFailure
import io.jaybeam.wire.Frame
import io.jaybeam.wire.HEARTBEAT_INTERVAL_MILLIS
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkHandler
import io.jaybeam.wire.LinkRuntime
import io.jaybeam.wire.PROTOCOL_VERSION
import io.micrometer.core.instrument.Gauge
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.UUID
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.concurrent.thread
import kotlin.time.Clock

private const val HEALTH_CHECK_INTERVAL_MILLIS = 200L
private const val DRAIN_CHECK_INTERVAL_MILLIS = 20L
private const val SEND_GRACE_MILLIS = 300L
private const val CRASH_RETENTION_MILLIS = 600_000L
private const val CRASH_CAPACITY = 10_000

/** One running side process. */
internal class SideProcess(
    private val settings: SideSettings,
    private val clock: Clock,
) : ServingProcess,
    LinkHandler {
    private val events = EventLog(settings.common.instance, clock)
    private val self = TargetIncarnation(settings.common.instance, UUID.randomUUID().toString())
    private val links = CopyOnWriteArraySet<Link>()
    private val linkRuntime = LinkRuntime(onAcceptFailure = { events.writeUnexpectedFailure("accept links", it) })
    private val targetClient = TargetClient(settings.target.url)
    private val registry = metricsRegistry()
    private val crashTracker = CrashTracker(CRASH_RETENTION_MILLIS, CRASH_CAPACITY)
    private val scheduler = RequestScheduler(settings, self, targetClient, clock, events, ::broadcast)
    private val configController =
        ConfigController(LogClient(settings.common.platform.logUrl), settings.common.verifier(), events, snapshotIntervalMillis = null)
    private val configExchange = ConfigExchange(configController)
    private val mapController =
        MapController(self, RankGroupClient(settings.target.url), LogClient(settings.common.platform.logUrl), ::currentBundle, events)
    private lateinit var adminServer: AdminServer

    @Volatile
    private var isStopping = false

    override fun start() {
        events.write(LogEvent.PROCESS_STARTED, LogField("incarnation", self.incarnation), LogField("service", settings.target.service))
        registerMetrics()
        scheduler.start()
        configController.onChange { scheduler.submit(SchedulerMessage.ConfigChanged(it)) }
        configController.start()
        adminServer = AdminServer(settings.common.host, settings.common.adminPort, registry, ::isReady, ::dump)
        if (settings.target.kind == ServiceKind.MODEL) mapController.start()
        runPeriodically("target-health", HEALTH_CHECK_INTERVAL_MILLIS) {
            scheduler.submit(SchedulerMessage.HealthChecked(targetClient.healthOrNull()))
        }
        runPeriodically("heartbeat", HEARTBEAT_INTERVAL_MILLIS, ::sendHeartbeat)
        linkRuntime.listen(settings.common.host, settings.linkPort) { this }
        events.write(LogEvent.PROCESS_READY, LogField("linkPort", "${settings.linkPort}"))
    }

    /** Drains: refuses new requests, waits until all active ones have ended, then stops. */
    override fun stop() {
        events.write(LogEvent.PROCESS_STOPPING)
        isStopping = true
        scheduler.submit(SchedulerMessage.StartDraining)
        do Thread.sleep(DRAIN_CHECK_INTERVAL_MILLIS) while (!scheduler.isIdle)
        Thread.sleep(SEND_GRACE_MILLIS)
        links.forEach { it.close("the side process is stopping") }
        mapController.close()
        configController.close()
        linkRuntime.close()
        events.write(LogEvent.PROCESS_STOPPED)
    }

    override fun onFrame(link: Link, frame: Frame) {
        when (frame) {
            is Frame.Hello -> onHello(link, frame)
            is Frame.Heartbeat -> configExchange.onPeerVersion(link, frame.configVersion)
            is Frame.ConfigRequest -> configExchange.onRequest(link, frame)
            is Frame.ConfigChanges -> configExchange.onChanges(frame)
            is Frame.Execute -> scheduler.submit(SchedulerMessage.RequestReceived(link, frame))
            is Frame.Ack -> scheduler.submit(SchedulerMessage.AckReceived(frame))
            is Frame.Cancel -> scheduler.submit(SchedulerMessage.CancelReceived(frame))
            is Frame.Crash -> if (crashTracker.onCrash(frame.crashId, frame.fingerprints, monotonicMillis())) broadcast(frame)
            else -> link.close("a side process does not accept frames of type ${frame::class.simpleName}")
        }
    }

    override fun onClosed(link: Link, reason: String) {
        if (!links.remove(link)) return
        events.write(LogEvent.LINK_CLOSED, LogField("reason", reason))
        scheduler.submit(SchedulerMessage.LinkClosed(link))
    }

    private fun onHello(link: Link, hello: Frame.Hello) {
        if (hello.protocolVersion != PROTOCOL_VERSION) {
            link.close("protocol version ${hello.protocolVersion} is not $PROTOCOL_VERSION; run the same release on both ends")
            return
        }
        links += link
        link.send(Frame.Hello(PROTOCOL_VERSION, self, settings.common.dataCentre, settings.target.service, configController.version()))
        link.send(scheduler.loadFrame())
        scheduler.targetLifeFrameOrNull()?.let(link::send)
        configExchange.onPeerVersion(link, hello.configVersion)
        events.write(LogEvent.LINK_OPENED, LogField("peer", hello.identity.instance))
    }

    private fun sendHeartbeat() {
        broadcast(Frame.Heartbeat(configController.version()))
        broadcast(scheduler.loadFrame())
    }

    private fun broadcast(frame: Frame) {
        if (frame is Frame.Crash) crashTracker.onCrash(frame.crashId, frame.fingerprints, monotonicMillis())
        links.forEach { it.send(frame) }
    }

    private fun runPeriodically(name: String, intervalMillis: Long, action: () -> Unit) {
        thread(name = name, isDaemon = true) {
            while (true) {
                runCatching(action).onFailure {
                    events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", name), LogField("detail", it.toString()))
                }
                Thread.sleep(intervalMillis)
            }
        }
    }

    private fun isReady() = !isStopping && configController.stateOrNull() != null && scheduler.snapshot.isTargetUp

    private fun currentBundle(): Bundle? = configController.stateOrNull()?.effective()?.bundle

    private fun registerMetrics() {
        Gauge.builder("jaybeam.side.in.flight") { scheduler.snapshot.inFlight }.register(registry)
        Gauge.builder("jaybeam.side.queued") { scheduler.snapshot.queued }.register(registry)
        Gauge.builder("jaybeam.side.limit") { scheduler.snapshot.limit }.register(registry)
        Gauge.builder("jaybeam.side.tickets") { scheduler.snapshot.tickets }.register(registry)
        Gauge.builder("jaybeam.config.version") { configController.version() }.register(registry)
    }

    private fun dump(): JsonObject {
        val snapshot = scheduler.snapshot
        return JsonObject(
            mapOf(
                "instance" to JsonPrimitive(self.instance),
                "incarnation" to JsonPrimitive(self.incarnation),
                "dataCentre" to JsonPrimitive(settings.common.dataCentre),
                "service" to JsonPrimitive(settings.target.service),
                "ready" to JsonPrimitive(isReady()),
                "configVersion" to JsonPrimitive(configController.version()),
                "dataCentresOut" to JsonArray(dataCentresOut().map(::JsonPrimitive)),
                "inFlight" to JsonPrimitive(snapshot.inFlight),
                "queued" to JsonPrimitive(snapshot.queued),
                "limit" to JsonPrimitive(snapshot.limit),
                "tickets" to JsonPrimitive(snapshot.tickets),
                "requestsHeld" to JsonPrimitive(snapshot.storedRequests),
                "leaving" to JsonPrimitive(snapshot.isDraining),
                "takesWork" to JsonPrimitive(snapshot.isAvailable),
                "targetUp" to JsonPrimitive(snapshot.isTargetUp),
                "expertMapVersion" to JsonPrimitive(mapController.settledVersion),
                "links" to JsonPrimitive(links.size),
                "crashSuspects" to JsonPrimitive(crashTracker.size()),
            ),
        )
    }

    private fun dataCentresOut() =
        configController
            .stateOrNull()
            ?.effective()
            ?.dataCentresOut
            .orEmpty()
            .sorted()
}

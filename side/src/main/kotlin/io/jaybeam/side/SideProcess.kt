/*
 * Wires a side process together and stops it gracefully.
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

private const val HEALTH_MILLIS = 200L
private const val DRAIN_POLL_MILLIS = 20L
private const val LINGER_MILLIS = 300L
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
    private val runtime = LinkRuntime()
    private val target = TargetClient(settings.target.url)
    private val registry = metricsRegistry()
    private val crashes = CrashTracker(CRASH_RETENTION_MILLIS, CRASH_CAPACITY)
    private val work = WorkController(settings, self, target, clock, events, ::broadcast)
    private val config =
        ConfigController(LogClient(settings.common.platform.logUrl), settings.common.verifier(), events, snapshotIntervalMillis = null)
    private val exchange = ConfigExchange(config)
    private val maps =
        MapController(self, RankGroupClient(settings.target.url), LogClient(settings.common.platform.logUrl), ::bundle, events)
    private lateinit var admin: AdminServer

    @Volatile
    private var stopping = false

    /** Starts every duty. */
    override fun start() {
        events.write(LogEvent.PROCESS_STARTED, LogField("incarnation", self.incarnation), LogField("service", settings.target.service))
        registerMetrics()
        work.start()
        config.onChange { work.tell(WorkMessage.Configured(it)) }
        config.start()
        admin = AdminServer(settings.common.host, settings.common.adminPort, registry, ::ready, ::dump)
        if (settings.target.kind == ServiceKind.MODEL) maps.start()
        repeat("target-health", HEALTH_MILLIS) { work.tell(WorkMessage.Health(target.healthOrNull())) }
        repeat("heartbeat", HEARTBEAT_INTERVAL_MILLIS, ::beat)
        runtime.listen(settings.common.host, settings.linkPort) { this }
        events.write(LogEvent.PROCESS_READY, LogField("linkPort", "${settings.linkPort}"))
    }

    /** Takes no new work, waits for all requests to end and stops. */
    override fun stop() {
        events.write(LogEvent.PROCESS_STOPPING)
        stopping = true
        work.tell(WorkMessage.Leave)
        do Thread.sleep(DRAIN_POLL_MILLIS) while (!work.idle)
        Thread.sleep(LINGER_MILLIS)
        links.forEach { it.close("the side process stops") }
        maps.close()
        config.close()
        runtime.close()
        events.write(LogEvent.PROCESS_STOPPED)
    }

    override fun onFrame(link: Link, frame: Frame) {
        when (frame) {
            is Frame.Hello -> hello(link, frame)
            is Frame.Heartbeat -> exchange.onPeerVersion(link, frame.configVersion)
            is Frame.ConfigRequest -> exchange.onRequest(link, frame)
            is Frame.ConfigChanges -> exchange.onChanges(frame)
            is Frame.Execute -> work.tell(WorkMessage.Arrive(link, frame))
            is Frame.Ack -> work.tell(WorkMessage.Ack(frame))
            is Frame.Cancel -> work.tell(WorkMessage.Cancel(frame))
            is Frame.Crash -> if (crashes.onCrash(frame.crashId, frame.fingerprints, monotonicMillis())) broadcast(frame)
            else -> link.close("a side does not take frames of kind ${frame::class.simpleName}")
        }
    }

    override fun onClosed(link: Link, reason: String) {
        if (!links.remove(link)) return
        events.write(LogEvent.LINK_CLOSED, LogField("reason", reason))
        work.tell(WorkMessage.LinkClosed(link))
    }

    private fun hello(link: Link, hello: Frame.Hello) {
        if (hello.protocolVersion != PROTOCOL_VERSION) {
            link.close("protocol version ${hello.protocolVersion} is not $PROTOCOL_VERSION; run the same release on both ends")
            return
        }
        links += link
        link.send(Frame.Hello(PROTOCOL_VERSION, self, settings.common.dataCentre, settings.target.service, config.version()))
        link.send(work.loadReport())
        work.targetLifeOrNull()?.let(link::send)
        exchange.onPeerVersion(link, hello.configVersion)
        events.write(LogEvent.LINK_OPENED, LogField("peer", hello.identity.instance))
    }

    private fun beat() {
        broadcast(Frame.Heartbeat(config.version()))
        broadcast(work.loadReport())
    }

    private fun broadcast(frame: Frame) {
        if (frame is Frame.Crash) crashes.onCrash(frame.crashId, frame.fingerprints, monotonicMillis())
        links.forEach { it.send(frame) }
    }

    private fun repeat(name: String, periodMillis: Long, action: () -> Unit) {
        thread(name = name, isDaemon = true) {
            while (true) {
                runCatching(action).onFailure {
                    events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", name), LogField("detail", it.toString()))
                }
                Thread.sleep(periodMillis)
            }
        }
    }

    private fun ready() = !stopping && config.stateOrNull() != null && work.snapshot.targetUp

    private fun bundle(): Bundle? = config.stateOrNull()?.effective()?.bundle

    private fun registerMetrics() {
        Gauge.builder("jaybeam.side.in.flight") { work.snapshot.inFlight }.register(registry)
        Gauge.builder("jaybeam.side.queued") { work.snapshot.queued }.register(registry)
        Gauge.builder("jaybeam.side.limit") { work.snapshot.limit }.register(registry)
        Gauge.builder("jaybeam.side.tickets") { work.snapshot.tickets }.register(registry)
        Gauge.builder("jaybeam.config.version") { config.version() }.register(registry)
    }

    private fun dump(): JsonObject {
        val now = work.snapshot
        return JsonObject(
            mapOf(
                "instance" to JsonPrimitive(self.instance),
                "incarnation" to JsonPrimitive(self.incarnation),
                "dataCentre" to JsonPrimitive(settings.common.dataCentre),
                "service" to JsonPrimitive(settings.target.service),
                "ready" to JsonPrimitive(ready()),
                "configVersion" to JsonPrimitive(config.version()),
                "dataCentresOut" to JsonArray(outNames().map(::JsonPrimitive)),
                "inFlight" to JsonPrimitive(now.inFlight),
                "queued" to JsonPrimitive(now.queued),
                "limit" to JsonPrimitive(now.limit),
                "tickets" to JsonPrimitive(now.tickets),
                "requestsHeld" to JsonPrimitive(now.kept),
                "leaving" to JsonPrimitive(now.leaving),
                "takesWork" to JsonPrimitive(now.inService),
                "targetUp" to JsonPrimitive(now.targetUp),
                "expertMapVersion" to JsonPrimitive(maps.settledVersion),
                "links" to JsonPrimitive(links.size),
                "crashSuspects" to JsonPrimitive(crashes.size()),
            ),
        )
    }

    private fun outNames() =
        config
            .stateOrNull()
            ?.effective()
            ?.dataCentresOut
            .orEmpty()
            .sorted()
}

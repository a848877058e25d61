/*
 * The process of an entry instance: creates its components, starts them and stops them gracefully.
 */
package io.jaybeam.entry

import io.jaybeam.core.config.EffectiveConfig
import io.jaybeam.core.quarantine.CrashStatus
import io.jaybeam.core.quarantine.CrashTracker
import io.jaybeam.core.routing.Router
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.entry.calls.Call
import io.jaybeam.entry.calls.CallResult
import io.jaybeam.entry.calls.CallerResponse
import io.jaybeam.entry.calls.CallerServer
import io.jaybeam.entry.calls.OrganisationLimitFilter
import io.jaybeam.entry.calls.ProblemOutcome
import io.jaybeam.entry.calls.TicketOwnerFilter
import io.jaybeam.entry.calls.filterChain
import io.jaybeam.entry.forward.Forwarder
import io.jaybeam.entry.forward.IdempotentForwarder
import io.jaybeam.entry.forward.KeyBindingController
import io.jaybeam.entry.forward.TicketForwarder
import io.jaybeam.entry.forward.TicketIssuer
import io.jaybeam.entry.targets.ChannelListener
import io.jaybeam.entry.targets.TargetChannel
import io.jaybeam.entry.targets.TargetDirectory
import io.jaybeam.runtime.config.ConfigController
import io.jaybeam.runtime.config.ConfigExchange
import io.jaybeam.runtime.instances.InstanceListClient
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
import io.jaybeam.wire.LinkRuntime
import io.jaybeam.wire.PROTOCOL_VERSION
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.UUID
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Clock

private const val CRASH_RETENTION_MILLIS = 600_000L
private const val MAX_CRASH_FINGERPRINTS = 10_000
private const val NANOS_PER_MILLI = 1_000_000L

/** One running entry instance. */
internal class EntryProcess(
    private val settings: EntrySettings,
    clock: Clock,
) : ServingProcess,
    ChannelListener {
    private val common = settings.common
    private val events = EventLog(common.instance, clock)
    private val identity = TargetIncarnation(common.instance, UUID.randomUUID().toString())
    private val linkRuntime = LinkRuntime(onAcceptFailure = { events.writeUnexpectedFailure("accept links", it) })
    private val registry = metricsRegistry()
    private val crashTracker = CrashTracker(CRASH_RETENTION_MILLIS, MAX_CRASH_FINGERPRINTS)
    private val config =
        ConfigController(LogClient(common.platform.logUrl), common.verifier(), events, settings.snapshotIntervalMillis)
    private val exchange = ConfigExchange(config)
    private val directory =
        TargetDirectory(
            owner = common.instance,
            targetsPerService = settings.targetsPerService,
            listClient = InstanceListClient(common.platform.instanceListUrl),
            linkRuntime = linkRuntime,
            listener = this,
            events = events,
            newHello = ::newHello,
        )
    private val router = Router(Random.Default)
    private val ticketIssuer = TicketIssuer(directory, router, clock, ::effectiveConfig)
    private val keyBindings = KeyBindingController(LogClient(common.platform.logUrl), ticketIssuer, settings.keyWindowMillis, clock, events)
    private val retries = Counter.builder("jaybeam.entry.retries").register(registry)
    private val forwarder =
        Forwarder(
            idempotentForwarder =
                IdempotentForwarder(
                    directory,
                    router,
                    crashTracker,
                    settings.reattachMillis,
                    ::effectiveConfig,
                    ::monotonicMillis,
                ) { retries.increment() },
            ticketForwarder = TicketForwarder(directory, ticketIssuer, crashTracker, settings.reattachMillis, ::monotonicMillis),
            keyBindings = keyBindings,
            awaitAnyLink = { directory.awaitAnyLink(it.service, minOf(settings.reattachMillis, it.remainingMillis())) },
        )
    private val filters = listOf(OrganisationLimitFilter(), TicketOwnerFilter)
    private val latency = Timer.builder("jaybeam.entry.call").register(registry)
    private lateinit var adminServer: AdminServer
    private lateinit var callerServer: CallerServer

    @Volatile
    private var isStopping = false

    /** Starts all threads and servers. */
    override fun start() {
        events.write(LogEvent.PROCESS_STARTED, LogField("incarnation", identity.incarnation))
        config.start()
        keyBindings.start()
        directory.start()
        thread(name = "heartbeat", isDaemon = true) { sendHeartbeats() }
        callerServer =
            CallerServer(
                host = common.host,
                port = settings.callerPort,
                maxThreads = settings.callerThreads,
                defaultDeadlineMillis = settings.defaultDeadlineMillis,
                bundle = { effectiveConfig().bundle },
                issueTicketOrNull = { service, organisation -> ticketIssuer.issueOrNull(service, organisation) },
                handle = ::handle,
                onResult = ::recordResult,
                onFailure = { failure ->
                    events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", "request"), LogField("detail", failure.stackTraceToString()))
                },
            )
        registerMetrics()
        adminServer = AdminServer(common.host, common.adminPort, registry, ::isReady, ::dump)
        events.write(LogEvent.PROCESS_READY, LogField("callerPort", "${callerServer.port}"))
    }

    /** Reports this entry as not ready, waits until all calls have finished and stops. */
    override fun stop() {
        events.write(LogEvent.PROCESS_STOPPING)
        isStopping = true
        callerServer.drain(settings.drainGraceMillis)
        directory.close()
        keyBindings.close()
        config.close()
        linkRuntime.close()
        events.write(LogEvent.PROCESS_STOPPED)
    }

    override fun onControlFrame(link: Link, frame: Frame) {
        when (frame) {
            is Frame.Hello -> onHello(link, frame)
            is Frame.Heartbeat -> exchange.onPeerVersion(link, frame.configVersion)
            is Frame.ConfigRequest -> exchange.onRequest(link, frame)
            is Frame.ConfigChanges -> exchange.onChanges(frame)
            is Frame.Crash -> onCrash(frame)
            else -> link.close("an entry does not accept frames of type ${frame::class.simpleName}")
        }
    }

    override fun onTargetCrashed(identity: TargetIncarnation, fingerprints: List<String>) {
        if (fingerprints.isNotEmpty()) onCrash(Frame.Crash("side/${identity.incarnation}", fingerprints))
    }

    override fun onLinkClosed(instance: String, reason: String) {
        events.write(LogEvent.LINK_CLOSED, LogField("peer", instance), LogField("reason", reason))
    }

    private fun handle(call: Call, response: CallerResponse): CallResult = filterChain(filters) { forwarder.forward(it, response) }(call)

    private fun onHello(link: Link, hello: Frame.Hello) {
        if (hello.protocolVersion != PROTOCOL_VERSION) {
            link.close("protocol version ${hello.protocolVersion} is not $PROTOCOL_VERSION; run the same release on both ends")
            return
        }
        events.write(LogEvent.LINK_OPENED, LogField("peer", hello.identity.instance), LogField("incarnation", hello.identity.incarnation))
        exchange.onPeerVersion(link, hello.configVersion)
    }

    private fun onCrash(frame: Frame.Crash) {
        if (!crashTracker.onCrash(frame.crashId, frame.fingerprints, monotonicMillis())) return
        events.write(LogEvent.TARGET_CRASHED, LogField("crash", frame.crashId), LogField("inFlight", "${frame.fingerprints.size}"))
        frame.fingerprints.filter { crashTracker.status(it, monotonicMillis()) == CrashStatus.QUARANTINED }.forEach {
            events.write(LogEvent.REQUEST_QUARANTINED, LogField("fingerprint", it))
        }
        directory.broadcast(frame)
    }

    private fun sendHeartbeats() {
        while (true) {
            directory.broadcast(Frame.Heartbeat(config.version()))
            Thread.sleep(HEARTBEAT_INTERVAL_MILLIS)
        }
    }

    private fun newHello() = Frame.Hello(PROTOCOL_VERSION, identity, common.dataCentre, null, config.version())

    private fun effectiveConfig(): EffectiveConfig = config.stateOrNull()?.effective() ?: EffectiveConfig()

    private fun isReady() = !isStopping && effectiveConfig().bundle != null && directory.hasSynced

    private fun recordResult(result: CallResult, nanos: Long) {
        latency.record(nanos, TimeUnit.NANOSECONDS)
        counterOf(result).increment()
    }

    private fun counterOf(result: CallResult): Counter {
        val outcome =
            when (result) {
                is CallResult.Relayed -> "relayed"
                is CallResult.Truncated -> "cut_off"
                is CallResult.CallerDisconnected -> "caller_gone"
                is CallResult.Failed -> if (result.problem.outcome == ProblemOutcome.NOT_RUN) "not_run" else "unknown"
            }
        return Counter.builder("jaybeam.entry.calls").tag("outcome", outcome).register(registry)
    }

    private fun registerMetrics() {
        Gauge.builder("jaybeam.entry.calls.in.flight") { callerServer.callsInFlight }.register(registry)
        Gauge.builder("jaybeam.entry.keys.bound") { keyBindings.size }.register(registry)
        Gauge.builder("jaybeam.entry.links.up") { directory.allChannels().count { it.isUp } }.register(registry)
        Gauge.builder("jaybeam.config.version") { config.version() }.register(registry)
    }

    private fun dump(): JsonObject {
        val config = effectiveConfig()
        return JsonObject(
            mapOf(
                "instance" to JsonPrimitive(common.instance),
                "dataCentre" to JsonPrimitive(common.dataCentre),
                "ready" to JsonPrimitive(isReady()),
                "configVersion" to JsonPrimitive(this.config.version()),
                "bundle" to JsonPrimitive(config.bundle?.name),
                "dataCentresOut" to JsonArray(config.dataCentresOut.sorted().map(::JsonPrimitive)),
                "instancesOut" to JsonArray(config.instancesOut.sorted().map(::JsonPrimitive)),
                "callsInFlight" to JsonPrimitive(callerServer.callsInFlight),
                "keysBound" to JsonPrimitive(keyBindings.size),
                "crashSuspects" to JsonPrimitive(crashTracker.size()),
                "targets" to JsonArray(directory.allChannels().map(::dump)),
            ),
        )
    }

    private fun dump(channel: TargetChannel): JsonObject {
        val snapshot = channel.snapshotOrNull()
        return JsonObject(
            mapOf(
                "instance" to JsonPrimitive(channel.listed.instance),
                "service" to JsonPrimitive(channel.listed.service),
                "dataCentre" to JsonPrimitive(channel.listed.dataCentre),
                "phase" to JsonPrimitive(channel.listed.phase.name),
                "linked" to JsonPrimitive(channel.isUp),
                "takesWork" to JsonPrimitive(snapshot != null),
                "incarnation" to JsonPrimitive(snapshot?.identity?.incarnation),
                "inFlight" to JsonPrimitive(snapshot?.reportedInFlight),
                "limit" to JsonPrimitive(snapshot?.limit),
            ),
        )
    }
}

internal fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

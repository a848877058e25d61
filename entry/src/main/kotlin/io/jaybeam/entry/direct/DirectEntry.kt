/*
 * An entry that follows the fleet in the platform's store and sends requests to targets directly.
 */
package io.jaybeam.entry.direct

import io.javalin.http.Context
import io.jaybeam.core.fleet.ColdStartRateLimiter
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.fleet.RouteMatch
import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.selectService
import io.jaybeam.core.routing.RetryBudget
import io.jaybeam.platform.CallerRequest
import io.jaybeam.platform.Header
import io.jaybeam.platform.decodeCallerRequest
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.settings.ServingProcess
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Clock

// Entries that share the operator's retry slack; a fleet of more has less of it used.
private const val ENTRIES_SHARING_SLACK = 12

// The balancer asks each second and takes an instance out after two misses.
private const val OUT_OF_ROTATION_MILLIS = 2_500L
private const val STOP_MARGIN_MILLIS = 700L

// An entry knows configuration and targets some 200 ms after its ports are open; until this time after its start requests
// wait for them, later they are refused at once.
private const val START_MILLIS = 2_000L
private const val SETTINGS_MILLIS = 10_000L
private const val DRAIN_CHECK_MILLIS = 20L

/** An entry on the platform. */
internal class DirectEntry(
    private val settings: InstanceSettings,
    store: FleetStore,
    clock: Clock,
    private val readSettings: () -> InstanceSettings? = { settings },
) : ServingProcess {
    // Before everything that takes time to load; a port that cannot be had is told by start.
    private val callerSocket = runCatching { openCallerSocket(settings.callerAddress ?: HostPort(settings.host, 0)) }
    private val startedNanos = System.nanoTime()
    private val events = EventLog(settings.instance, clock)
    private val knowledge = FleetKnowledge(events)
    private val follower = FleetFollower(store, knowledge, events)
    private val peers = PeerExchange(settings.instance, settings.peerAddress, settings.seedAddresses, store, knowledge, events)
    private val loads = TargetLoads()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()
    private val gates = ConcurrentHashMap<String, StreamGate>()
    private val requestLog = RequestLog(events)
    private val inFlight = AtomicInteger()
    private val metrics = EntryMetrics(knowledge, loads, inFlight::get, { gates.values.sumOf { it.waitingCount } }, peers::peerCount)

    @Volatile
    private var isStopping = false

    /** Whether a request that arrives now might not end before the process does. */
    @Volatile
    private var isTooLate = false

    private val forwarder =
        DirectForwarder(
            homeDataCentre = settings.dataCentre,
            view = { knowledge.view },
            loads = loads,
            sender = TargetSender(),
            budgetOf = { service -> budgets.computeIfAbsent(service) { RetryBudget(settings.limits.retrySlack / ENTRIES_SHARING_SLACK) } },
            coldLimit = ColdStartRateLimiter(),
            entryCount = peers::entryCount,
            retryPercent = settings.limits.retryPercent,
            gateOf = { service -> gates.computeIfAbsent(service) { StreamGate() } },
            onHeld = requestLog::held,
            onSendFailed = requestLog::sendFailed,
            onResumed = requestLog::resumed,
        )
    private val port by lazy {
        DirectCallerPort(
            callerSocket = callerSocket.getOrThrow(),
            readiness = settings.readinessAddress,
            operators = settings.operatorAddress,
            serve = ::serve,
            serveOperators = metrics::serve,
            isReady = { !isStopping && knowledge.view.isComplete },
            isStopping = { isStopping },
        )
    }

    override fun start() {
        events.write(LogEvent.PROCESS_STARTED, LogField("dataCentre", settings.dataCentre))
        follower.start()
        port.start()
        peers.start()
        thread(name = "settings", isDaemon = true) { followSettings() }
        events.write(LogEvent.PROCESS_READY, LogField("callers", "${settings.callerAddress}"))
    }

    override fun reload() {
        readSettings()?.let { peers.replaceSeeds(it.seedAddresses) }
    }

    override fun stop() {
        events.write(LogEvent.PROCESS_STOPPING, LogField("inFlight", "${inFlight.get()}"))
        isStopping = true
        val begunNanos = System.nanoTime()
        val elapsedMillis = { (System.nanoTime() - begunNanos) / NANOS_PER_MILLI }
        val limitMillis = settings.limits.shutdownGraceMillis - STOP_MARGIN_MILLIS
        while (elapsedMillis() < limitMillis && (elapsedMillis() < OUT_OF_ROTATION_MILLIS || inFlight.get() > 0)) {
            isTooLate = elapsedMillis() > settings.limits.shutdownGraceMillis / 2
            Thread.sleep(DRAIN_CHECK_MILLIS)
        }
        isTooLate = true
        port.close()
        peers.close()
        events.write(LogEvent.PROCESS_STOPPED, LogField("inFlight", "${inFlight.get()}"))
    }

    /** The settings file may change without a signal. */
    private fun followSettings() {
        while (true) {
            Thread.sleep(SETTINGS_MILLIS)
            reload()
        }
    }

    private fun serve(context: Context, response: ServletResponse) {
        inFlight.incrementAndGet()
        val arrivedNanos = System.nanoTime()
        val caller = decodeCallerRequest(context::header)
        try {
            val end = answer(context, caller, arrivedNanos, response)
            requestLog.ended(caller, end, knowledge.view, arrivedNanos)
            metrics.ended(end, System.nanoTime() - arrivedNanos)
        } catch (e: IOException) {
            requestLog.abandoned(caller, "request or answer: ${e.javaClass.simpleName}: ${e.message}", arrivedNanos)
        } finally {
            inFlight.decrementAndGet()
        }
    }

    private fun answer(
        context: Context,
        caller: CallerRequest,
        arrivedNanos: Long,
        response: ServletResponse,
    ): CallEnd {
        if (isTooLate) return refused(Refusal.STOPPING, response)
        if (!knowledge.view.isComplete) knowledge.awaitComplete(START_MILLIS - (System.nanoTime() - startedNanos) / NANOS_PER_MILLI)
        val routes = knowledge.view.routes ?: return refused(Refusal.NO_CONFIGURATION, response)
        val path = context.req().requestURI
        return when (val match = routes.match(context.req().getHeader("Host").orEmpty(), path, caller.key)) {
            is RouteMatch.NoRoute -> {
                refused(Refusal.NO_ROUTE, response)
            }

            is RouteMatch.UnknownKey -> {
                refused(Refusal.UNKNOWN_KEY, response)
            }

            is RouteMatch.Allowed -> {
                val body = readBody(context, routes.config.callerLimits.bodyBytes) ?: return refused(Refusal.TOO_LARGE, response)
                forwarder.forward(callOf(context, caller, match, routes, body, arrivedNanos), response)
            }
        }
    }

    private fun refused(refusal: Refusal, response: ServletResponse): CallEnd {
        response.refuse(refusal)
        return CallEnd.Refused(refusal, "")
    }

    private fun callOf(
        context: Context,
        caller: CallerRequest,
        match: RouteMatch.Allowed,
        routes: RouteTable,
        body: ByteArray,
        arrivedNanos: Long,
    ): DirectCall {
        val request = context.req()
        val limitMillis = minOf(caller.deadlineMillis ?: Long.MAX_VALUE, match.route.timeoutMillis)
        return DirectCall(
            method = request.method,
            target = request.requestURI + request.queryString?.let { "?$it" }.orEmpty(),
            headers =
                request.headerNames
                    .asSequence()
                    .flatMap { name ->
                        request.getHeaders(name).asSequence().map { Header(name, it) }
                    }.toList(),
            connectionNames = request.getHeader("Connection"),
            body = body.takeIf { it.isNotEmpty() },
            caller = caller,
            route = match.route,
            service = selectService(match.route, Random.nextDouble()),
            organisation = match.organisation,
            configVersion = routes.config.version,
            arrivedNanos = arrivedNanos,
            deadlineNanos = arrivedNanos + limitMillis * NANOS_PER_MILLI,
        )
    }

    /** Reads the body, or returns null if it is longer than [limitBytes]. */
    private fun readBody(context: Context, limitBytes: Int): ByteArray? {
        val input = context.req().inputStream
        val body = input.readNBytes(limitBytes)
        return body.takeIf { it.size < limitBytes || input.read() < 0 }
    }
}

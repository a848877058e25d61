/*
 * An entry that reads the state of the fleet from the platform's store and sends requests to targets directly.
 */
package io.jaybeam.entry.direct

import io.javalin.http.Context
import io.jaybeam.core.admission.StopAdmission
import io.jaybeam.core.cost.CostEstimator
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.GroupReport
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.fleet.KnownGroup
import io.jaybeam.core.fleet.RouteMatch
import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.TargetNotices
import io.jaybeam.core.fleet.areSingleGroupReportsUseful
import io.jaybeam.core.recovery.GoneTargets
import io.jaybeam.core.routing.RetryBudget
import io.jaybeam.core.routing.initialRetriesPerInstance
import io.jaybeam.core.routing.retrySlackPerInstance
import io.jaybeam.platform.CallerRequest
import io.jaybeam.platform.decodeCallerRequest
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.settings.ServingProcess
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Clock

// The load balancer checks readiness every second and removes an instance after two failed checks.
private const val OUT_OF_ROTATION_MILLIS = 2_500L
private const val STOP_MARGIN_MILLIS = 700L

// An entry has read the configuration and the targets about 200 ms after its ports are open. Until this time after its
// start, requests wait for them; later they are refused immediately.
private const val STARTUP_WAIT_MILLIS = 2_000L
private const val SETTINGS_RELOAD_INTERVAL_MILLIS = 10_000L
private const val DRAIN_CHECK_INTERVAL_MILLIS = 20L

/** Methods for which the HTTP client sends no body. */
private val methodsWithoutBody = setOf("GET", "HEAD")

/** Entry process that is configured by the platform's settings and store. */
internal class DirectEntry(
    private val settings: InstanceSettings,
    store: FleetStore,
    clock: Clock,
    private val readSettings: () -> InstanceSettings? = { settings },
) : ServingProcess {
    // Opened before any class that takes long to load. If the port cannot be opened, start() throws the exception.
    private val callerSocket = runCatching { openCallerSocket(settings.callerAddress ?: HostPort(settings.host, 0)) }
    private val startedNanos = System.nanoTime()
    private val events = EventLog(settings.instance, clock)
    private val cache = FleetCache(events)
    private val watcher = FleetWatcher(store, cache, events)
    private val crashGuard = CrashGuard(events)
    private val notices = TargetNotices()
    private val answerNotices = AnswerNotices(notices, cache, events)
    private val awakeClock = AwakeClock(clock)
    private val ownWork = OwnWork(awakeClock::nowMillis)
    private val groups =
        GroupExchange(
            { service -> cache.snapshot.routes?.service(service) != null },
            events,
            awakeClock::nowMillis,
            areSingleGroupLoadsUseful = ::areSingleGroupLoadsUseful,
        )
    private val loadExchange =
        LoadExchange(ownWork::loads, { cache.snapshot.hasSeveralUrgencies }, events, awakeClock::nowMillis)
    private val peers =
        PeerExchange(
            settings.instance,
            settings.peerAddress,
            settings.seedAddresses,
            store,
            cache,
            crashGuard,
            answerNotices,
            groups,
            loadExchange,
            events,
        )
    private val loads = TargetLoads(reportOf = groups::reportedLoadOf)
    private val costs = CostEstimator({ System.nanoTime() / NANOS_PER_MILLI })
    private val calls = CallFactory(costs)
    private val retryBudgets = ConcurrentHashMap<String, RetryBudget>()
    private val gone = GoneTargets()
    private val presence = TargetPresence(gone, cache)
    private val phases = StartupPhases(events).also { it.reach(StartupPhase.CODE) }
    private val recovery = TargetRecovery(cache, gone, presence, events, peers::entryCount, phases)
    private val groupSelector = GroupSelector(groups, loads, peers::entryCount, { recovery.isClosed(it.service, it.group) })
    private val streamTurns = StreamTurns(groupSelector, ownWork)
    private val requestLog = RequestLog(events)
    private val inFlight = AtomicInteger()
    private val metrics =
        EntryMetrics(
            cache,
            loads,
            notices,
            recovery,
            inFlight::get,
            { streamTurns.waitingByUrgency },
            recovery::waitingCount,
            peers::peerCount,
            crashGuard::blamedCount,
            groups,
        )

    @Volatile
    private var isStopping = false

    @Volatile
    private var stop: EntryStop? = null

    private val targetSelector =
        TargetSelector(settings.dataCentre, { cache.snapshot }, loads, notices, presence, peers::entryCount, groupSelector)
    private val explainPage =
        ExplainPage(
            RequestExplainer(
                settings.instance,
                { cache.snapshot },
                costs,
                targetSelector,
                groupSelector,
                recovery,
                streamTurns,
                peers::entryCount,
            ),
        )

    private val forwarder =
        DirectForwarder(
            ForwarderParts(
                snapshot = { cache.snapshot },
                costs = CostAccounts(loads, costs),
                targets = targetSelector,
                recovery = recovery,
                groups = groupSelector,
                sender =
                    TargetSender(notices, { call, target, answer ->
                        loads.onSign(target.id)
                        answerNotices.onAnswer(call, target, answer)
                    }),
                retryBudgetFor = { service ->
                    val slack = settings.limits.retrySlack
                    val burst = retrySlackPerInstance(slack, peers.entryCount)
                    retryBudgets
                        .computeIfAbsent(service) { RetryBudget(burst, initialRetriesPerInstance(slack, peers.entryCount)) }
                        .also { it.limitBurst(burst) }
                },
                entryCount = peers::entryCount,
                crashGuard = crashGuard,
                retryPercent = settings.limits.retryPercent,
                streamTurns = streamTurns,
                isEnding = { stop?.isRefusingAll == true },
                observer =
                    CallObserver(
                        onStreamHeld = ::onStreamHeld,
                        onRequestHeld = requestLog::requestHeld,
                        onSendFailed = requestLog::sendFailed,
                        onRetryDecided = ::onRetryDecided,
                        onStreamResumed = requestLog::streamResumed,
                        onCostKnown = { call, ratio -> metrics.recordCost(call.service, ratio) },
                    ),
            ),
        )
    private val server by lazy {
        DirectHttpServer(
            callerSocket = callerSocket.getOrThrow(),
            readinessAddress = settings.readinessAddress,
            operatorAddress = settings.operatorAddress,
            serve = ::serve,
            serveOperators = { if (it.path() == EXPLAIN_PATH) explainPage.serve(it) else metrics.serve(it) },
            isReady = { !isStopping && isComplete() },
            isStopping = { isStopping },
        )
    }

    override fun start() {
        events.write(LogEvent.PROCESS_STARTED, LogField("dataCentre", settings.dataCentre))
        ownWork.onUrgentWaiting = { urgency -> if (cache.snapshot.isMoreUrgentThanOthers(urgency)) peers.onUrgentWaiting() }
        groups.addListener(::onGroupReport)
        cache.addChangeListener(phases::onState)
        watcher.start()
        server.start()
        phases.reach(StartupPhase.PORTS)
        peers.start()
        thread(name = "settings", isDaemon = true) { reloadPeriodically() }
        events.write(LogEvent.PROCESS_READY, LogField("callers", "${settings.callerAddress}"))
    }

    override fun reload() {
        readSettings()?.let { peers.replaceSeedAddresses(it.seedAddresses) }
    }

    override fun stop() {
        events.write(LogEvent.PROCESS_STOPPING, LogField("inFlight", "${inFlight.get()}"))
        isStopping = true
        val limitMillis = settings.limits.shutdownGraceMillis - STOP_MARGIN_MILLIS
        val currentStop = EntryStop(System.nanoTime(), StopAdmission(limitMillis)).also { stop = it }
        while (currentStop.elapsedMillis() < limitMillis &&
            (currentStop.elapsedMillis() < OUT_OF_ROTATION_MILLIS || inFlight.get() > 0)
        ) {
            Thread.sleep(DRAIN_CHECK_INTERVAL_MILLIS)
        }
        currentStop.isRefusingAll = true
        server.close()
        peers.close()
        events.write(LogEvent.PROCESS_STOPPED, LogField("inFlight", "${inFlight.get()}"))
    }

    /** Whether callers can be served: a list of targets that only peers have confirmed must have one that is there. */
    private fun isComplete() = cache.snapshot.let { it.isComplete && (it.targetsReadAtNanos != 0L || recovery.hasTarget) }

    /** Reloads the settings periodically, because the settings file may change without a signal. */
    private fun reloadPeriodically() {
        while (true) {
            Thread.sleep(SETTINGS_RELOAD_INTERVAL_MILLIS)
            reload()
        }
    }

    private fun serve(context: Context, response: ServletResponse) {
        val arrivedNanos = response.arrivedNanos
        val caller = decodeCallerRequest { name -> context.header(name)?.let { headerTextOrNull(it) ?: it } }
        inFlight.incrementAndGet()
        try {
            val record = respond(context, caller, arrivedNanos, response)
            requestLog.requestEnded(caller, record, cache.snapshot, arrivedNanos)
            metrics.recordCall(record.outcome, System.nanoTime() - arrivedNanos)
        } catch (e: IOException) {
            requestLog.requestAbandoned(caller, "request or answer: ${e.javaClass.simpleName}: ${e.message}", arrivedNanos)
        } catch (e: Exception) {
            onUnexpectedFailure(caller, e, arrivedNanos, response)
        } finally {
            inFlight.decrementAndGet()
        }
    }

    /**
     * Answers a request whose serving failed with [failure], also with an [InterruptedException] while the server stops.
     *
     * If the head of an answer has been sent, that answer ends here, complete or not.
     */
    private fun onUnexpectedFailure(
        caller: CallerRequest,
        failure: Exception,
        arrivedNanos: Long,
        response: ServletResponse,
    ) {
        requestLog.servingFailed(caller, failure, arrivedNanos)
        if (response.isCommitted) return
        val record = refuse(if (response.isRequestSent) Refusal.OUTCOME_UNKNOWN else Refusal.NOT_SENT, response)
        requestLog.requestEnded(caller, record, cache.snapshot, arrivedNanos)
        metrics.recordCall(record.outcome, System.nanoTime() - arrivedNanos)
    }

    private fun areSingleGroupLoadsUseful(report: GroupReport): Boolean {
        val engine =
            cache.snapshot.routes
                ?.service(report.service)
                ?.engine ?: return false
        return areSingleGroupReportsUseful(engine, report.rankCount, peers.entryCount)
    }

    private fun onGroupReport(known: KnownGroup, ageMillis: Long) {
        val report = known.report
        // While this is the only group that is known, others may exist whose targets are listed.
        val isOnlyGroup =
            groups.view.groupsOf(report.service, groups.nowMillis()).size < 2 &&
                report.rankCount >= cache.snapshot.targets.countForService(report.service)
        recovery.onGroupState(report.service, report.group.takeUnless { isOnlyGroup }, report.isOpen, ageMillis)
        // Requests that wait while no group takes any are not bound to one of them.
        if (!isOnlyGroup && report.isOpen) recovery.onGroupState(report.service, null, isOpen = true, ageMillis)
    }

    private fun onStreamHeld(call: DirectCall, outcome: StreamQueueOutcome) {
        requestLog.streamHeld(call, outcome)
        metrics.recordStreamHeld(call.urgency, outcome)
    }

    private fun onRetryDecided(call: DirectCall, decision: RetryDecision) {
        requestLog.retryDecided(call, decision)
        metrics.recordRetry(call.service, decision.isAllowed)
    }

    private fun respond(
        context: Context,
        caller: CallerRequest,
        arrivedNanos: Long,
        response: ServletResponse,
    ): CallRecord {
        if (stop?.isRefusingAll == true) return refuse(Refusal.STOPPING, response)
        if (!cache.snapshot.isComplete) cache.awaitComplete(STARTUP_WAIT_MILLIS - (System.nanoTime() - startedNanos) / NANOS_PER_MILLI)
        val routes = cache.snapshot.routes ?: return refuse(Refusal.NO_CONFIGURATION, response)
        val path = context.req().requestURI
        return when (val match = routes.match(context.req().getHeader("Host").orEmpty(), path, caller.key)) {
            is RouteMatch.NoRoute -> {
                refuse(Refusal.NO_ROUTE, response)
            }

            is RouteMatch.UnknownKey -> {
                refuse(Refusal.UNKNOWN_KEY, response)
            }

            is RouteMatch.Allowed -> {
                forward(context, caller, match, routes, arrivedNanos, response)
            }
        }
    }

    private fun forward(
        context: Context,
        caller: CallerRequest,
        match: RouteMatch.Allowed,
        routes: RouteTable,
        arrivedNanos: Long,
        response: ServletResponse,
    ): CallRecord {
        val body = readBodyOrNull(context.req(), routes.config.callerLimits.bodyBytes) ?: return refuse(Refusal.TOO_LARGE, response)
        if (body.isNotEmpty() && context.req().method in methodsWithoutBody) return refuse(Refusal.UNSENDABLE_BODY, response)
        val headers = headersOrNull(context.req()) ?: return refuse(Refusal.MALFORMED_HEADER, response)
        val call = calls.newCall(context.req(), caller, match, routes, ReceivedContent(headers, body), arrivedNanos)
        if (!mayFinishBeforeStop(call)) return refuse(Refusal.STOPPING, response)
        return forwarder.forward(call, response)
    }

    private fun mayFinishBeforeStop(call: DirectCall): Boolean {
        val currentStop = stop ?: return true
        if (currentStop.isRefusingAll) return false
        return currentStop.admission.accepts(currentStop.elapsedMillis(), call.remainingMillis(System.nanoTime()))
    }

    private fun refuse(refusal: Refusal, response: ServletResponse): CallRecord {
        response.refuse(refusal)
        return CallRecord(CallOutcome.Refused(refusal, ""))
    }
}

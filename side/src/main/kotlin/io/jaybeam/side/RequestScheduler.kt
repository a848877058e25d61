/*
 * Schedules the requests that run on the target. A single worker thread owns the ledger, the concurrency limit and the
 * queue, so that each decision takes all earlier ones into account.
 */
package io.jaybeam.side

import io.jaybeam.core.admission.OfferResult
import io.jaybeam.core.admission.QueuedRequest
import io.jaybeam.core.admission.TargetAdmission
import io.jaybeam.core.admission.TierQueue
import io.jaybeam.core.config.ConfigState
import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.config.ServiceKind
import io.jaybeam.core.config.SlowStartLimits
import io.jaybeam.core.config.TierClass
import io.jaybeam.core.ticket.LedgerDecision
import io.jaybeam.core.ticket.RefusalReason
import io.jaybeam.core.ticket.RequestLedger
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.runtime.WorkerThread
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import kotlin.time.Clock

/**
 * Snapshot of the scheduler's state, for the dump and for load reports.
 *
 * @property stepMillis typical time between tokens in milliseconds; 0 if unknown.
 * @property tickets number of tickets in the ledger.
 * @property storedRequests number of requests in the store.
 * @property isAvailable whether there is no reason to refuse new requests.
 * @property targetIncarnation current incarnation of the target; null while it is down.
 */
internal data class SchedulerSnapshot(
    val inFlight: Int = 0,
    val queued: Int = 0,
    val limit: Int = 0,
    val stepMillis: Double = 0.0,
    val tickets: Int = 0,
    val storedRequests: Int = 0,
    val isDraining: Boolean = false,
    val isAvailable: Boolean = false,
    val targetIncarnation: String? = null,
) {
    /** Whether new requests are admitted. */
    val acceptsRequests: Boolean get() = isAvailable && !isDraining

    /** Whether the target answers. */
    val isTargetUp: Boolean get() = targetIncarnation != null
}

private const val MESSAGE_QUEUE_CAPACITY = 16_384
private const val TICK_INTERVAL_MILLIS = 10L
private const val MAX_CLOCK_SKEW_MILLIS = 5_000L
private const val RETRY_AFTER_MILLIS = 1_000L
private const val NANOS_PER_MILLI = 1_000_000.0
private const val NANOS_PER_MILLI_LONG = 1_000_000L

/** Admits, queues, runs and stores requests. */
internal class RequestScheduler(
    private val settings: SideSettings,
    private val self: TargetIncarnation,
    private val targetClient: TargetClient,
    private val clock: Clock,
    private val events: EventLog,
    private val broadcast: (Frame) -> Unit,
) : AutoCloseable {
    private val worker = WorkerThread<SchedulerMessage>("work", MESSAGE_QUEUE_CAPACITY, TICK_INTERVAL_MILLIS, events, ::onMessage, ::onTick)
    private val callExecutor: ExecutorService = Executors.newCachedThreadPool { Thread(it, "target-call").apply { isDaemon = true } }
    private val ledger = RequestLedger(self, settings.ticketWindowMillis, MAX_CLOCK_SKEW_MILLIS, settings.ledgerCapacity)
    private val admission = TargetAdmission(SlowStartLimits(1, 1, 0), monotonicMillis())
    private val queue = TierQueue<ServedRequest>(settings.queueCapacity)
    private val store = RequestStore(settings.retainedAnswerBytes)
    private val healthTracker = TargetHealthTracker()

    // The streams of a model engine step together, so the time between two chunks of an answer is a step time.
    private val isModel = settings.target.kind == ServiceKind.MODEL
    private var configState: ConfigState? = null
    private var isDraining = false
    private var crashCount = 0
    private var queuedSuspectCount = 0
    private var isSuspectRunning = false

    /** End of the time for which the target wants no request. */
    private var pauseEndMillis = 0L

    /** The incarnation that has stated that it leaves. */
    private var leavingIncarnation: String? = null

    /** Latest snapshot of the state. */
    @Volatile
    var snapshot = SchedulerSnapshot()
        private set

    /** Whether no request is active; see [RequestStore.isIdle]. */
    @Volatile
    var isIdle = true
        private set

    fun start() = worker.start()

    fun submit(message: SchedulerMessage) = worker.put(message)

    override fun close() {
        worker.close()
        callExecutor.shutdownNow()
    }

    /** Returns a frame with the load of the target. */
    fun loadFrame(): Frame.Load {
        val current = snapshot
        return Frame.Load(current.inFlight, current.queued, current.limit, current.stepMillis, isDraining = !current.acceptsRequests)
    }

    /** Returns a frame with the current incarnation of the target, or null while the target is down. */
    fun targetLifeFrameOrNull(): Frame.TargetLife? = snapshot.targetIncarnation?.let { Frame.TargetLife(it) }

    private fun onMessage(message: SchedulerMessage) {
        when (message) {
            is SchedulerMessage.RequestReceived -> onRequest(message.link, message.execute)
            is SchedulerMessage.CancelReceived -> onCancel(message.cancel)
            is SchedulerMessage.AckReceived -> onAck(message.ack)
            is SchedulerMessage.LinkClosed -> store.detach(message.link, monotonicMillis())
            is SchedulerMessage.StepTaken -> admission.onStep(message.stepMillis, monotonicMillis())
            is SchedulerMessage.CallFinished -> onCallFinished(message)
            is SchedulerMessage.HealthChecked -> onHealth(message.health)
            is SchedulerMessage.WorkStated -> onWorkStated(message)
            is SchedulerMessage.ConfigChanged -> onConfigChange(message.state)
            is SchedulerMessage.StartDraining -> startDraining()
        }
        startQueued()
        publishSnapshot()
    }

    private fun onTick() {
        val now = monotonicMillis()
        queue.removeOverdue(now).forEach { refuseAccepted(it.value, RefusalReason.WAITED_TOO_LONG) }
        ledger.expire(clock.now().toEpochMilliseconds()).forEach { id ->
            store.findByKey(id)?.takeIf { it.stage == RequestStage.FINISHED }?.let(store::remove)
        }
        store.expire(now).forEach(::abandon)
        startQueued()
        publishSnapshot()
    }

    private fun onRequest(link: Link, execute: Frame.Execute) {
        val ticket = execute.ticket
        if (ticket == null) {
            onRequestWithoutTicket(link, execute)
            return
        }
        when (val decision = ledger.evaluate(ticket, execute.fingerprint, clock.now().toEpochMilliseconds())) {
            is LedgerDecision.New -> admitOrRefuse(link, execute, ticket.id)
            is LedgerDecision.Duplicate -> store.attach(link, execute, ticket.id)
            is LedgerDecision.Refused -> refuse(link, execute, decision.reason)
            is LedgerDecision.Undecided -> link.send(Frame.Undecided(execute.requestId, execute.attemptId, decision.problem))
        }
    }

    private fun onRequestWithoutTicket(link: Link, execute: Frame.Execute) {
        when {
            execute.requestId in store -> store.attach(link, execute, execute.requestId)
            execute.attachOnly -> link.send(Frame.Broken(execute.requestId, execute.attemptId, "this side does not hold the request"))
            else -> admitOrRefuse(link, execute, execute.requestId)
        }
    }

    private fun admitOrRefuse(link: Link, execute: Frame.Execute, key: String) {
        val reason = refusalReasonOrNull()
        if (reason == null) return admit(link, execute, key)
        execute.ticket?.let { ledger.refuse(it, execute.fingerprint, reason) }
        refuse(link, execute, reason)
    }

    private fun refusalReasonOrNull(): RefusalReason? {
        val state = configState
        return when {
            isDraining -> RefusalReason.DRAINING
            state == null -> RefusalReason.NOT_READY
            !state.effective().isInService(settings.common.dataCentre, self.instance) -> RefusalReason.OUT_OF_SERVICE
            healthTracker.incarnation == null -> RefusalReason.TARGET_DOWN
            healthTracker.incarnation == leavingIncarnation -> RefusalReason.DRAINING
            pauseMillis() > 0 -> RefusalReason.OVER_LIMIT
            else -> null
        }
    }

    private fun admit(link: Link, execute: Frame.Execute, key: String) {
        val request = ServedRequest(key, execute, monotonicMillis())
        execute.ticket?.let { ledger.accept(it, execute.fingerprint) }
        store.add(request)
        store.attach(link, execute, key)
        if (execute.isSuspect) queuedSuspectCount += 1
        when (val result = queue.offer(QueuedRequest(request, execute.organisation, tierOf(execute), request.arrivedAtMillis))) {
            is OfferResult.Queued -> Unit
            is OfferResult.QueuedWithEviction -> refuseAccepted(result.evicted.value, RefusalReason.OVER_LIMIT)
            is OfferResult.Full -> refuseAccepted(request, RefusalReason.OVER_LIMIT)
        }
    }

    private fun tierOf(execute: Frame.Execute): PriceTier {
        val tier = configState?.effective()?.bundle?.tierOrNull(execute.tier)
        return tier ?: PriceTier("default", TierClass.URGENT, execute.deadlineMillis, 0)
    }

    private fun startQueued() {
        while (queue.size > 0 && !isSuspectRunning && pauseMillis() == 0L) {
            val now = monotonicMillis()
            if (queuedSuspectCount > 0) return startQueuedSuspect(now)
            if (!admission.tryAcquire(now)) return
            val next = queue.poll(now) ?: return admission.release()
            startCall(next.value)
        }
    }

    /** Starts a queued suspect once no other request is in flight; until then, no request is started. */
    private fun startQueuedSuspect(nowMillis: Long) {
        if (!admission.tryAcquire(nowMillis, isExclusive = true)) return
        val suspect = queue.remove { it.execute.isSuspect }
        if (suspect == null) admission.release() else startCall(suspect.value)
    }

    private fun startCall(request: ServedRequest) {
        request.stage = RequestStage.RUNNING
        request.targetIncarnation = healthTracker.incarnation
        if (request.execute.isSuspect) queuedSuspectCount -= 1
        isSuspectRunning = request.execute.isSuspect
        val call = targetClient.newCall(request.execute)
        request.call = call
        callExecutor.execute { runCall(request, call) }
    }

    /** Runs the call on its own thread until it ends. */
    private fun runCall(request: ServedRequest, call: TargetCall) {
        var lastNanos = 0L
        val outcome =
            try {
                call.run(
                    onHead = { status, headers ->
                        workStatementOrNull(status, headers)
                            ?.let { worker.put(SchedulerMessage.WorkStated(request.targetIncarnation, it)) }
                        request.answer.setHead(status, headers)
                    },
                    onBytes = { bytes ->
                        val nowNanos = System.nanoTime()
                        if (isModel && lastNanos != 0L) worker.offer(SchedulerMessage.StepTaken((nowNanos - lastNanos) / NANOS_PER_MILLI))
                        request.answer.append(bytes)
                        lastNanos = System.nanoTime()
                    },
                )
            } catch (e: Exception) {
                CallOutcome.Lost(e.toString())
            }
        val isTargetDown = outcome !is CallOutcome.Complete && targetClient.healthOrNull()?.incarnation != request.targetIncarnation
        worker.put(SchedulerMessage.CallFinished(request, outcome, isTargetDown))
    }

    private fun onCallFinished(message: SchedulerMessage.CallFinished) {
        val request = message.request
        admission.release()
        if (request.execute.isSuspect) isSuspectRunning = false
        if (message.isTargetDown && healthTracker.incarnation == request.targetIncarnation) onTargetCrash()
        request.stage = RequestStage.FINISHED
        request.finishedAtMillis = monotonicMillis()
        when (val outcome = message.outcome) {
            is CallOutcome.Complete -> request.answer.finish(AnswerState.Complete(0))
            is CallOutcome.Lost -> request.answer.finish(AnswerState.Broken("the target's answer was lost: ${outcome.detail}"))
            is CallOutcome.NotSent -> refuseAccepted(request, RefusalReason.TARGET_DOWN)
        }
    }

    /** Broadcasts which requests were running on the target when it crashed, before any of them is answered. */
    private fun onTargetCrash() {
        crashCount += 1
        healthTracker.onCrash()
        val fingerprints = store.running.map { it.execute.fingerprint }.distinct()
        events.write(LogEvent.TARGET_CRASHED, LogField("crash", "$crashCount"), LogField("inFlight", "${fingerprints.size}"))
        broadcast(Frame.Crash("${self.incarnation}/$crashCount", fingerprints))
        admission.onColdStart(monotonicMillis())
    }

    private fun onHealth(health: TargetHealth?) {
        val previousIncarnation = healthTracker.incarnation
        if (health?.isWarm == true) admission.onWarmReport(monotonicMillis())
        when (val change = healthTracker.observe(health, store.running.isNotEmpty())) {
            is TargetChange.None -> {
                Unit
            }

            is TargetChange.Started -> {
                targetClient.dropIdleConnections()
                if (change.isCrash && previousIncarnation != null) onTargetCrash()
                healthTracker.observe(health, hasRunning = false)
                pauseEndMillis = 0
                admission.onColdStart(monotonicMillis())
            }

            is TargetChange.BecameCold -> {
                events.write(LogEvent.TARGET_COLD, LogField("source", "target's report"))
                admission.onColdStart(monotonicMillis())
            }
        }
    }

    private fun onWorkStated(message: SchedulerMessage.WorkStated) {
        // A call may end after the target has been replaced.
        if (message.incarnation == null || message.incarnation != healthTracker.incarnation) return
        if (message.statement.isLeaving && leavingIncarnation != message.incarnation) {
            leavingIncarnation = message.incarnation
            events.write(LogEvent.TARGET_LEAVING, LogField("target", message.incarnation))
            refuseQueued(RefusalReason.DRAINING)
        }
        val retryAfter = message.statement.retryAfter ?: return
        val isNew = pauseMillis() == 0L && retryAfter.delayMillis > 0
        pauseEndMillis = maxOf(pauseEndMillis, monotonicMillis() + retryAfter.delayMillis)
        if (!isNew && retryAfter.fault == null) return
        events.write(
            LogEvent.TARGET_PAUSED,
            LogField("target", message.incarnation),
            LogField("millis", "${retryAfter.delayMillis}"),
            LogField("fault", retryAfter.fault.orEmpty()),
        )
    }

    private fun pauseMillis(): Long = maxOf(0, pauseEndMillis - monotonicMillis())

    private fun retryAfterMillis(): Long = pauseMillis().takeIf { it > 0 } ?: RETRY_AFTER_MILLIS

    private fun refuseAccepted(request: ServedRequest, reason: RefusalReason) {
        request.execute.ticket?.let { ledger.refuseAccepted(it, reason) }
        request.answer.refuse(reason, retryAfterMillis())
        remove(request)
    }

    private fun remove(request: ServedRequest) {
        if (request.execute.isSuspect && request.stage == RequestStage.QUEUED) queuedSuspectCount -= 1
        store.remove(request)
    }

    private fun onCancel(cancel: Frame.Cancel) {
        val request = store.findByRequestId(cancel.requestId) ?: return
        request.answer.unsubscribe(cancel.requestId, cancel.attemptId)
        if (request.execute.ticket != null || request.answer.hasSubscribers) return
        abandon(request)
    }

    private fun abandon(request: ServedRequest) {
        when (request.stage) {
            RequestStage.QUEUED -> {
                queue.remove { it === request }
                remove(request)
            }

            RequestStage.RUNNING -> {
                request.call?.cancel()
            }

            RequestStage.FINISHED -> {
                remove(request)
            }
        }
    }

    private fun onAck(ack: Frame.Ack) {
        store.findByRequestId(ack.requestId)?.answer?.acknowledge(ack.requestId, ack.attemptId, ack.chunkCount)
    }

    private fun onConfigChange(state: ConfigState) {
        configState = state
        val effective = state.effective()
        effective.bundle?.let { admission.configure(it.slowStartLimits) }
        if (!effective.isInService(settings.common.dataCentre, self.instance)) refuseQueued(RefusalReason.OUT_OF_SERVICE)
    }

    private fun startDraining() {
        isDraining = true
        refuseQueued(RefusalReason.DRAINING)
    }

    private fun refuseQueued(reason: RefusalReason) {
        queue.drain().forEach { refuseAccepted(it.value, reason) }
    }

    private fun refuse(link: Link, execute: Frame.Execute, reason: RefusalReason) {
        link.send(Frame.Refused(execute.requestId, execute.attemptId, reason, retryAfterMillis()))
    }

    private fun publishSnapshot() {
        val previous = snapshot
        snapshot =
            SchedulerSnapshot(
                inFlight = admission.inFlight,
                queued = queue.size,
                limit = admission.limitAt(monotonicMillis()),
                stepMillis = admission.typicalStepMillis,
                tickets = ledger.size,
                storedRequests = store.size,
                isDraining = isDraining,
                isAvailable = refusalReasonOrNull() == null,
                targetIncarnation = healthTracker.incarnation,
            )
        isIdle = store.isIdle
        // If entries learned of this only by heartbeat, they would send requests that are refused, or refuse calls that could run.
        if (snapshot.acceptsRequests != previous.acceptsRequests) broadcast(loadFrame())
        if (snapshot.targetIncarnation != previous.targetIncarnation) targetLifeFrameOrNull()?.let(broadcast)
    }
}

internal fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI_LONG

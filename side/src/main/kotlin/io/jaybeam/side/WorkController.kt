/*
 * Decides what runs on the target. One thread owns the ledger, the admission limit and the queue, so that each
 * decision is made against all that came before it.
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

/** A moment's figures, for the dump and for load reports. */
internal data class WorkSnapshot(
    val inFlight: Int = 0,
    val queued: Int = 0,
    val limit: Int = 0,
    val stepMillis: Double = 0.0,
    val tickets: Int = 0,
    val kept: Int = 0,
    val leaving: Boolean = false,
    val inService: Boolean = false,
    val targetIncarnation: String? = null,
) {
    /** Whether new requests are admitted. */
    val takesWork: Boolean get() = inService && !leaving

    /** Whether the target answers. */
    val targetUp: Boolean get() = targetIncarnation != null
}

private const val RING_CAPACITY = 16_384
private const val TICK_MILLIS = 10L
private const val MAX_SKEW_MILLIS = 5_000L
private const val RETRY_AFTER_MILLIS = 1_000L
private const val NANOS_PER_MILLI = 1_000_000.0
private const val NANOS_PER_MILLI_LONG = 1_000_000L

/** Admits, queues, runs and remembers requests. */
internal class WorkController(
    private val settings: SideSettings,
    private val self: TargetIncarnation,
    private val target: TargetClient,
    private val clock: Clock,
    private val events: EventLog,
    private val broadcast: (Frame) -> Unit,
) : AutoCloseable {
    private val duty = WorkerThread<WorkMessage>("work", RING_CAPACITY, TICK_MILLIS, events, ::handle, ::tick)
    private val runners: ExecutorService = Executors.newCachedThreadPool { Thread(it, "target-call").apply { isDaemon = true } }
    private val ledger = RequestLedger(self, settings.ticketWindowMillis, MAX_SKEW_MILLIS, settings.ledgerCapacity)
    private val admission = TargetAdmission(SlowStartLimits(1, 1, 0), monotonicMillis())
    private val queue = TierQueue<ServedRequest>(settings.queueCapacity)
    private val store = RequestStore(settings.retainedAnswerBytes)
    private val watch = TargetWatch()
    private val stepsTogether = settings.target.kind == ServiceKind.MODEL
    private var config: ConfigState? = null
    private var leaving = false
    private var crashCount = 0
    private var queuedSuspects = 0
    private var suspectRunning = false

    /** The latest figures. */
    @Volatile
    var snapshot = WorkSnapshot()
        private set

    /** Whether no request is queued, running or partly delivered. */
    @Volatile
    var idle = true
        private set

    fun start() = duty.start()

    fun tell(message: WorkMessage) = duty.put(message)

    override fun close() {
        duty.close()
        runners.shutdownNow()
    }

    /** Returns the frame that tells entries how loaded the target is. */
    fun loadReport(): Frame.Load {
        val now = snapshot
        return Frame.Load(now.inFlight, now.queued, now.limit, now.stepMillis, isDraining = !now.takesWork)
    }

    /** Returns the frame that names the target's present life, or null while it is down. */
    fun targetLifeOrNull(): Frame.TargetLife? = snapshot.targetIncarnation?.let { Frame.TargetLife(it) }

    private fun handle(message: WorkMessage) {
        when (message) {
            is WorkMessage.Arrive -> arrive(message.link, message.execute)
            is WorkMessage.Cancel -> cancel(message.cancel)
            is WorkMessage.Ack -> acknowledge(message.ack)
            is WorkMessage.LinkClosed -> store.detach(message.link, monotonicMillis())
            is WorkMessage.Step -> admission.onStep(message.stepMillis, monotonicMillis())
            is WorkMessage.Finished -> finish(message)
            is WorkMessage.Health -> health(message.health)
            is WorkMessage.Configured -> configure(message.state)
            is WorkMessage.Leave -> leave()
        }
        startQueued()
        publish()
    }

    private fun tick() {
        val now = monotonicMillis()
        queue.removeOverdue(now).forEach { withdraw(it.value, RefusalReason.WAITED_TOO_LONG) }
        ledger.expire(clock.now().toEpochMilliseconds()).forEach { id ->
            store.findByKey(id)?.takeIf { it.stage == Stage.OVER }?.let(store::forget)
        }
        store.expire(now).forEach(::giveUp)
        startQueued()
        publish()
    }

    private fun arrive(link: Link, execute: Frame.Execute) {
        val ticket = execute.ticket
        if (ticket == null) {
            arriveRepeatable(link, execute)
            return
        }
        when (val verdict = ledger.evaluate(ticket, execute.fingerprint, clock.now().toEpochMilliseconds())) {
            is LedgerDecision.New -> decide(link, execute, ticket.id)
            is LedgerDecision.Duplicate -> store.attach(link, execute, ticket.id)
            is LedgerDecision.Refused -> refuse(link, execute, verdict.reason)
            is LedgerDecision.Undecided -> link.send(Frame.Undecided(execute.requestId, execute.attemptId, verdict.problem))
        }
    }

    private fun arriveRepeatable(link: Link, execute: Frame.Execute) {
        when {
            execute.requestId in store -> store.attach(link, execute, execute.requestId)
            execute.attachOnly -> link.send(Frame.Broken(execute.requestId, execute.attemptId, "the request is not held here"))
            else -> decide(link, execute, execute.requestId)
        }
    }

    private fun decide(link: Link, execute: Frame.Execute, key: String) {
        val reason = refusalReason()
        if (reason == null) return admit(link, execute, key)
        execute.ticket?.let { ledger.refuse(it, execute.fingerprint, reason) }
        refuse(link, execute, reason)
    }

    private fun refusalReason(): RefusalReason? {
        val state = config
        return when {
            leaving -> RefusalReason.LEAVING
            state == null -> RefusalReason.NOT_READY
            !state.effective().isInService(settings.common.dataCentre, self.instance) -> RefusalReason.OUT_OF_SERVICE
            watch.incarnation == null -> RefusalReason.TARGET_DOWN
            else -> null
        }
    }

    private fun admit(link: Link, execute: Frame.Execute, key: String) {
        val request = ServedRequest(key, execute, monotonicMillis())
        execute.ticket?.let { ledger.accept(it, execute.fingerprint) }
        store.add(request)
        store.attach(link, execute, key)
        if (execute.isSuspect) queuedSuspects += 1
        when (val verdict = queue.offer(QueuedRequest(request, execute.organisation, tierOf(execute), request.arrivedAtMillis))) {
            is OfferResult.Queued -> Unit
            is OfferResult.QueuedWithEviction -> withdraw(verdict.evicted.value, RefusalReason.OVER_LIMIT)
            is OfferResult.Full -> withdraw(request, RefusalReason.OVER_LIMIT)
        }
    }

    private fun tierOf(execute: Frame.Execute): PriceTier {
        val tier = config?.effective()?.bundle?.tierOrNull(execute.tier)
        return tier ?: PriceTier("default", TierClass.URGENT, execute.deadlineMillis, 0)
    }

    private fun startQueued() {
        while (queue.size > 0 && !suspectRunning) {
            val now = monotonicMillis()
            if (queuedSuspects > 0) return startSuspect(now)
            if (!admission.tryAcquire(now)) return
            val next = queue.poll(now) ?: return admission.release()
            run(next.value)
        }
    }

    /** A suspect waits for the target to become empty, so nothing else starts while one waits. */
    private fun startSuspect(now: Long) {
        if (!admission.tryAcquire(now, isExclusive = true)) return
        val suspect = queue.remove { it.execute.isSuspect }
        if (suspect == null) admission.release() else run(suspect.value)
    }

    private fun run(request: ServedRequest) {
        request.stage = Stage.RUNNING
        request.targetIncarnation = watch.incarnation
        if (request.execute.isSuspect) queuedSuspects -= 1
        suspectRunning = request.execute.isSuspect
        val call = target.prepare(request.execute)
        request.call = call
        runners.execute { runCall(request, call) }
    }

    /** Runs on a thread of its own for as long as the target answers. */
    private fun runCall(request: ServedRequest, call: TargetCall) {
        var lastNanos = 0L
        val end =
            try {
                call.run(
                    onHead = request.answer::head,
                    onBytes = { bytes ->
                        val now = System.nanoTime()
                        if (stepsTogether && lastNanos != 0L) duty.offer(WorkMessage.Step((now - lastNanos) / NANOS_PER_MILLI))
                        request.answer.append(bytes)
                        lastNanos = System.nanoTime()
                    },
                )
            } catch (e: Exception) {
                CallEnd.Lost(e.toString())
            }
        val down = end !is CallEnd.Whole && target.healthOrNull()?.incarnation != request.targetIncarnation
        duty.put(WorkMessage.Finished(request, end, down))
    }

    private fun finish(message: WorkMessage.Finished) {
        val request = message.request
        admission.release()
        if (request.execute.isSuspect) suspectRunning = false
        if (message.targetDown && watch.incarnation == request.targetIncarnation) crash()
        request.stage = Stage.OVER
        request.overAtMillis = monotonicMillis()
        when (val end = message.end) {
            is CallEnd.Whole -> request.answer.finish(AnswerState.Whole(0))
            is CallEnd.Lost -> request.answer.finish(AnswerState.Broken("the target's answer was lost: ${end.detail}"))
            is CallEnd.NotSent -> withdraw(request, RefusalReason.TARGET_DOWN)
        }
    }

    /** Tells everyone which requests were on the target when it died, before any of them is answered. */
    private fun crash() {
        crashCount += 1
        watch.onCrash()
        val fingerprints = store.running.map { it.execute.fingerprint }.distinct()
        events.write(LogEvent.TARGET_CRASHED, LogField("crash", "$crashCount"), LogField("inFlight", "${fingerprints.size}"))
        broadcast(Frame.Crash("${self.incarnation}/$crashCount", fingerprints))
        admission.onColdStart(monotonicMillis())
    }

    private fun health(health: TargetHealth?) {
        val before = watch.incarnation
        if (health?.warm == true) admission.onWarmReport(monotonicMillis())
        when (val change = watch.observe(health, store.running.isNotEmpty())) {
            is TargetChange.None -> {
                Unit
            }

            is TargetChange.Started -> {
                target.dropIdleConnections()
                if (change.crashed && before != null) crash()
                watch.observe(health, hasRunning = false)
                admission.onColdStart(monotonicMillis())
            }

            is TargetChange.FellCold -> {
                events.write(LogEvent.TARGET_COLD, LogField("source", "target's report"))
                admission.onColdStart(monotonicMillis())
            }
        }
    }

    private fun withdraw(request: ServedRequest, reason: RefusalReason) {
        request.execute.ticket?.let { ledger.refuseAccepted(it, reason) }
        request.answer.refuse(reason, RETRY_AFTER_MILLIS)
        forget(request)
    }

    private fun forget(request: ServedRequest) {
        if (request.execute.isSuspect && request.stage == Stage.QUEUED) queuedSuspects -= 1
        store.forget(request)
    }

    private fun cancel(cancel: Frame.Cancel) {
        val request = store.findByRequestId(cancel.requestId) ?: return
        request.answer.unsubscribe(cancel.requestId, cancel.attemptId)
        if (request.execute.ticket != null || request.answer.hasSubscribers) return
        giveUp(request)
    }

    private fun giveUp(request: ServedRequest) {
        when (request.stage) {
            Stage.QUEUED -> {
                queue.remove { it === request }
                forget(request)
            }

            Stage.RUNNING -> {
                request.call?.cancel()
            }

            Stage.OVER -> {
                forget(request)
            }
        }
    }

    private fun acknowledge(ack: Frame.Ack) {
        store.findByRequestId(ack.requestId)?.answer?.acknowledge(ack.requestId, ack.attemptId, ack.chunkCount)
    }

    private fun configure(state: ConfigState) {
        config = state
        val effective = state.effective()
        effective.bundle?.let { admission.configure(it.slowStartLimits) }
        if (!effective.isInService(settings.common.dataCentre, self.instance)) refuseQueued(RefusalReason.OUT_OF_SERVICE)
    }

    private fun leave() {
        leaving = true
        refuseQueued(RefusalReason.LEAVING)
    }

    private fun refuseQueued(reason: RefusalReason) {
        queue.drain().forEach { withdraw(it.value, reason) }
    }

    private fun refuse(link: Link, execute: Frame.Execute, reason: RefusalReason) {
        link.send(Frame.Refused(execute.requestId, execute.attemptId, reason, RETRY_AFTER_MILLIS))
    }

    private fun publish() {
        val before = snapshot
        snapshot =
            WorkSnapshot(
                inFlight = admission.inFlight,
                queued = queue.size,
                limit = admission.limitAt(monotonicMillis()),
                stepMillis = admission.typicalStepMillis,
                tickets = ledger.size,
                kept = store.size,
                leaving = leaving,
                inService = refusalReason() == null,
                targetIncarnation = watch.incarnation,
            )
        idle = store.isIdle
        // Between heartbeats entries would send work to a target that refuses it, or refuse calls that it would take.
        if (snapshot.takesWork != before.takesWork) broadcast(loadReport())
        if (snapshot.targetIncarnation != before.targetIncarnation) targetLifeOrNull()?.let(broadcast)
    }
}

internal fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI_LONG

/*
 * Keeps the gates of an entry's services: feeds them with what targets answer, and with whether any target is listed and there.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.GateState
import io.jaybeam.core.admission.StartGate
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.recovery.GoneEvidence
import io.jaybeam.core.recovery.GoneTargets
import io.jaybeam.core.recovery.GroupGate
import io.jaybeam.core.recovery.GroupShare
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import java.util.concurrent.ConcurrentHashMap

// Many waiting calls ask for the state of a gate, and answering means a look at all targets.
private const val PRESENCE_CACHE_MILLIS = 5L

// Interval between the reads of the list that an entry asks for while a service has no target. Usually one entry reads for all.
private const val READ_INTERVAL_MILLIS = 200L

/** Identifies a gate: that of one group, or of a whole service if [group] is null. */
private data class GateKey(
    val service: String,
    val group: String?,
)

/** Gates of one entry. Thread-safe. */
internal class TargetRecovery(
    private val cache: FleetCache,
    private val gone: GoneTargets,
    private val presence: TargetPresence,
    private val events: EventLog,
    private val entryCount: () -> Int,
    private val phases: StartupPhases,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) {
    private val groupGates = ConcurrentHashMap<GateKey, GroupGate>()
    private val serviceGates = ConcurrentHashMap<GateKey, ServiceGate>()

    private val queues = ConcurrentHashMap<String, GateQueue>()

    /** Number of calls that wait in all queues. */
    val waitingCount: Int get() = queues.values.sumOf { it.waitingCount }

    /** Number of services whose targets take no requests. */
    val closedCount: Int get() = serviceGates.values.count { it.state(nowMillis()) is GateState.Closed }

    /** Requests that were sent while a gate was closed. */
    val trialCount: Long get() = groupGates.values.sumOf { it.trialCount }

    /** Number of listed targets that are gone. */
    val goneCount: Int
        get() = gone.count(cache.snapshot.targets.byId.values, nowMillis())

    /** Whether a target of any service is there. */
    val hasTarget: Boolean
        get() =
            cache.snapshot.targets.byId.values
                .filterNot { it.isDraining }
                .let { presence.present(it).isNotEmpty() }

    /** Returns the queue of the calls of [service] that wait at its gates without a stream queue. */
    fun queueOf(service: String): GateQueue = queues.computeIfAbsent(service) { GateQueue() }

    /** Returns the gate of [group], or of all of [service] if that is null. */
    fun gateOf(service: String, group: String?): StartGate = serviceGates.computeIfAbsent(GateKey(service, group), ::ServiceGate)

    /** Whether requests to [group] of [service] are held back. */
    fun isClosed(service: String, group: String): Boolean = groupGates[GateKey(service, group)]?.isClosed == true

    /** Returns the state of the gate of [group], or of all of [service] if that is null, without a read of the list for it. */
    fun previewGate(service: String, group: String?): GateState {
        val key = GateKey(service, group)
        return if (findsNoTarget(service)) GateState.Closed(null) else groupGates[key]?.state(nowMillis()) ?: GateState.Open
    }

    private fun findsNoTarget(service: String): Boolean {
        val snapshot = cache.snapshot
        val listed = snapshot.targets.availableTargets(service, snapshot.dataCentresOut)
        return if (listed.isEmpty()) presence.isYoung else presence.present(listed).isEmpty()
    }

    /** Whether the targets of [service] are ranks, which stand and fall together. */
    fun isRankGroup(service: String): Boolean =
        cache.snapshot.routes
            ?.service(service)
            ?.engine
            ?.isRankGroup == true

    /** Records that a target of [group], or of [service] as a whole, began or continued an answer. */
    fun onAnswer(service: String, group: String?) {
        val closedMillis = groupGates[GateKey(service, group)]?.onAnswer(nowMillis())
        if (closedMillis != null) phases.reach(StartupPhase.GATE)
        phases.onAnswer()
        if (closedMillis == null) return
        events.write(LogEvent.GATE_OPENED, *gateFields(service, group), LogField("closedMillis", "$closedMillis"))
    }

    /** Records that [target] of [group], or of its service as a whole, did not run [call]. */
    fun onNotRun(
        call: DirectCall,
        target: FleetTarget,
        outcome: SendOutcome.NotRun,
        group: String?,
    ) {
        if (outcome.reason.isTargetGone) onGone(call, target, outcome.reason)
        if (!outcome.reason.isUnavailable || !isRankGroup(call.service)) return
        if (groupGateOf(GateKey(call.service, group)).onTurnedAway(target.id, nowMillis())) {
            events.write(
                LogEvent.GATE_CLOSED,
                *gateFields(call.service, group),
                LogField("target", target.id),
                LogField("reason", outcome.reason.name),
                LogField("failedTarget", outcome.failedTargetId.orEmpty()),
            )
        }
    }

    /**
     * Records what the coordinator of [group], or of the only group of [service] if that is null, states: whether it was open [ageMillis]
     * ago. Only the targets' own answers are needed; this only tells earlier.
     */
    fun onGroupState(
        service: String,
        group: String?,
        isOpen: Boolean,
        ageMillis: Long,
    ) {
        if (!isRankGroup(service) || !groupGateOf(GateKey(service, group)).onGroupState(isOpen, ageMillis, nowMillis())) return
        val event = if (isOpen) LogEvent.GATE_OPENED else LogEvent.GATE_CLOSED
        events.write(event, *gateFields(service, group), LogField("reason", "COORDINATOR"), LogField("ageMillis", "$ageMillis"))
    }

    private fun gateFields(service: String, group: String?) = arrayOf(LogField("service", service), LogField("group", group.orEmpty()))

    private fun onGone(call: DirectCall, target: FleetTarget, reason: NotRunReason) {
        val evidence =
            if (reason == NotRunReason.REFUSED_CONNECTION) GoneEvidence.CONNECTION_REFUSED else GoneEvidence.ANOTHER_AT_ADDRESS
        if (!gone.onGone(target, evidence, nowMillis())) return
        serviceGates.forEach { (key, gate) -> if (key.service == target.service) gate.onTargetsChanged() }
        cache.requestTargetsRead()
        events.write(
            LogEvent.TARGET_GONE,
            LogField("target", target.id),
            LogField("address", "${target.host}:${target.port}"),
            LogField("evidence", evidence.name),
            LogField("position", "${target.announcedPosition}"),
            LogField("request", call.caller.requestId.orEmpty()),
        )
    }

    private fun groupGateOf(key: GateKey): GroupGate = groupGates.computeIfAbsent(key) { GroupGate { shareOf(key.service) } }

    private fun shareOf(service: String): GroupShare {
        val snapshot = cache.snapshot
        val slots =
            snapshot.routes
                ?.service(service)
                ?.engine
                ?.batchSlots ?: 0
        return GroupShare(entryCount(), snapshot.targets.countForService(service) * slots)
    }

    /** The gate of one service, which is closed too while none of its targets is there. */
    private inner class ServiceGate(
        private val key: GateKey,
    ) : StartGate {
        private val service = key.service

        @Volatile
        private var isAwaitingTargets = false

        @Volatile
        private var checkedAtMillis = Long.MIN_VALUE

        @Volatile
        private var readRequestedAtMillis = Long.MIN_VALUE

        override fun state(nowMillis: Long): GateState =
            if (awaitsTargets(nowMillis)) GateState.Closed(null) else groupGateOrNull()?.state(nowMillis) ?: GateState.Open

        override fun tryPass(nowMillis: Long): Boolean = !awaitsTargets(nowMillis) && groupGateOrNull()?.tryPass(nowMillis) != false

        /** Makes the next question look at the targets again. */
        fun onTargetsChanged() {
            checkedAtMillis = Long.MIN_VALUE
        }

        private fun groupGateOrNull() = if (isRankGroup(service)) groupGateOf(key) else null

        private fun awaitsTargets(nowMillis: Long): Boolean {
            if (checkedAtMillis == Long.MIN_VALUE || nowMillis - checkedAtMillis >= PRESENCE_CACHE_MILLIS) {
                isAwaitingTargets = findsNoTarget(service)
                checkedAtMillis = nowMillis
            }
            if (isAwaitingTargets) requestTargetsRead(nowMillis)
            return isAwaitingTargets
        }

        private fun requestTargetsRead(nowMillis: Long) {
            if (readRequestedAtMillis != Long.MIN_VALUE && nowMillis - readRequestedAtMillis < READ_INTERVAL_MILLIS) return
            readRequestedAtMillis = nowMillis
            cache.requestTargetsRead()
        }
    }
}

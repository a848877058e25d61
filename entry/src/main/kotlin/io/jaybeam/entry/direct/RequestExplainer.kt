/*
 * Finds out where a request would go now, with the decisions that requests are subject to and without their effects: nothing is
 * counted, learned or sent.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.GateState
import io.jaybeam.core.cost.CostEstimator
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.fleet.GroupChance
import io.jaybeam.core.fleet.RouteMatch
import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.TargetChance
import io.jaybeam.core.recovery.HoldDecision
import io.jaybeam.core.recovery.holdPolicyOf
import io.jaybeam.platform.CallerRequest

/** The request in question. */
internal data class ExplainQuestion(
    val host: String,
    val path: String,
    val caller: CallerRequest,
)

/** Answer to an [ExplainQuestion]. */
internal sealed class ExplainAnswer {
    data class Explained(
        val explanation: RequestExplanation,
    ) : ExplainAnswer()

    /** The request would be answered with [refusal] before any decision on targets. */
    data class NotServed(
        val refusal: Refusal,
    ) : ExplainAnswer()
}

/** Explains requests at the entry of [instance]. Thread-safe. */
internal class RequestExplainer(
    private val instance: String,
    private val snapshot: () -> FleetSnapshot,
    private val costs: CostEstimator,
    private val targets: TargetSelector,
    private val groups: GroupSelector,
    private val recovery: TargetRecovery,
    private val streamTurns: StreamTurns,
    private val entryCount: () -> Int,
) {
    /** Returns where the request of [question] would go. */
    fun explain(question: ExplainQuestion): ExplainAnswer {
        val snapshot = snapshot()
        val routes = snapshot.routes ?: return ExplainAnswer.NotServed(Refusal.NO_CONFIGURATION)
        return when (val match = routes.match(question.host, question.path, question.caller.key)) {
            is RouteMatch.NoRoute -> ExplainAnswer.NotServed(Refusal.NO_ROUTE)
            is RouteMatch.UnknownKey -> ExplainAnswer.NotServed(Refusal.UNKNOWN_KEY)
            is RouteMatch.Allowed -> ExplainAnswer.Explained(explain(question, match, routes, snapshot))
        }
    }

    private fun explain(
        question: ExplainQuestion,
        match: RouteMatch.Allowed,
        routes: RouteTable,
        snapshot: FleetSnapshot,
    ): RequestExplanation {
        val services = match.route.services
        val totalWeight = maxOf(services.sumOf { it.weight.coerceAtLeast(0) }, 1).toDouble()
        return RequestExplanation(
            instance = instance,
            configVersion = snapshot.configVersion,
            targetsAgeMillis = (System.nanoTime() - snapshot.targetsReadAtNanos) / NANOS_PER_MILLI,
            route = match.route.name,
            organisation = match.organisation,
            urgency = match.urgency.rank,
            services = services.map { explainAt(callTo(it.service, question, match, routes), it.weight.coerceAtLeast(0) / totalWeight) },
        )
    }

    private fun callTo(
        service: String,
        question: ExplainQuestion,
        match: RouteMatch.Allowed,
        routes: RouteTable,
    ): DirectCall {
        val now = System.nanoTime()
        val limitMillis = minOf(question.caller.deadlineMillis ?: Long.MAX_VALUE, match.route.timeoutMillis)
        return DirectCall(
            method = "POST",
            pathAndQuery = question.path,
            headers = emptyList(),
            connectionHeader = null,
            body = null,
            caller = question.caller,
            route = match.route,
            service = service,
            organisation = match.organisation,
            urgency = match.urgency,
            configVersion = routes.config.version,
            arrivedNanos = now,
            deadlineNanos = now + limitMillis * NANOS_PER_MILLI,
            engine = routes.service(service)?.engine,
            estimator = costs,
        )
    }

    private fun explainAt(call: DirectCall, chance: Double): ServiceExplanation {
        val groupChances = targets.previewGroups(call.service)
        val group =
            groupChances
                .maxByOrNull { it.chance }
                ?.takeIf { it.chance > 0 }
                ?.option
                ?.group
        val previews = targets.preview(call.service, call.cost, group)
        val queue = queuePreview(call, group)
        val decision = decide(call, group, previews, queue)
        return ServiceExplanation(
            service = call.service,
            chance = chance,
            cost = call.cost.takeIf { it.isKnown }?.explained(),
            decision = decision.kind,
            reason = decision.reason,
            waitMillis = decision.waitMillis,
            queue = queue?.let { QueueExplanation(it.waiting, it.started, it.passMillis, it.firstEventMillis) },
            groups = groupChances.map { it.explained() },
            group = group,
            targets = previews.map { it.explained() }.sortedByDescending { it.chance },
        )
    }

    private class Decision(
        val kind: ExplainedDecision,
        val reason: String,
        val waitMillis: Long?,
    )

    private fun decide(
        call: DirectCall,
        group: String?,
        previews: List<TargetPreview>,
        queue: StreamPreview?,
    ): Decision {
        val gate = recovery.previewGate(call.service, group)
        return when {
            targets.isUnavailable(call.service) -> Decision(ExplainedDecision.REFUSE, "its targets leave or pause", null)
            gate is GateState.Closed -> decideAtClosedGate(call, gate)
            previews.none { it.chance != null } -> Decision(ExplainedDecision.REFUSE, "no target takes requests", null)
            queue == null -> Decision(ExplainedDecision.START, "requests of this route do not wait for room", 0)
            queue.mayStart -> Decision(ExplainedDecision.START, "there is room", 0)
            queue.isRefused -> Decision(ExplainedDecision.REFUSE, "there is no room before its caller gives up", queue.waitMillis)
            else -> Decision(ExplainedDecision.WAIT, "as many streams run as passes allow, or others wait", queue.waitMillis)
        }
    }

    private fun decideAtClosedGate(call: DirectCall, gate: GateState.Closed): Decision {
        val limitMillis = call.remainingMillis(call.arrivedNanos)
        val hold = holdPolicyOf(call.route, limitMillis).decide(gate, waitedMillis = 0, remainingMillis = limitMillis)
        val kind = if (hold is HoldDecision.Wait) ExplainedDecision.WAIT else ExplainedDecision.REFUSE
        return Decision(kind, "no target is there, or all turn requests away until their group is open again", gate.opensInMillis)
    }

    private fun queuePreview(call: DirectCall, group: String?): StreamPreview? {
        val engine = call.engine?.takeIf { call.route.isPaced } ?: return null
        val admission = streamAdmissionOf(call, engine, group, snapshot(), groups, entryCount())
        val arrival = streamArrivalOf(call, engine, call.arrivedNanos / NANOS_PER_MILLI)
        return streamTurns.preview(call.service, group, StreamStart(arrival, admission, GateHold.none()))
    }

    private fun RequestCost.explained() = CostExplanation(readMillis, answerTokens, memoryTokens, relativeWork)

    private fun GroupChance.explained() =
        GroupExplanation(
            option.group,
            option.isOpen,
            option.rankCount,
            option.passMillis,
            option.requestCount,
            relativeTime,
            chance,
        )

    private fun TargetPreview.explained() =
        TargetExplanation(
            id = load.target.id,
            address = "${load.target.host}:${load.target.port}",
            dataCentre = load.target.dataCentre,
            group = group,
            chance = chance?.chance ?: 0.0,
            expectedMillis = chance?.expectedMillis,
            requests = load.backlog.requests,
            slowness = load.backlog.slowness,
            hasReport = load.backlog.isReported,
            ruledOutBy = exclusion?.detail ?: chance?.takeIf { it.chance == 0.0 }?.let(::reasonOf),
        )

    private fun reasonOf(unlikely: TargetChance) =
        if (unlikely.load.isSilent) {
            "it has sent nothing for longer than its requests accept"
        } else {
            "others have less work left or more memory"
        }
}

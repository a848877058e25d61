/*
 * Writes one log line for each decision on a request, with the inputs of the decision and their age.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.cost.RequestCost
import io.jaybeam.platform.CallerRequest
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import kotlin.math.roundToInt

/** Logs the events of requests. */
internal class RequestLog(
    private val events: EventLog,
) {
    /** Logs that a target gave no answer that can be relayed. */
    fun sendFailed(call: DirectCall, sendRecord: SendRecord) =
        events.write(
            LogEvent.SEND_FAILED,
            *sendFields(call, sendRecord),
            LogField("hasEvents", "${sendRecord.hasEvents}"),
            LogField("failedTarget", sendRecord.failedTargetId.orEmpty()),
            LogField("requestsBefore", sendRecord.requestsBefore?.toString().orEmpty()),
            LogField("promptParts", call.caller.sharedPromptParts.joinToString(",")),
        )

    /** Logs that a stream waited in the stream queue or was refused there. */
    fun streamHeld(call: DirectCall, outcome: StreamQueueOutcome) =
        events.write(
            LogEvent.STREAM_HELD,
            requestField(call.caller),
            LogField("route", call.route.name),
            LogField("urgency", "${call.urgency.rank}"),
            LogField("organisation", call.organisation.orEmpty()),
            LogField("outcome", "$outcome"),
        )

    /** Logs that a request waited until targets took requests again, or was refused as they did not. */
    fun requestHeld(call: DirectCall, outcome: GateOutcome) =
        events.write(LogEvent.REQUEST_HELD, requestField(call.caller), LogField("route", call.route.name), LogField("outcome", "$outcome"))

    /** Logs that a stream is resumed at another target after [lastEventId]. */
    fun streamResumed(call: DirectCall, sendRecord: SendRecord, lastEventId: Long) =
        events.write(LogEvent.STREAM_RESUMED, *sendFields(call, sendRecord), LogField("lastEventId", "$lastEventId"))

    /** Logs whether the retry budget of the service allowed another attempt. */
    fun retryDecided(call: DirectCall, decision: RetryDecision) =
        events.write(
            LogEvent.RETRY_DECIDED,
            requestField(call.caller),
            LogField("service", call.service),
            LogField("attempt", "${decision.attempt}"),
            LogField("isAllowed", "${decision.isAllowed}"),
            LogField("retriesLeft", "${decision.retriesLeft}"),
        )

    /** Logs that the caller closed its connection or that the connection failed. */
    fun requestAbandoned(
        caller: CallerRequest,
        detail: String,
        arrivedNanos: Long,
        relayed: RelayedAnswer? = null,
    ) = events.write(
        LogEvent.REQUEST_ABANDONED,
        requestField(caller),
        LogField("detail", detail),
        elapsedField(arrivedNanos),
        *relayedFields(relayed),
    )

    /** Logs that serving a request failed with an exception that no caller, target or connection explains. */
    fun servingFailed(caller: CallerRequest, failure: Exception, arrivedNanos: Long) =
        events.write(
            LogEvent.UNEXPECTED_FAILURE,
            LogField("duty", "request"),
            requestField(caller),
            LogField("detail", failure.stackTraceToString()),
            elapsedField(arrivedNanos),
        )

    /** Logs the outcome of a request. */
    fun requestEnded(
        caller: CallerRequest,
        record: CallRecord,
        snapshot: FleetSnapshot,
        arrivedNanos: Long,
    ) {
        val version = LogField("configVersion", "${snapshot.routes?.config?.version}")
        val configAge = LogField("configAgeMillis", "${(System.nanoTime() - snapshot.routesReadAtNanos) / NANOS_PER_MILLI}")
        when (val outcome = record.outcome) {
            is CallOutcome.Answered -> {
                events.write(
                    LogEvent.REQUEST_ANSWERED,
                    requestField(caller),
                    LogField("status", "${outcome.status}"),
                    elapsedField(arrivedNanos),
                    version,
                    *relayedFields(record.relayed),
                )
            }

            is CallOutcome.Refused -> {
                val reason = LogField("reason", outcome.refusal.name)
                events.write(
                    LogEvent.REQUEST_REFUSED,
                    requestField(caller),
                    reason,
                    LogField("detail", outcome.detail),
                    elapsedField(arrivedNanos),
                    version,
                    configAge,
                )
            }

            is CallOutcome.BrokenOff -> {
                events.write(
                    LogEvent.REQUEST_FAILED,
                    requestField(caller),
                    LogField("detail", outcome.detail),
                    elapsedField(arrivedNanos),
                    version,
                    *relayedFields(record.relayed),
                )
            }

            is CallOutcome.CallerGone -> {
                requestAbandoned(caller, "the caller closed its connection", arrivedNanos, record.relayed)
            }
        }
    }

    private fun sendFields(call: DirectCall, sendRecord: SendRecord) =
        arrayOf(
            requestField(call.caller),
            LogField("target", sendRecord.target),
            LogField("load", "${sendRecord.load}"),
            LogField("targetsAgeMillis", "${sendRecord.targetsAgeMillis}"),
            LogField("route", call.route.name),
            LogField("configVersion", "${call.configVersion}"),
            LogField("detail", sendRecord.detail),
            *placementFields(sendRecord.placement),
        )

    /** Fields of what decided on the target; none if nothing is known about the cost. */
    private fun placementFields(placement: PlacementRecord?): Array<LogField> =
        if (placement == null || placement.cost == RequestCost.UNKNOWN) {
            emptyArray()
        } else {
            arrayOf(
                LogField("expectedReadMillis", "${placement.cost.readMillis.roundToInt()}"),
                LogField("expectedTokens", "${placement.cost.answerTokens.roundToInt()}"),
                LogField("backlogReadMillis", "${placement.backlog.readMillis.roundToInt()}"),
                LogField("backlogTokens", "${placement.backlog.answerTokens.roundToInt()}"),
            )
        }

    private fun relayedFields(relayed: RelayedAnswer?): Array<LogField> =
        if (relayed == null) {
            emptyArray()
        } else {
            arrayOf(
                LogField("target", relayed.target),
                LogField("targetFraming", relayed.targetFraming.name),
                LogField("callerFraming", relayed.callerFraming.name),
                LogField("requestsBefore", "${relayed.requestsBefore}"),
                *placementFields(relayed.placement),
            )
        }

    private fun requestField(caller: CallerRequest) = LogField("request", caller.requestId.orEmpty())

    private fun elapsedField(arrivedNanos: Long) = LogField("millis", "${(System.nanoTime() - arrivedNanos) / NANOS_PER_MILLI}")
}

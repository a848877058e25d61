/*
 * One log line for each decision on a request, with the inputs that decided it and their age.
 */
package io.jaybeam.entry.direct

import io.jaybeam.platform.CallerRequest
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField

/** Writes what happens to requests. */
internal class RequestLog(
    private val events: EventLog,
) {
    /** A send to a target brought no answer. */
    fun sendFailed(call: DirectCall, send: SendRecord) = events.write(LogEvent.SEND_FAILED, *fieldsOf(call, send))

    /** A stream had to wait at the gate before its service. */
    fun held(call: DirectCall, outcome: GateOutcome) =
        events.write(LogEvent.STREAM_HELD, id(call.caller), LogField("route", call.route.name), LogField("outcome", "$outcome"))

    /** A stream goes on at another target after [lastEventId]. */
    fun resumed(call: DirectCall, send: SendRecord, lastEventId: Long) =
        events.write(LogEvent.STREAM_RESUMED, *fieldsOf(call, send), LogField("lastEventId", "$lastEventId"))

    /** The caller left, or its connection failed. */
    fun abandoned(caller: CallerRequest, detail: String, arrivedNanos: Long) =
        events.write(LogEvent.REQUEST_ABANDONED, id(caller), LogField("detail", detail), millis(arrivedNanos))

    /** The request has its final answer. */
    fun ended(
        caller: CallerRequest,
        end: CallEnd,
        view: FleetView,
        arrivedNanos: Long,
    ) {
        val version = LogField("configVersion", "${view.routes?.config?.version}")
        val age = LogField("configAgeMillis", "${(System.nanoTime() - view.routesReadAtNanos) / NANOS_PER_MILLI}")
        when (end) {
            is CallEnd.Answered -> {
                events.write(LogEvent.REQUEST_ANSWERED, id(caller), LogField("status", "${end.status}"), millis(arrivedNanos), version)
            }

            is CallEnd.Refused -> {
                val reason = LogField("reason", end.refusal.name)
                events.write(
                    LogEvent.REQUEST_REFUSED,
                    id(caller),
                    reason,
                    LogField("detail", end.detail),
                    millis(arrivedNanos),
                    version,
                    age,
                )
            }

            is CallEnd.BrokenOff -> {
                events.write(LogEvent.REQUEST_FAILED, id(caller), LogField("detail", end.detail), millis(arrivedNanos), version)
            }

            is CallEnd.CallerGone -> {
                abandoned(caller, "the caller closed its connection", arrivedNanos)
            }
        }
    }

    private fun fieldsOf(call: DirectCall, send: SendRecord) =
        arrayOf(
            id(call.caller),
            LogField("target", send.target),
            LogField("load", "${send.load}"),
            LogField("targetsAgeMillis", "${send.targetsAgeMillis}"),
            LogField("route", call.route.name),
            LogField("configVersion", "${call.configVersion}"),
            LogField("detail", send.detail),
        )

    private fun id(caller: CallerRequest) = LogField("request", caller.requestId.orEmpty())

    private fun millis(arrivedNanos: Long) = LogField("millis", "${(System.nanoTime() - arrivedNanos) / NANOS_PER_MILLI}")
}

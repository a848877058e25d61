/*
 * Arguments with which tests let a sender send a request to a target on loopback.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.Route
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.fleet.WeightedService
import io.jaybeam.entry.answer.AnswerFraming
import io.jaybeam.platform.CallerRequest
import io.jaybeam.platform.Header

private const val CALL_LIMIT_MILLIS = 5_000L

internal fun newTarget(port: Int) =
    FleetTarget(
        "t0",
        "plain",
        "127.0.0.1",
        port,
        "north",
        8,
        isDraining = false,
        remainingColdStartMillis = 0,
        startedAtEpochMillis = 0,
    )

internal fun newCall(bodyBytes: Int, limitMillis: Long = CALL_LIMIT_MILLIS, requestId: String? = "r1") =
    DirectCall(
        method = "POST",
        pathAndQuery = "/x",
        headers = emptyList(),
        connectionHeader = null,
        body = ByteArray(bodyBytes).takeIf { it.isNotEmpty() },
        caller = CallerRequest(requestId, null, null, null),
        route =
            Route("x", "x", "/", RouteKind.AT_MOST_ONCE, CALL_LIMIT_MILLIS, 100, 1, listOf(WeightedService("plain", 1)), 1, true, false, 0),
        service = "plain",
        organisation = null,
        urgency = Urgency(1),
        configVersion = 1,
        arrivedNanos = System.nanoTime(),
        deadlineNanos = System.nanoTime() + limitMillis * NANOS_PER_MILLI,
    )

/** A response to which nothing is written. */
internal object UnusedResponse : DirectResponse {
    override val isCallerGone = false
    override val isCommitted = false
    override val isRequestSent = false
    override val framing = AnswerFraming.CHUNKS

    override fun watch(onGone: () -> Unit) = Unit

    override fun onRequestSent() = Unit

    override fun sendHead(status: Int, headers: List<Header>) = error("not expected")

    override fun write(bytes: ByteArray, count: Int) = error("not expected")

    override fun complete() = error("not expected")

    override fun refuse(refusal: Refusal, retryAfterMillis: Long?) = error("not expected")
}

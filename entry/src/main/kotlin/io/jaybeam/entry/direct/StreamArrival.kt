/*
 * What the stream queue needs to know of a call to find its place among others.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.StreamAdmission
import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.admission.giveUpMillis
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.fleet.EngineModel

/**
 * A stream that arrives. Times are monotonic milliseconds.
 *
 * @property session the last part of its prompt that other requests have in common with it.
 * @property objectiveMillis latency objective, to the first event.
 * @property firstEventByMillis time at which its caller gives up if it has had no event.
 * @property deadlineMillis time limit of the whole call.
 * @property content identifies repetitions of the request.
 */
internal data class StreamArrival(
    val urgency: Urgency,
    val organisation: String?,
    val session: String?,
    val cost: RequestCost,
    val objectiveMillis: Long,
    val maxGapMillis: Long,
    val arrivedAtMillis: Long,
    val firstEventByMillis: Long,
    val deadlineMillis: Long,
    val content: String,
)

/**
 * What decides on the start of a stream.
 *
 * @property admission whether its group has room.
 * @property hold whether the targets of its group take requests at all.
 */
internal class StreamStart(
    val arrival: StreamArrival,
    val admission: StreamAdmission,
    val hold: GateHold,
)

/**
 * Returns the arrival of [call] at a service that [engine] describes.
 *
 * @param arrivedAtMillis time from which its caller waits for the next event.
 */
internal fun streamArrivalOf(call: DirectCall, engine: EngineModel, arrivedAtMillis: Long): StreamArrival {
    val deadlineMillis = call.deadlineNanos / NANOS_PER_MILLI
    val objectiveMillis = call.route.objectiveMillis
    return StreamArrival(
        urgency = call.urgency,
        organisation = call.organisation,
        session = call.caller.sharedPromptParts.lastOrNull(),
        cost = call.cost.takeIf { it.isKnown } ?: usualCostOf(engine),
        objectiveMillis = objectiveMillis,
        maxGapMillis = call.route.maxEventGapMillis,
        arrivedAtMillis = arrivedAtMillis,
        firstEventByMillis = minOf(deadlineMillis, arrivedAtMillis + giveUpMillis(objectiveMillis, call.route.maxEventGapMillis)),
        deadlineMillis = deadlineMillis,
        content = "${call.content}",
    )
}

/** Returns the cost of a stream of which nothing is known. */
private fun usualCostOf(engine: EngineModel) =
    RequestCost(readMillis = 0.0, answerTokens = engine.meanAnswerTokens.toDouble(), memoryTokens = engine.meanAnswerTokens.toDouble())

/*
 * How a call ended, and what the log records of it.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.TargetLoad
import io.jaybeam.entry.answer.AnswerFraming
import java.io.IOException

/** Outcome of a call. */
internal sealed class CallOutcome {
    /** The target's complete answer was relayed. */
    data class Answered(
        val status: Int,
    ) : CallOutcome()

    /** The entry answered the request itself. [retryAfterMillis] is null if the default of [refusal] applies. */
    data class Refused(
        val refusal: Refusal,
        val detail: String,
        val retryAfterMillis: Long? = null,
    ) : CallOutcome()

    /** The answer was interrupted after its head had been sent. */
    data class BrokenOff(
        val detail: String,
    ) : CallOutcome()

    /** The caller closed its connection. */
    data object CallerGone : CallOutcome()
}

/**
 * The answer of a target whose head was relayed, for the log.
 *
 * @property requestsBefore requests that were sent over the same connection before.
 * @property targetFraming how the target marks the end of the answer.
 * @property callerFraming how its end is marked for the caller.
 * @property placement what decided on the target; null if it is not known.
 */
internal data class RelayedAnswer(
    val target: String,
    val targetFraming: AnswerFraming,
    val callerFraming: AnswerFraming,
    val requestsBefore: Int,
    val placement: PlacementRecord? = null,
)

/** The outcome of a call, and the answer that was relayed, or null if the entry answered by itself. */
internal data class CallRecord(
    val outcome: CallOutcome,
    val relayed: RelayedAnswer? = null,
)

/** Details of sending a call to one target, for the log. [requestsBefore] is null if no connection was open. */
internal data class SendRecord(
    val target: String,
    val load: Int,
    val targetsAgeMillis: Long,
    val detail: String,
    val hasEvents: Boolean = false,
    val failedTargetId: String? = null,
    val requestsBefore: Int? = null,
    val placement: PlacementRecord? = null,
)

/** Returns the record of sending [call] to [target], whose [load] was known then, after [writtenEvents] were relayed. */
internal fun sendRecordOf(
    call: DirectCall,
    target: FleetTarget,
    load: TargetLoad,
    snapshot: FleetSnapshot,
    writtenEvents: Int,
) = SendRecord(
    target = target.id,
    load = load.requestsInFlight,
    targetsAgeMillis = (System.nanoTime() - snapshot.targetsReadAtNanos) / NANOS_PER_MILLI,
    detail = "",
    placement = PlacementRecord(call.costAfter(writtenEvents), load.backlog),
)

/** Returns this record with what is known after an attempt that ended with [outcome]. */
internal fun SendRecord.after(outcome: SendOutcome, detail: String, hasEvents: Boolean): SendRecord =
    copy(
        detail = detail,
        hasEvents = hasEvents,
        failedTargetId = (outcome as? SendOutcome.NotRun)?.failedTargetId,
        requestsBefore = outcome.requestsBefore,
    )

/** Returns the record of the answer of [target] in [outcome], which is passed on in [response]. */
internal fun relayedAnswerOf(
    target: FleetTarget,
    outcome: SendOutcome.Answered,
    response: DirectResponse,
    placement: PlacementRecord?,
) = RelayedAnswer(target.id, outcome.response.framing, response.framing, outcome.requestsBefore, placement)

/** Returns the outcome of an answer with [status] that [write] passes on; any failure of it means that the caller closed its connection. */
internal inline fun writeToCaller(status: Int, write: () -> Unit): CallOutcome =
    try {
        write()
        CallOutcome.Answered(status)
    } catch (e: IOException) {
        CallOutcome.CallerGone
    }

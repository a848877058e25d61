/*
 * Messages to the worker thread of the request scheduler.
 */
package io.jaybeam.side

import io.jaybeam.core.config.ConfigState
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

/** A message to the worker thread of [RequestScheduler]. */
internal sealed class SchedulerMessage {
    data class RequestReceived(
        val link: Link,
        val execute: Frame.Execute,
    ) : SchedulerMessage()

    data class CancelReceived(
        val cancel: Frame.Cancel,
    ) : SchedulerMessage()

    data class AckReceived(
        val ack: Frame.Ack,
    ) : SchedulerMessage()

    data class LinkClosed(
        val link: Link,
    ) : SchedulerMessage()

    /** The target has sent a chunk [stepMillis] after the previous one. */
    data class StepTaken(
        val stepMillis: Double,
    ) : SchedulerMessage()

    /** A call has ended. [isTargetDown] is true if it failed and the incarnation that ran [request] was not found afterwards. */
    data class CallFinished(
        val request: ServedRequest,
        val outcome: CallOutcome,
        val isTargetDown: Boolean,
    ) : SchedulerMessage()

    /** [incarnation] of the target has stated in an answer what work it takes. */
    data class WorkStated(
        val incarnation: String?,
        val statement: WorkStatement,
    ) : SchedulerMessage()

    /** A health check has finished; [health] is null if the target did not answer. */
    data class HealthChecked(
        val health: TargetHealth?,
    ) : SchedulerMessage()

    data class ConfigChanged(
        val state: ConfigState,
    ) : SchedulerMessage()

    data object StartDraining : SchedulerMessage()
}

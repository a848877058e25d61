/*
 * What the work thread is told by the other duties.
 */
package io.jaybeam.side

import io.jaybeam.core.config.ConfigState
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link

/** What the work thread is told. */
internal sealed class WorkMessage {
    data class Arrive(
        val link: Link,
        val execute: Frame.Execute,
    ) : WorkMessage()

    data class Cancel(
        val cancel: Frame.Cancel,
    ) : WorkMessage()

    data class Ack(
        val ack: Frame.Ack,
    ) : WorkMessage()

    data class LinkClosed(
        val link: Link,
    ) : WorkMessage()

    data class Step(
        val stepMillis: Double,
    ) : WorkMessage()

    data class Finished(
        val request: ServedRequest,
        val end: CallEnd,
        val targetDown: Boolean,
    ) : WorkMessage()

    data class Health(
        val health: TargetHealth?,
    ) : WorkMessage()

    data class Configured(
        val state: ConfigState,
    ) : WorkMessage()

    data object Leave : WorkMessage()
}

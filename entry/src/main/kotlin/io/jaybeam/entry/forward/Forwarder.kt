/*
 * The terminal handler of the filter chain. It forwards each call according to how often the request may run.
 */
package io.jaybeam.entry.forward

import io.jaybeam.entry.calls.Call
import io.jaybeam.entry.calls.CallResult
import io.jaybeam.entry.calls.CallerResponse
import io.jaybeam.entry.calls.Repeatability

/**
 * Forwards calls to targets. Its functions block.
 *
 * @property awaitAnyLink waits until a target of the call's service is linked, for a limited time.
 */
internal class Forwarder(
    private val idempotentForwarder: IdempotentForwarder,
    private val ticketForwarder: TicketForwarder,
    private val keyBindings: KeyBindingController,
    private val awaitAnyLink: (Call) -> Unit,
) {
    /** Runs [call] and writes its answer to [response]. */
    fun forward(call: Call, response: CallerResponse): CallResult {
        awaitAnyLink(call)
        return when (val repeatability = call.repeatability) {
            is Repeatability.Idempotent -> idempotentForwarder.forward(call, response)
            is Repeatability.AtMostOnce -> ticketForwarder.forwardOnce(call, response)
            is Repeatability.WithTicket -> ticketForwarder.forward(call, response, repeatability.ticket)
            is Repeatability.WithKey -> forwardWithKey(call, response, repeatability.key)
        }
    }

    private fun forwardWithKey(call: Call, response: CallerResponse, key: String): CallResult =
        when (val result = keyBindings.bind(call, key)) {
            is BindingResult.Bound -> ticketForwarder.forward(call, response, result.ticket)
            is BindingResult.Failed -> CallResult.Failed(result.problem)
        }
}

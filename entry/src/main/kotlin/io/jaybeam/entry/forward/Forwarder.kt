/*
 * The last link of the filter chain: forwards each call by how often it may run.
 */
package io.jaybeam.entry.forward

import io.jaybeam.entry.calls.Call
import io.jaybeam.entry.calls.CallResult
import io.jaybeam.entry.calls.CallerResponse
import io.jaybeam.entry.calls.Repeatability

/** Forwards calls to targets. Calls block. */
internal class Forwarder(
    private val repeatable: RepeatableForwarder,
    private val tickets: TicketForwarder,
    private val bindings: KeyBindingController,
    private val awaitAnyLink: (Call) -> Unit,
) {
    /** Runs [call] and writes its answer to [response]. */
    fun forward(call: Call, response: CallerResponse): CallResult {
        awaitAnyLink(call)
        return when (val repeatability = call.repeatability) {
            is Repeatability.Idempotent -> repeatable.forward(call, response)
            is Repeatability.Once -> tickets.forwardOnce(call, response)
            is Repeatability.UnderTicket -> tickets.forward(call, response, repeatability.ticket)
            is Repeatability.UnderKey -> underKey(call, response, repeatability.key)
        }
    }

    private fun underKey(call: Call, response: CallerResponse, key: String): CallResult =
        when (val result = bindings.bind(call, key)) {
            is BindingResult.Bound -> tickets.forward(call, response, result.ticket)
            is BindingResult.Failed -> CallResult.Refusal(result.problem)
        }
}

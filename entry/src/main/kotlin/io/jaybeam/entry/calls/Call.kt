/*
 * A caller's request inside an entry, and the interface through which its answer is written.
 */
package io.jaybeam.entry.calls

import io.jaybeam.core.config.Bundle
import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.routing.hash64
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.wire.HeaderField
import java.security.MessageDigest
import java.util.HexFormat

/** How often a request may run, and how repetitions of it are detected. */
internal sealed class Repeatability {
    /** The request may run any number of times. */
    data object Idempotent : Repeatability()

    /** The request may run at most once. It has neither ticket nor key, so repetitions of it cannot be detected. */
    data object AtMostOnce : Repeatability()

    /** The request may run at most once under [ticket], which the caller sent. */
    data class WithTicket(
        val ticket: Ticket,
    ) : Repeatability()

    /** The request may run at most once under the idempotency key [key], which the caller sent. */
    data class WithKey(
        val key: String,
    ) : Repeatability()
}

/**
 * A request as it passes through the filters.
 *
 * @property deadlineNanos the caller's deadline, in the time of [System.nanoTime].
 * @property prefixHash hash of the start of the prompt, or null for plain services.
 * @property bundle the bundle in force when the request was received.
 */
internal data class Call(
    val requestId: String,
    val organisation: String,
    val tier: PriceTier,
    val service: String,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val body: ByteArray,
    val repeatability: Repeatability,
    val deadlineNanos: Long,
    val prefixHash: Long?,
    val bundle: Bundle,
) {
    /** Hash of the request's content; equal for repetitions of the request. */
    val fingerprint: String by lazy { fingerprintOf(this) }

    /** Returns the time until the caller's deadline, in milliseconds; negative after it. */
    fun remainingMillis(): Long = (deadlineNanos - System.nanoTime()) / 1_000_000
}

/** Writes the answer to the caller's connection. */
internal interface CallerResponse {
    /** Sends the status and the headers. */
    fun sendHead(status: Int, headers: List<HeaderField>)

    /** Sends part of the body without delay; throws an IOException if the caller has closed its connection. */
    fun sendChunk(bytes: ByteArray)

    /** Tells the caller of an event stream why its answer is incomplete; [detail] gives the reason. */
    fun explainTruncation(detail: String)
}

/** Result of a call. */
internal sealed class CallResult {
    /** The complete answer was sent to the caller. */
    data class Relayed(
        val status: Int,
    ) : CallResult()

    /** The caller receives [problem] instead of an answer. */
    data class Failed(
        val problem: Problem,
    ) : CallResult()

    /** Part of the answer was sent, but the rest is missing because of [detail]. */
    data class Truncated(
        val detail: String,
    ) : CallResult()

    /** The caller closed its connection. */
    data object CallerDisconnected : CallResult()
}

private const val FINGERPRINT_BYTES = 16
private const val PREFIX_BYTES = 1_024

/** Returns a hash of the start of [body], used to send requests with a common prompt prefix to the same target. */
internal fun prefixHashOf(body: ByteArray): Long = hash64(body.copyOf(minOf(body.size, PREFIX_BYTES)).decodeToString())

private fun fingerprintOf(call: Call): String {
    val digest = MessageDigest.getInstance("SHA-256")
    listOf(call.organisation, call.service, call.method, call.path).forEach {
        digest.update(it.encodeToByteArray())
        digest.update(0)
    }
    digest.update(call.body)
    return HexFormat.of().formatHex(digest.digest().copyOf(FINGERPRINT_BYTES))
}

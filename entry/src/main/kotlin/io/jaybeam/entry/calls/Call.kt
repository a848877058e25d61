/*
 * One caller's request inside an entry, and where its answer goes.
 */
package io.jaybeam.entry.calls

import io.jaybeam.core.config.Bundle
import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.routing.hash64
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.wire.HeaderField
import java.security.MessageDigest
import java.util.HexFormat

/** How often a request may run, and how a resend is recognised. */
internal sealed class Repeatability {
    /** May run any number of times. */
    data object Idempotent : Repeatability()

    /** At most once; the caller sent neither ticket nor key, so each call is a request of its own. */
    data object Once : Repeatability()

    /** At most once under the caller's ticket. */
    data class UnderTicket(
        val ticket: Ticket,
    ) : Repeatability()

    /** At most once under the caller's idempotency key. */
    data class UnderKey(
        val key: String,
    ) : Repeatability()
}

/** A request as the filters see it. */
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
    /** Identifies the request's content, whoever sends it again. */
    val fingerprint: String by lazy { fingerprintOf(this) }

    /** Milliseconds until the caller's deadline. */
    fun remainingMillis(): Long = (deadlineNanos - System.nanoTime()) / 1_000_000
}

/** Where an answer is written. Implementations write to the caller's connection. */
internal interface CallerResponse {
    /** Sends status and headers. */
    fun head(status: Int, headers: List<HeaderField>)

    /** Sends a part of the body at once; throws an IOException if the caller is gone. */
    fun chunk(bytes: ByteArray)

    /** Ends the connection so that the caller sees that the answer is not whole. */
    fun abort(detail: String)
}

/** How a call ended. */
internal sealed class CallResult {
    /** The whole answer went to the caller. */
    data class Relayed(
        val status: Int,
    ) : CallResult()

    /** The caller gets a problem in place of an answer. */
    data class Refusal(
        val problem: Problem,
    ) : CallResult()

    /** The answer began and could not be finished. */
    data class CutOff(
        val detail: String,
    ) : CallResult()

    /** The caller closed its connection. */
    data object CallerGone : CallResult()
}

private const val FINGERPRINT_BYTES = 16
private const val PREFIX_BYTES = 1_024

/** Returns a hash of the start of [body], by which requests with a common prompt prefix find the same target. */
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

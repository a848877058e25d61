/*
 * The messages between entries and sides. Every frame is one CBOR value behind a 4-byte big-endian length.
 * `requestId` names a request, `attemptId` one try of it; frames of an abandoned attempt are dropped.
 */
package io.jaybeam.wire

import io.jaybeam.core.config.AcceptedChange
import io.jaybeam.core.ticket.LedgerProblem
import io.jaybeam.core.ticket.RefusalReason
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.core.ticket.Ticket
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Version of this protocol; peers of another version are refused. */
public const val PROTOCOL_VERSION: Int = 1

/** One HTTP header. */
@Serializable
public data class HeaderField(
    val name: String,
    val value: String,
)

/** A message between an entry and a side. */
@Serializable
public sealed class Frame {
    /** First frame of both ends. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        val protocolVersion: Int,
        val identity: TargetIncarnation,
        val dataCentre: String,
        val service: String?,
        val configVersion: Long,
    ) : Frame()

    /** Shows that the sender lives, and the configuration version it holds. */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(
        val configVersion: Long,
    ) : Frame()

    /** Asks the peer for what changed after [sinceVersion]. */
    @Serializable
    @SerialName("configRequest")
    public data class ConfigRequest(
        val sinceVersion: Long,
    ) : Frame()

    /** Answers [ConfigRequest]. */
    @Serializable
    @SerialName("configChanges")
    public data class ConfigChanges(
        val sinceVersion: Long,
        val version: Long,
        val changes: List<AcceptedChange>,
    ) : Frame()

    /** Asks the side to run a request, or to attach to it where it runs already, from chunk [fromChunk] on. */
    @Serializable
    @SerialName("execute")
    public data class Execute(
        val requestId: String,
        val attemptId: Long,
        val ticket: Ticket?,
        val organisation: String,
        val tier: String?,
        val method: String,
        val path: String,
        val headers: List<HeaderField>,
        @ByteString val body: ByteArray,
        val fingerprint: String,
        val suspect: Boolean,
        val deadlineMillis: Long,
        val fromChunk: Int,
        val attachOnly: Boolean,
    ) : Frame()

    /** The entry has passed on all chunks before [chunkCount]. */
    @Serializable
    @SerialName("ack")
    public data class Ack(
        val requestId: String,
        val attemptId: Long,
        val chunkCount: Int,
    ) : Frame()

    /** The entry gives the attempt up. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        val requestId: String,
        val attemptId: Long,
    ) : Frame()

    /** Status and headers of the target's answer. */
    @Serializable
    @SerialName("head")
    public data class Head(
        val requestId: String,
        val attemptId: Long,
        val status: Int,
        val headers: List<HeaderField>,
    ) : Frame()

    /** Part [index] of the answer's body. */
    @Serializable
    @SerialName("chunk")
    public data class Chunk(
        val requestId: String,
        val attemptId: Long,
        val index: Int,
        @ByteString val bytes: ByteArray,
    ) : Frame()

    /** The answer is whole and has [chunkCount] chunks. */
    @Serializable
    @SerialName("end")
    public data class End(
        val requestId: String,
        val attemptId: Long,
        val chunkCount: Int,
    ) : Frame()

    /** The request was not handed to the target. With a ticket, the refusal is recorded for good. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val requestId: String,
        val attemptId: Long,
        val reason: RefusalReason,
        val retryAfterMillis: Long,
    ) : Frame()

    /** The side cannot decide about the ticket and recorded nothing. */
    @Serializable
    @SerialName("undecided")
    public data class Undecided(
        val requestId: String,
        val attemptId: Long,
        val problem: LedgerProblem,
    ) : Frame()

    /** The request was handed to the target, and its answer was lost. */
    @Serializable
    @SerialName("broken")
    public data class Broken(
        val requestId: String,
        val attemptId: Long,
        val detail: String,
    ) : Frame()

    /** The target's load. */
    @Serializable
    @SerialName("load")
    public data class Load(
        val inFlight: Int,
        val queued: Int,
        val limit: Int,
        val leaving: Boolean,
    ) : Frame()

    /** Requests in flight at a crash of a target. */
    @Serializable
    @SerialName("crash")
    public data class Crash(
        val crashId: String,
        val fingerprints: List<String>,
    ) : Frame()
}

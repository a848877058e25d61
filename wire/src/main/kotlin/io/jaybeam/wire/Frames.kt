/*
 * The messages between entries and sides. Every frame is one CBOR value behind a 4-byte big-endian length. Names are
 * short and fields have number labels, since heartbeats of many links share a small budget of bytes.
 * `requestId` names a request, `attemptId` one try of it; frames of an abandoned attempt are dropped.
 */
package io.jaybeam.wire

import io.jaybeam.core.config.AcceptedChange
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankReading
import io.jaybeam.core.ticket.LedgerProblem
import io.jaybeam.core.ticket.RefusalReason
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.core.ticket.Ticket
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** Version of this protocol; peers of another version are refused. */
public const val PROTOCOL_VERSION: Int = 4

/** One HTTP header. */
@Serializable
public data class HeaderField(
    val name: String,
    val value: String,
)

/** A message between two processes of a fleet. */
@Serializable
public sealed class Frame {
    /** First frame of both ends. */
    @Serializable
    @SerialName("hi")
    public data class Hello(
        @CborLabel(1) val protocolVersion: Int,
        @CborLabel(2) val identity: TargetIncarnation,
        @CborLabel(3) val dataCentre: String,
        @CborLabel(4) val service: String?,
        @CborLabel(5) val configVersion: Long,
    ) : Frame()

    /** Shows that the sender lives, and the configuration version it holds. */
    @Serializable
    @SerialName("hb")
    public data class Heartbeat(
        @CborLabel(1) val configVersion: Long,
    ) : Frame()

    /** Asks the peer for what changed after [sinceVersion]. */
    @Serializable
    @SerialName("cq")
    public data class ConfigRequest(
        @CborLabel(1) val sinceVersion: Long,
    ) : Frame()

    /** Answers [ConfigRequest]. */
    @Serializable
    @SerialName("cc")
    public data class ConfigChanges(
        @CborLabel(1) val sinceVersion: Long,
        @CborLabel(2) val version: Long,
        @CborLabel(3) val changes: List<AcceptedChange>,
    ) : Frame()

    /** Asks the side to run a request, or to attach to it where it runs already, from chunk [fromChunk] on. */
    @Serializable
    @SerialName("ex")
    public data class Execute(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val ticket: Ticket?,
        @CborLabel(4) val organisation: String,
        @CborLabel(5) val tier: String?,
        @CborLabel(6) val method: String,
        @CborLabel(7) val path: String,
        @CborLabel(8) val headers: List<HeaderField>,
        @CborLabel(9) @ByteString val body: ByteArray,
        @CborLabel(10) val fingerprint: String,
        @CborLabel(11) val suspect: Boolean,
        @CborLabel(12) val deadlineMillis: Long,
        @CborLabel(13) val fromChunk: Int,
        @CborLabel(14) val attachOnly: Boolean,
    ) : Frame()

    /** The entry has passed on all chunks before [chunkCount]. */
    @Serializable
    @SerialName("ak")
    public data class Ack(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val chunkCount: Int,
    ) : Frame()

    /** The entry gives the attempt up. */
    @Serializable
    @SerialName("cn")
    public data class Cancel(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
    ) : Frame()

    /** Status and headers of the target's answer. */
    @Serializable
    @SerialName("hd")
    public data class Head(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val status: Int,
        @CborLabel(4) val headers: List<HeaderField>,
    ) : Frame()

    /** Part [index] of the answer's body. */
    @Serializable
    @SerialName("ch")
    public data class Chunk(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val index: Int,
        @CborLabel(4) @ByteString val bytes: ByteArray,
    ) : Frame()

    /** The answer is whole and has [chunkCount] chunks. */
    @Serializable
    @SerialName("en")
    public data class End(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val chunkCount: Int,
    ) : Frame()

    /** The request was not handed to the target. With a ticket, the refusal is recorded for good. */
    @Serializable
    @SerialName("rf")
    public data class Refused(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val reason: RefusalReason,
        @CborLabel(4) val retryAfterMillis: Long,
    ) : Frame()

    /** The side cannot decide about the ticket and recorded nothing. */
    @Serializable
    @SerialName("ud")
    public data class Undecided(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val problem: LedgerProblem,
    ) : Frame()

    /** The request was handed to the target, and its answer was lost. */
    @Serializable
    @SerialName("br")
    public data class Broken(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val detail: String,
    ) : Frame()

    /** The target's load; [stepMillis] is its usual time between tokens, 0 where it is not known. */
    @Serializable
    @SerialName("ld")
    public data class Load(
        @CborLabel(1) val inFlight: Int,
        @CborLabel(2) val queued: Int,
        @CborLabel(3) val limit: Int,
        @CborLabel(4) val stepMillis: Double,
        @CborLabel(5) val leaving: Boolean,
    ) : Frame()

    /** The target's present life is [incarnation]; sent when a link opens and when the target began another. */
    @Serializable
    @SerialName("tl")
    public data class TargetLife(
        @CborLabel(1) val incarnation: String,
    ) : Frame()

    /** Requests in flight at a crash of a target. */
    @Serializable
    @SerialName("cr")
    public data class Crash(
        @CborLabel(1) val crashId: String,
        @CborLabel(2) val fingerprints: List<String>,
    ) : Frame()

    /**
     * State of a rank and the demand that it saw since its last report.
     *
     * [demand] counts choices of each expert, all sets one after the other; empty where it was not read. [experts] are
     * those of the map in use, by set; null unless the map changed or the coordinator is new. [address] is the rank's
     * own, at which it can be reached without its side.
     */
    @Serializable
    @SerialName("rr")
    public data class RankReport(
        @CborLabel(1) val reading: RankReading,
        @CborLabel(2) val groupSize: Int,
        @CborLabel(3) val demand: List<Int>,
        @CborLabel(4) val experts: List<List<Int>>?,
        @CborLabel(5) val address: HostPort,
    ) : Frame()

    /** Asks the side to give [order] to its rank; [map] goes with an order that prepares it. */
    @Serializable
    @SerialName("ro")
    public data class RankOrder(
        @CborLabel(1) val order: FencedOrder,
        @CborLabel(2) val map: GroupMap?,
    ) : Frame()

    /** What became of an order, and the rank's state after it. */
    @Serializable
    @SerialName("ra")
    public data class RankReply(
        @CborLabel(1) val order: FencedOrder,
        @CborLabel(2) val outcome: OrderOutcome,
        @CborLabel(3) val reading: RankReading?,
    ) : Frame()

    /** First frame of both ends of a link between entries; [known] are addresses of other entries. */
    @Serializable
    @SerialName("ph")
    public data class PeerHello(
        @CborLabel(1) val protocolVersion: Int,
        @CborLabel(2) val instance: String,
        @CborLabel(3) val address: HostPort,
        @CborLabel(4) val known: List<HostPort>,
    ) : Frame()

    /** How far the sender knows the fleet; [targetsAgeMillis] is the time since the targets were last read. */
    @Serializable
    @SerialName("fn")
    public data class FleetNews(
        @CborLabel(1) val configVersion: Long,
        @CborLabel(2) val operatorPosition: Long,
        @CborLabel(3) val targetsPosition: Long,
        @CborLabel(4) val targetsAgeMillis: Long,
    ) : Frame()

    /** Asks for what the sender lacks beyond the version and positions that it states. */
    @Serializable
    @SerialName("fq")
    public data class FleetRequest(
        @CborLabel(1) val configVersion: Long,
        @CborLabel(2) val operatorPosition: Long,
        @CborLabel(3) val targetsPosition: Long,
    ) : Frame()

    /** Answers [FleetRequest]; [config] and [targets] are null where the asker has them. */
    @Serializable
    @SerialName("fs")
    public data class FleetState(
        @CborLabel(1) val config: FleetConfig?,
        @CborLabel(2) val dataCentresOut: List<String>,
        @CborLabel(3) val operatorPosition: Long,
        @CborLabel(4) val targets: List<FleetTarget>?,
        @CborLabel(5) val targetsPosition: Long,
    ) : Frame()
}

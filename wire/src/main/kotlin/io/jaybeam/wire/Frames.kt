/*
 * Messages between entry and side processes. Each frame is a 4-byte big-endian length followed by one CBOR value.
 * Serial names are short and fields have numeric labels because the heartbeats of many links share a small byte budget.
 * `requestId` identifies a request and `attemptId` one attempt to execute it; frames of an abandoned attempt are dropped.
 */
package io.jaybeam.wire

import io.jaybeam.core.config.AcceptedChange
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.placement.GroupMapChange
import io.jaybeam.core.quarantine.BlamedTrait
import io.jaybeam.core.quarantine.RequestTrait
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

/** Version of this protocol; connections from peers with another version are rejected. */
public const val PROTOCOL_VERSION: Int = 4

/** An HTTP header. */
@Serializable
public data class HeaderField(
    val name: String,
    val value: String,
)

/** A message between two processes of a fleet. */
@Serializable
public sealed class Frame {
    /** First frame in each direction of a link. */
    @Serializable
    @SerialName("hi")
    public data class Hello(
        @CborLabel(1) val protocolVersion: Int,
        @CborLabel(2) val identity: TargetIncarnation,
        @CborLabel(3) val dataCentre: String,
        @CborLabel(4) val service: String?,
        @CborLabel(5) val configVersion: Long,
    ) : Frame()

    /** Shows that the sender is alive, and states its configuration version. */
    @Serializable
    @SerialName("hb")
    public data class Heartbeat(
        @CborLabel(1) val configVersion: Long,
    ) : Frame()

    /** Requests the configuration changes after [sinceVersion]. */
    @Serializable
    @SerialName("cq")
    public data class ConfigRequest(
        @CborLabel(1) val sinceVersion: Long,
    ) : Frame()

    /** Response to [ConfigRequest]. */
    @Serializable
    @SerialName("cc")
    public data class ConfigChanges(
        @CborLabel(1) val sinceVersion: Long,
        @CborLabel(2) val version: Long,
        @CborLabel(3) val changes: List<AcceptedChange>,
    ) : Frame()

    /** Asks the side to run a request, or to attach to it if it is already running, and to send chunks from [fromChunk] on. */
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
        @CborLabel(11) @SerialName("suspect") val isSuspect: Boolean,
        @CborLabel(12) val deadlineMillis: Long,
        @CborLabel(13) val fromChunk: Int,
        @CborLabel(14) val attachOnly: Boolean,
    ) : Frame()

    /** The entry has sent all chunks before index [chunkCount] to the caller. */
    @Serializable
    @SerialName("ak")
    public data class Ack(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val chunkCount: Int,
    ) : Frame()

    /** The entry abandons the attempt. */
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

    /** Part of the answer's body, at position [index]. */
    @Serializable
    @SerialName("ch")
    public data class Chunk(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val index: Int,
        @CborLabel(4) @ByteString val bytes: ByteArray,
    ) : Frame()

    /** The answer is complete and has [chunkCount] chunks. */
    @Serializable
    @SerialName("en")
    public data class End(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val chunkCount: Int,
    ) : Frame()

    /** The request was not sent to the target. If it has a ticket, the refusal is recorded permanently. */
    @Serializable
    @SerialName("rf")
    public data class Refused(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val reason: RefusalReason,
        @CborLabel(4) val retryAfterMillis: Long,
    ) : Frame()

    /** The side can neither accept nor refuse the ticket because of [problem], and has recorded nothing. */
    @Serializable
    @SerialName("ud")
    public data class Undecided(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val problem: LedgerProblem,
    ) : Frame()

    /** The request was sent to the target, but its answer was lost. */
    @Serializable
    @SerialName("br")
    public data class Broken(
        @CborLabel(1) val requestId: String,
        @CborLabel(2) val attemptId: Long,
        @CborLabel(3) val detail: String,
    ) : Frame()

    /** Load of the target. [stepMillis] is its typical time between tokens, 0 if unknown. */
    @Serializable
    @SerialName("ld")
    public data class Load(
        @CborLabel(1) val inFlight: Int,
        @CborLabel(2) val queued: Int,
        @CborLabel(3) val limit: Int,
        @CborLabel(4) val stepMillis: Double,
        @CborLabel(5) @SerialName("leaving") val isDraining: Boolean,
    ) : Frame()

    /** Current [incarnation] of the target, sent when a link opens and when the target has restarted. */
    @Serializable
    @SerialName("tl")
    public data class TargetLife(
        @CborLabel(1) val incarnation: String,
    ) : Frame()

    /** Fingerprints of the requests that were in flight when a target crashed. */
    @Serializable
    @SerialName("cr")
    public data class Crash(
        @CborLabel(1) val crashId: String,
        @CborLabel(2) val fingerprints: List<String>,
    ) : Frame()

    /**
     * State of a rank, and the expert demand that it measured since its last report.
     *
     * [compactDemand] counts how often each expert was selected, with the expert sets concatenated; null if this report has
     * no counts. [demand] are the counts of sides of earlier releases, which do not send [compactDemand]; otherwise empty.
     * [experts] lists the experts of the current map by set; null unless the map has changed or the coordinator is new.
     * [address] is the address of the rank itself, at which it can be reached without its side.
     * [acceptsMapChanges] and [acceptsCompactMapChanges] are false for sides of earlier releases, which need a whole map, or a
     * [GroupMapChange], in each [RankOrder].
     * [load] is null for sides of earlier releases, which do not state it.
     */
    @Serializable
    @SerialName("rr")
    public data class RankReport(
        @CborLabel(1) val reading: RankReading,
        @CborLabel(2) val groupSize: Int,
        @CborLabel(3) val demand: List<Int>,
        @CborLabel(4) val experts: List<List<Int>>?,
        @CborLabel(5) val address: HostPort,
        @CborLabel(6) val compactDemand: CompactCounts? = null,
        @CborLabel(7) val acceptsMapChanges: Boolean = false,
        @CborLabel(8) val acceptsCompactMapChanges: Boolean = false,
        @CborLabel(9) val load: ReportedLoad? = null,
    ) : Frame()

    /**
     * Asks the side to forward [order] to its rank.
     *
     * An order to prepare a map is accompanied by [map], or by [mapChange] or [compactMapChange] from the map that was last sent
     * over the link.
     */
    @Serializable
    @SerialName("ro")
    public data class RankOrder(
        @CborLabel(1) val order: FencedOrder,
        @CborLabel(2) val map: GroupMap?,
        @CborLabel(3) val mapChange: GroupMapChange? = null,
        @CborLabel(4) val compactMapChange: CompactMapChange? = null,
    ) : Frame()

    /** Outcome of an order, and the rank's state after it. */
    @Serializable
    @SerialName("ra")
    public data class RankReply(
        @CborLabel(1) val order: FencedOrder,
        @CborLabel(2) val outcome: OrderOutcome,
        @CborLabel(3) val reading: RankReading?,
    ) : Frame()

    /**
     * First frame in each direction of a link to an entry. [peerAddresses] are addresses of other entries.
     * [acceptsQuarantineNews], [acceptsLeavingTargets] and [acceptsGroupNews] are false for entries of earlier releases, which do
     * not know [QuarantineNews], [LeavingTargets], or [GroupNews] and [LoadNews].
     * If [isSide], the sender coordinates a rank group and [address] is that of the entry it has connected to: an entry of an
     * earlier release takes it for another entry and would count and call one at the side's own address.
     */
    @Serializable
    @SerialName("ph")
    public data class PeerHello(
        @CborLabel(1) val protocolVersion: Int,
        @CborLabel(2) val instance: String,
        @CborLabel(3) val address: HostPort,
        @CborLabel(4) @SerialName("known") val peerAddresses: List<HostPort>,
        @CborLabel(5) val acceptsQuarantineNews: Boolean = false,
        @CborLabel(6) val acceptsLeavingTargets: Boolean = false,
        @CborLabel(7) val acceptsGroupNews: Boolean = false,
        @CborLabel(8) val isSide: Boolean = false,
    ) : Frame()

    /** State of a rank group, which was true [ageMillis] before this frame was sent. Entries pass it on. */
    @Serializable
    @SerialName("gn")
    public data class GroupNews(
        @CborLabel(1) val report: CompactGroupReport,
        @CborLabel(2) val ageMillis: Long,
    ) : Frame()

    /** Tells a side that the entry lives, and whether the loads of its group's ranks are of use or only the group's state. */
    @Serializable
    @SerialName("gd")
    public data class GroupNewsDemand(
        @CborLabel(1) val areLoadsUseful: Boolean,
    ) : Frame()

    /** Requests that the sender has started and that wait at it, for services with any. */
    @Serializable
    @SerialName("ln")
    public data class LoadNews(
        @CborLabel(1) val services: List<ReportedServiceLoad>,
    ) : Frame()

    /** Ids of targets that have stated to the sender that they leave. */
    @Serializable
    @SerialName("lt")
    public data class LeavingTargets(
        @CborLabel(1) val targetIds: List<String>,
    ) : Frame()

    /** Traits of requests that are [blamed] for crashes of targets, and traits that are [cleared] of blame by a target's output. */
    @Serializable
    @SerialName("qn")
    public data class QuarantineNews(
        @CborLabel(1) val blamed: List<BlamedTrait>,
        @CborLabel(2) val cleared: List<RequestTrait>,
    ) : Frame()

    /**
     * Version and positions of the fleet state that the sender has.
     *
     * [targetsAgeMillis] is the time since the targets were last read.
     */
    @Serializable
    @SerialName("fn")
    public data class FleetNews(
        @CborLabel(1) val configVersion: Long,
        @CborLabel(2) val operatorPosition: Long,
        @CborLabel(3) val targetsPosition: Long,
        @CborLabel(4) val targetsAgeMillis: Long,
    ) : Frame()

    /**
     * Requests the fleet state that is newer than the stated version and positions, or only the targets if [isTargetsOnly]. A
     * peer of an earlier release sends all of it.
     */
    @Serializable
    @SerialName("fq")
    public data class FleetRequest(
        @CborLabel(1) val configVersion: Long,
        @CborLabel(2) val operatorPosition: Long,
        @CborLabel(3) val targetsPosition: Long,
        @CborLabel(4) val isTargetsOnly: Boolean = false,
    ) : Frame()

    /** Response to [FleetRequest]. [config] and [targets] are null if the peer already has them. */
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

/*
 * Records of a target's decisions on tickets, used to detect duplicate requests. A decision, whether acceptance or
 * refusal, is kept until the ticket has expired by the clock of this process, so that no ticket is accepted twice.
 */
package io.jaybeam.core.ticket

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reason for which a target refused a request. */
@Serializable
public enum class RefusalReason {
    /** The target has reached its concurrency limit and its queue has no capacity. */
    OVER_LIMIT,

    /** The target or its side process is draining. */
    @SerialName("LEAVING")
    DRAINING,

    /** Operators took the data centre or instance out of service. */
    OUT_OF_SERVICE,

    /** The request waited in the queue longer than its price tier allows. */
    WAITED_TOO_LONG,

    /** The side process has no configuration yet. */
    NOT_READY,

    /** The target does not accept connections. */
    TARGET_DOWN,
}

/** Decision of the ledger on a request with a ticket. */
public sealed class LedgerDecision {
    /** The ticket is new. The request has to be accepted or refused. */
    public data object New : LedgerDecision()

    /** The request was accepted before. Its answer is stored under the ticket's id. */
    public data object Duplicate : LedgerDecision()

    /** The request was refused before. The refusal is permanent. */
    public data class Refused(
        val reason: RefusalReason,
    ) : LedgerDecision()

    /** The ledger cannot decide because of [problem]. It is unknown whether the request has run. */
    public data class Undecided(
        val problem: LedgerProblem,
    ) : LedgerDecision()
}

/** Reason for which the ledger cannot decide on a ticket. */
public enum class LedgerProblem {
    /** The ticket has expired. */
    EXPIRED,

    /** The ticket was issued in the future by more than the permitted clock skew. */
    FROM_THE_FUTURE,

    /** The ticket does not name this incarnation of the target. */
    OTHER_INCARNATION,

    /** The ledger has reached its capacity. */
    FULL,

    /** The ticket was used before for a different request. */
    OTHER_REQUEST,
}

private sealed class LedgerRecord {
    abstract val digest: String
    abstract val issuedAtMillis: Long

    data class Accepted(
        override val digest: String,
        override val issuedAtMillis: Long,
    ) : LedgerRecord()

    data class Refused(
        override val digest: String,
        override val issuedAtMillis: Long,
        val reason: RefusalReason,
    ) : LedgerRecord()
}

/**
 * Records the decision on each ticket until the ticket expires. Not thread-safe.
 *
 * @property self the incarnation that owns this ledger.
 * @property windowMillis age at which a ticket expires.
 * @property maxSkewMillis maximum time by which the clock of an entry may be ahead of this process.
 * @property capacity maximum number of recorded tickets.
 */
public class RequestLedger(
    private val self: TargetIncarnation,
    private val windowMillis: Long,
    private val maxSkewMillis: Long,
    private val capacity: Int,
) {
    private val records = LinkedHashMap<String, LedgerRecord>()
    private var latestMillis = Long.MIN_VALUE

    /** Number of recorded tickets. */
    public val size: Int get() = records.size

    /**
     * Returns the decision on [ticket] for a request with [digest], without recording it.
     *
     * @param nowMillis wall-clock time in milliseconds since the epoch.
     */
    public fun evaluate(ticket: Ticket, digest: String, nowMillis: Long): LedgerDecision {
        val now = advanceClock(nowMillis)
        val record = records[ticket.id]
        return when {
            self !in ticket.members -> LedgerDecision.Undecided(LedgerProblem.OTHER_INCARNATION)
            ticket.isExpiredAt(now) -> LedgerDecision.Undecided(LedgerProblem.EXPIRED)
            record != null -> recordedDecision(record, digest)
            ticket.issuedAtMillis > now + maxSkewMillis -> LedgerDecision.Undecided(LedgerProblem.FROM_THE_FUTURE)
            records.size >= capacity -> LedgerDecision.Undecided(LedgerProblem.FULL)
            else -> LedgerDecision.New
        }
    }

    /** Records that [ticket] was accepted. */
    public fun accept(ticket: Ticket, digest: String) {
        check(ticket.id !in records) { "ticket ${ticket.id} already has a recorded decision" }
        records[ticket.id] = LedgerRecord.Accepted(digest, ticket.issuedAtMillis)
    }

    /** Records that [ticket] was refused permanently. */
    public fun refuse(ticket: Ticket, digest: String, reason: RefusalReason) {
        check(ticket.id !in records) { "ticket ${ticket.id} already has a recorded decision" }
        records[ticket.id] = LedgerRecord.Refused(digest, ticket.issuedAtMillis, reason)
    }

    /** Changes an accepted [ticket] to a permanent refusal. The request must never have been sent to the target. */
    public fun refuseAccepted(ticket: Ticket, reason: RefusalReason) {
        val record = checkNotNull(records[ticket.id]) { "ticket ${ticket.id} has no recorded decision" }
        records[ticket.id] = LedgerRecord.Refused(record.digest, record.issuedAtMillis, reason)
    }

    /**
     * Removes expired tickets and returns their ids.
     *
     * Tickets are checked in order of arrival, up to the first that has not expired. A ticket that was issued earlier but
     * arrived later is therefore kept slightly longer than necessary.
     */
    public fun expire(nowMillis: Long): List<String> {
        val now = advanceClock(nowMillis)
        val expired = records.entries.takeWhile { now - it.value.issuedAtMillis > windowMillis }.map { it.key }
        expired.forEach(records::remove)
        return expired
    }

    private fun recordedDecision(record: LedgerRecord, digest: String): LedgerDecision =
        when {
            record.digest != digest -> LedgerDecision.Undecided(LedgerProblem.OTHER_REQUEST)
            record is LedgerRecord.Refused -> LedgerDecision.Refused(record.reason)
            else -> LedgerDecision.Duplicate
        }

    private fun Ticket.isExpiredAt(nowMillis: Long) = nowMillis - issuedAtMillis > windowMillis

    /** Returns a time that never decreases. Otherwise, a removed ticket could become valid again after the clock is set back. */
    private fun advanceClock(nowMillis: Long): Long {
        latestMillis = maxOf(latestMillis, nowMillis)
        return latestMillis
    }
}

/*
 * A target's memory of the tickets it has seen. Refusals and runs are both kept until the ticket can no
 * longer be accepted for the first time, judged on this process's own clock.
 */
package io.jaybeam.core.ticket

/** Why a target does not run a request. */
public enum class RefusalReason {
    /** The target has as much work as it bears. */
    OVER_LIMIT,

    /** The target or its side process is stopping. */
    LEAVING,

    /** Operators took the data centre or instance out of service. */
    OUT_OF_SERVICE,

    /** The request waited in the queue longer than its price tier allows. */
    WAITED_TOO_LONG,

    /** The process has no configuration yet. */
    NOT_READY,

    /** The target does not take connections. */
    TARGET_DOWN,
}

/** What the ledger says to a request that arrives with a ticket. */
public sealed class LedgerVerdict {
    /** First arrival: the caller of the ledger admits it or records a refusal. */
    public data object First : LedgerVerdict()

    /** It runs or ran here; its answer is kept under the ticket's id. */
    public data object AlreadyHere : LedgerVerdict()

    /** It was refused here and always will be. */
    public data class RefusedForGood(
        val reason: RefusalReason,
    ) : LedgerVerdict()

    /** Nothing is known and nothing may be concluded; [problem] says why. */
    public data class Undecided(
        val problem: LedgerProblem,
    ) : LedgerVerdict()
}

/** Why the ledger cannot decide. */
public enum class LedgerProblem {
    /** The ticket's window is over. */
    EXPIRED,

    /** The ticket was minted further in the future than clocks may differ. */
    FROM_THE_FUTURE,

    /** The ticket names an earlier life of this target, or another target. */
    OTHER_INCARNATION,

    /** The ledger holds as many live tickets as it can. */
    FULL,

    /** The ticket came before with a different request. */
    OTHER_REQUEST,
}

private sealed class LedgerEntry {
    abstract val digest: String
    abstract val mintedAtMillis: Long

    data class Accepted(
        override val digest: String,
        override val mintedAtMillis: Long,
    ) : LedgerEntry()

    data class Refused(
        override val digest: String,
        override val mintedAtMillis: Long,
        val reason: RefusalReason,
    ) : LedgerEntry()
}

/**
 * Remembers each ticket for its whole window. Not thread-safe: one thread owns it.
 *
 * @property self the incarnation whose ledger this is.
 * @property windowMillis age after which a ticket is neither accepted nor remembered.
 * @property maxSkewMillis how far ahead of this process an entry's clock may be.
 */
public class RequestLedger(
    private val self: TargetIncarnation,
    private val windowMillis: Long,
    private val maxSkewMillis: Long,
    private val capacity: Int,
) {
    private val entries = LinkedHashMap<String, LedgerEntry>()
    private var latestMillis = Long.MIN_VALUE

    /** Number of live tickets. */
    public val size: Int get() = entries.size

    /** Says what to do with [ticket] whose request has [digest], at wall-clock time [nowMillis]. */
    public fun offer(ticket: Ticket, digest: String, nowMillis: Long): LedgerVerdict {
        val now = advance(nowMillis)
        val entry = entries[ticket.id]
        return when {
            self !in ticket.members -> LedgerVerdict.Undecided(LedgerProblem.OTHER_INCARNATION)
            ticket.expiredAt(now) -> LedgerVerdict.Undecided(LedgerProblem.EXPIRED)
            entry != null -> known(entry, digest)
            ticket.mintedAtMillis > now + maxSkewMillis -> LedgerVerdict.Undecided(LedgerProblem.FROM_THE_FUTURE)
            entries.size >= capacity -> LedgerVerdict.Undecided(LedgerProblem.FULL)
            else -> LedgerVerdict.First
        }
    }

    /** Records that [ticket] runs here. */
    public fun accept(ticket: Ticket, digest: String) {
        check(ticket.id !in entries) { "ticket ${ticket.id} is already decided" }
        entries[ticket.id] = LedgerEntry.Accepted(digest, ticket.mintedAtMillis)
    }

    /** Records that [ticket] is refused here for good. */
    public fun refuse(ticket: Ticket, digest: String, reason: RefusalReason) {
        check(ticket.id !in entries) { "ticket ${ticket.id} is already decided" }
        entries[ticket.id] = LedgerEntry.Refused(digest, ticket.mintedAtMillis, reason)
    }

    /** Turns an accepted ticket that was never handed to the target into one refused for good. */
    public fun withdraw(ticket: Ticket, reason: RefusalReason) {
        val entry = checkNotNull(entries[ticket.id]) { "ticket ${ticket.id} is unknown" }
        entries[ticket.id] = LedgerEntry.Refused(entry.digest, entry.mintedAtMillis, reason)
    }

    /**
     * Forgets tickets whose window is over; returns their ids.
     *
     * Stops at the first ticket that is live, in order of arrival: one that was minted earlier but arrived later is
     * remembered a little longer than it has to be.
     */
    public fun expire(nowMillis: Long): List<String> {
        val now = advance(nowMillis)
        val expired = entries.entries.takeWhile { now - it.value.mintedAtMillis > windowMillis }.map { it.key }
        expired.forEach(entries::remove)
        return expired
    }

    private fun known(entry: LedgerEntry, digest: String): LedgerVerdict =
        when {
            entry.digest != digest -> LedgerVerdict.Undecided(LedgerProblem.OTHER_REQUEST)
            entry is LedgerEntry.Refused -> LedgerVerdict.RefusedForGood(entry.reason)
            else -> LedgerVerdict.AlreadyHere
        }

    private fun Ticket.expiredAt(now: Long) = now - mintedAtMillis > windowMillis

    /** Keeps time from running backwards, since a forgotten ticket must stay expired. */
    private fun advance(nowMillis: Long): Long {
        latestMillis = maxOf(latestMillis, nowMillis)
        return latestMillis
    }
}

/*
 * How an entry walks a ticket's members. Pure: the entry reports what each member said and asks what to do.
 */
package io.jaybeam.core.ticket

/** What a member said to an attempt, as far as the entry knows. */
public sealed class MemberReply {
    /** The member recorded a refusal that it will repeat for good. */
    public data class RefusedForGood(
        val reason: RefusalReason,
    ) : MemberReply()

    /** The member runs or ran the request. */
    public data object Running : MemberReply()

    /** The member could not decide, and recorded nothing. */
    public data class Undecided(
        val problem: LedgerProblem,
    ) : MemberReply()

    /** No reply; the member is gone, silent or was replaced. */
    public data object Silent : MemberReply()
}

/** What an entry does next. */
public sealed class WalkStep {
    /** Send the request to member [index]. */
    public data class Try(
        val index: Int,
        val member: TargetIncarnation,
    ) : WalkStep()

    /** Relay the answer of member [index]. */
    public data class Relay(
        val index: Int,
    ) : WalkStep()

    /** Every member refused for good: the request has not run and never will. */
    public data class NotRun(
        val reason: RefusalReason,
    ) : WalkStep()

    /** A member may have run it, or may run it yet. */
    public data class Unknown(
        val problem: LedgerProblem?,
    ) : WalkStep()
}

/** Returns what to do after the [replies] of the ticket's members, in order from the first. */
public fun Ticket.nextStep(replies: List<MemberReply>): WalkStep {
    require(replies.size <= members.size) { "ticket $id has ${members.size} members, but ${replies.size} replies" }
    replies.forEachIndexed { index, reply ->
        when (reply) {
            is MemberReply.RefusedForGood -> Unit
            is MemberReply.Running -> return WalkStep.Relay(index)
            is MemberReply.Undecided -> return WalkStep.Unknown(reply.problem)
            is MemberReply.Silent -> return WalkStep.Unknown(null)
        }
    }
    val next = replies.size
    if (next < members.size) return WalkStep.Try(next, members[next])
    return WalkStep.NotRun((replies.last() as MemberReply.RefusedForGood).reason)
}

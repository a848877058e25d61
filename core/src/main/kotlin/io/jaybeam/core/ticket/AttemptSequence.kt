/*
 * The sequence in which an entry attempts a request at the members of its ticket. The next step is computed from the
 * replies received so far, without side effects.
 */
package io.jaybeam.core.ticket

/** Reply of a member to an attempt. */
public sealed class MemberReply {
    /** The member recorded a permanent refusal. */
    public data class Refused(
        val reason: RefusalReason,
    ) : MemberReply()

    /** The member accepted the request and runs it or has run it. */
    public data object Accepted : MemberReply()

    /** The member could not decide because of [problem], and recorded nothing. */
    public data class Undecided(
        val problem: LedgerProblem,
    ) : MemberReply()

    /** No reply was received: the member is unreachable, unresponsive or was replaced. */
    public data object NoReply : MemberReply()
}

/** Next step of an entry. */
public sealed class AttemptStep {
    /** Send the request to member [index]. */
    public data class Send(
        val index: Int,
        val member: TargetIncarnation,
    ) : AttemptStep()

    /** Relay the answer of member [index]. */
    public data class Relay(
        val index: Int,
    ) : AttemptStep()

    /** All members refused permanently, so the request has not run and never will. [reason] is that of the last member. */
    public data class NotRun(
        val reason: RefusalReason,
    ) : AttemptStep()

    /** A member may have run the request, or may still run it. [problem] is null if a member did not reply. */
    public data class OutcomeUnknown(
        val problem: LedgerProblem?,
    ) : AttemptStep()
}

/** Returns the next step after [replies], which are those of the first members in order. */
public fun Ticket.nextStep(replies: List<MemberReply>): AttemptStep {
    require(replies.size <= members.size) { "ticket $id has ${members.size} members, but ${replies.size} replies" }
    replies.forEachIndexed { index, reply ->
        when (reply) {
            is MemberReply.Refused -> Unit
            is MemberReply.Accepted -> return AttemptStep.Relay(index)
            is MemberReply.Undecided -> return AttemptStep.OutcomeUnknown(reply.problem)
            is MemberReply.NoReply -> return AttemptStep.OutcomeUnknown(null)
        }
    }
    val next = replies.size
    if (next < members.size) return AttemptStep.Send(next, members[next])
    return AttemptStep.NotRun((replies.last() as MemberReply.Refused).reason)
}

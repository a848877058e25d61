/*
 * What a process needs of the platform's store, in the project's own terms.
 */
package io.jaybeam.core.fleet

import arrow.core.Either

/** Why a call to the store brought nothing. */
public sealed class StoreFault {
    public abstract val detail: String

    /** No answer, or one that is not the store's. */
    public data class Unreachable(
        override val detail: String,
    ) : StoreFault()

    /** The store refused the call and did nothing. */
    public data class Refused(
        override val detail: String,
    ) : StoreFault()

    /** Records after the position are gone: read the newest ones instead. */
    public data class Expired(
        override val detail: String,
    ) : StoreFault()
}

/**
 * What was read of a log.
 *
 * @property position where to go on reading.
 * @property unusable records that could not be decoded, each with the reason.
 */
public data class LogPage<out T>(
    val notices: List<T>,
    val position: Long,
    val unusable: List<String>,
)

/** A change that the operator made. */
public sealed class OperatorNotice {
    /** A new version of the configuration. */
    public data class Published(
        val config: FleetConfig,
    ) : OperatorNotice()

    /** A data centre was taken out of service, or back into it. */
    public data class DataCentreOut(
        val dataCentre: String,
        val isOut: Boolean,
    ) : OperatorNotice()
}

/**
 * Term of the one process that coordinates something.
 *
 * @property isMine whether this process is the coordinator.
 * @property generation rises with each change of the membership; a fencing token.
 */
public data class CoordinatorTerm(
    val isMine: Boolean,
    val generation: Long,
)

/** The platform's store. Calls block; thread-safe. */
public interface FleetStore {
    /** Reads the newest notice of each target. */
    public fun newestTargets(): Either<StoreFault, LogPage<TargetNotice>>

    /** Reads the notices of targets from [position] on, without waiting. */
    public fun targetsFrom(position: Long): Either<StoreFault, LogPage<TargetNotice>>

    /** Reads all that the operator has in force. */
    public fun newestOperator(): Either<StoreFault, LogPage<OperatorNotice>>

    /** Reads the operator's changes from [position] on; waits up to [waitMillis] for one. */
    public fun operatorFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorNotice>>

    /** Makes [address] a candidate for the coordinator of [group], or keeps it one for [lifetimeMillis]. */
    public fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm>

    /** Returns the coordinator of [group], or null where there is none. */
    public fun coordinator(group: String): Either<StoreFault, HostPort?>
}

/*
 * Operations of the platform's store that processes use, independent of its protocol.
 */
package io.jaybeam.core.fleet

import arrow.core.Either

/** Reason for which a call to the store failed. */
public sealed class StoreFault {
    public abstract val detail: String

    /** The store did not answer, or its answer could not be decoded. */
    public data class Unreachable(
        override val detail: String,
    ) : StoreFault()

    /** The store refused the call and did nothing. */
    public data class Refused(
        override val detail: String,
    ) : StoreFault()

    /** Records after the position have been deleted, or the store came back from an older copy; read the latest records instead. */
    public data class Expired(
        override val detail: String,
    ) : StoreFault()
}

/**
 * Updates read from a log.
 *
 * @property position position from which to continue reading. Positions rise, also when the store comes back from an older copy.
 * @property decodeErrors one error text for each record that could not be decoded.
 * @property decodeMillis time that decoding the records took.
 */
public data class LogPage<out T>(
    val updates: List<T>,
    val position: Long,
    val decodeErrors: List<String>,
    val decodeMillis: Long = 0,
)

/** A change made by the operator. */
public sealed class OperatorUpdate {
    /** A new version of the configuration was published. */
    public data class Published(
        val config: FleetConfig,
    ) : OperatorUpdate()

    /** A data centre was taken out of service or put back into service. */
    public data class DataCentreChanged(
        val dataCentre: String,
        val isOutOfService: Boolean,
    ) : OperatorUpdate()
}

/**
 * Time for which the store names one process coordinator of a group.
 *
 * @property isCoordinator whether this process is the coordinator.
 * @property generation increases with each change of the group's membership, also over returns of the store. A process that restarts
 *   before its registration expires is named coordinator in the same generation as before.
 */
public data class CoordinatorTerm(
    val isCoordinator: Boolean,
    val generation: Long,
)

/** The platform's store. Calls block the thread. Thread-safe. */
public interface FleetStore {
    /** Reads the latest update of each target. */
    public fun readLatestTargets(): Either<StoreFault, LogPage<TargetUpdate>>

    /** Reads the updates of targets from [position] on, without waiting. */
    public fun readTargetsFrom(position: Long): Either<StoreFault, LogPage<TargetUpdate>>

    /** Reads all of the operator's changes that are in force. */
    public fun readLatestOperatorUpdates(): Either<StoreFault, LogPage<OperatorUpdate>>

    /** Reads the operator's changes from [position] on; waits up to [waitMillis] if there is none. */
    public fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>>

    /** Registers [address] as a candidate for the coordinator of [group], or renews its registration, for [lifetimeMillis]. */
    public fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm>

    /**
     * Returns the number of the next term in [generation] of [group], at least 1 and higher than all that any process has received for
     * it.
     *
     * Numbers may be skipped, for example one whose answer was lost. The call is refused if the store has come back from an older copy
     * since this process was granted the generation.
     */
    public fun nextTermNumber(group: String, generation: Long): Either<StoreFault, Long>

    /** Returns the coordinator of [group], or null if there is none. */
    public fun coordinator(group: String): Either<StoreFault, HostPort?>
}

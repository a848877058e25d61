/*
 * The configuration in force, computed by replaying the log. Replay is deterministic: processes that have read the
 * same prefix of the log hold equal states. Versions of items never decrease, since records older than the state are
 * ignored.
 */
package io.jaybeam.core.config

/** Outcome of applying a record to a [ConfigState]. */
public sealed class ApplyOutcome {
    /** The change was accepted and is now in force. */
    public data class Accepted(
        val change: ConfigChange,
    ) : ApplyOutcome()

    /**
     * The change was rejected because its base version is not the version of its item.
     *
     * @property current the change in force for the item, or null if there is none.
     */
    public data class Conflict(
        val change: ConfigChange,
        val current: AcceptedChange?,
    ) : ApplyOutcome()

    /** The record is malformed, its signature is not trusted, or its bundle is invalid. */
    public data class Invalid(
        val reason: String,
    ) : ApplyOutcome()

    /** The record is already covered by the state and was ignored. */
    public data object Stale : ApplyOutcome()

    /** Records from [firstMissingOffset] up to this one have to be applied first. The state is unchanged. */
    public data class Gap(
        val firstMissingOffset: Long,
    ) : ApplyOutcome()

    /** The record is a snapshot. It changes no item. */
    public data object SnapshotIgnored : ApplyOutcome()
}

/** The state after a record was applied, and the outcome of applying it. */
public data class ApplyResult(
    val state: ConfigState,
    val outcome: ApplyOutcome,
)

/**
 * Changes that bring a process from [sinceVersion] to [version].
 *
 * Processes send deltas to each other. The receiver verifies all signatures again.
 */
public data class ConfigDelta(
    val sinceVersion: Long,
    val version: Long,
    val changes: List<AcceptedChange>,
)

/**
 * Configuration as of a log offset.
 *
 * @property version offset of the last record that was applied.
 * @property accepted the change in force for each item.
 */
public data class ConfigState(
    val version: Long = NO_VERSION,
    val accepted: Map<ConfigItem, AcceptedChange> = emptyMap(),
    private val effective: EffectiveConfig = EffectiveConfig(),
) {
    /** Returns the version of [item], or [NO_VERSION] if no change of it was accepted. */
    public fun versionOf(item: ConfigItem): Long = accepted[item]?.version ?: NO_VERSION

    /** Returns the configuration that results from the accepted changes. */
    public fun effective(): EffectiveConfig = effective

    /** Applies the [record] at [offset] to this state. A null [record] is one that could not be decoded. */
    public fun applyRecord(offset: Long, record: ConfigRecord?, verifier: ChangeVerifier): ApplyResult {
        if (offset <= version) return ApplyResult(this, ApplyOutcome.Stale)
        if (offset > version + 1) return ApplyResult(this, ApplyOutcome.Gap(version + 1))
        val next = copy(version = offset)
        return when (record) {
            null -> ApplyResult(next, ApplyOutcome.Invalid("record at offset $offset cannot be decoded as a configuration record"))
            is ConfigRecord.Snapshot -> ApplyResult(next, ApplyOutcome.SnapshotIgnored)
            is ConfigRecord.Change -> next.applyChange(offset, record.signed, verifier)
        }
    }

    /** Returns the changes accepted after [sinceVersion]. */
    public fun deltaSince(sinceVersion: Long): ConfigDelta =
        ConfigDelta(sinceVersion, version, accepted.values.filter { it.version > sinceVersion }.sortedBy { it.version })

    /**
     * Merges a [delta] received from another process.
     *
     * Returns this state unchanged if the delta starts after this state's version, does not reach beyond it, or contains
     * a change without a trusted signature.
     */
    public fun merge(delta: ConfigDelta, verifier: ChangeVerifier): ConfigState {
        if (delta.version <= version || delta.sinceVersion > version) return this
        val newer = delta.changes.filter { it.version in (version + 1)..delta.version }
        val verified = newer.map { it to (verifier.verifyOrNull(it.signed) ?: return this) }
        return verified.fold(copy(version = delta.version)) { state, (accepted, change) -> state.put(accepted, change) }
    }

    /** Returns a snapshot record with all changes in force. */
    public fun snapshot(): ConfigRecord.Snapshot = ConfigRecord.Snapshot(version, accepted.values.sortedBy { it.version })

    private fun applyChange(offset: Long, signed: SignedChange, verifier: ChangeVerifier): ApplyResult {
        val change =
            verifier.verifyOrNull(signed) ?: return ApplyResult(this, ApplyOutcome.Invalid("signature does not match a trusted key"))
        if (change.baseVersion != versionOf(change.item)) return ApplyResult(this, ApplyOutcome.Conflict(change, accepted[change.item]))
        if (change is ConfigChange.PutBundle && parseBundle(change.bundleText).isLeft()) {
            return ApplyResult(this, ApplyOutcome.Invalid("bundle is invalid"))
        }
        return ApplyResult(put(AcceptedChange(offset, signed), change), ApplyOutcome.Accepted(change))
    }

    private fun put(accepted: AcceptedChange, change: ConfigChange): ConfigState =
        copy(
            accepted = this.accepted + (change.item to accepted),
            effective = effective.withChange(change),
        )

    /** Creates states from the records of the log. */
    public companion object {
        /**
         * Creates a state from the [records] that the log retains, which start at [firstOffset].
         *
         * Returns null if earlier records have expired and no snapshot covers them.
         */
        public fun bootstrap(firstOffset: Long, records: List<ConfigRecord?>, verifier: ChangeVerifier): ConfigState? {
            val empty = ConfigState()
            val start =
                if (firstOffset == 0L) {
                    empty
                } else {
                    val snapshot = records.latestSnapshotCovering(firstOffset) ?: return null
                    empty.merge(ConfigDelta(NO_VERSION, snapshot.asOf, snapshot.changes), verifier)
                }
            return records.foldIndexed(start) { index, state, record -> state.applyRecord(firstOffset + index, record, verifier).state }
        }

        private fun List<ConfigRecord?>.latestSnapshotCovering(firstOffset: Long): ConfigRecord.Snapshot? =
            filterIsInstance<ConfigRecord.Snapshot>().filter { it.asOf >= firstOffset - 1 }.maxByOrNull { it.asOf }
    }
}

/**
 * The configuration that results from all changes in force.
 *
 * @property bundle the bundle in force, or null before the first.
 * @property dataCentresOut data centres that operators took out of service.
 * @property instancesOut instances that operators took out of service.
 */
public data class EffectiveConfig(
    val bundle: Bundle? = null,
    val dataCentresOut: Set<String> = emptySet(),
    val instancesOut: Set<String> = emptySet(),
) {
    /** Returns whether a target on [instance] in [dataCentre] may receive new work. */
    public fun isInService(dataCentre: String, instance: String): Boolean =
        dataCentre !in dataCentresOut && instance !in instancesOut && (bundle == null || dataCentre in bundle.dataCentres)

    internal fun withChange(change: ConfigChange): EffectiveConfig =
        when (change) {
            is ConfigChange.PutBundle -> copy(bundle = parseBundle(change.bundleText).getOrNull() ?: bundle)
            is ConfigChange.SetDataCentre -> copy(dataCentresOut = dataCentresOut.withMembership(change.name, !change.inService))
            is ConfigChange.SetInstance -> copy(instancesOut = instancesOut.withMembership(change.name, !change.inService))
        }
}

private fun Set<String>.withMembership(name: String, isMember: Boolean): Set<String> = if (isMember) this + name else this - name

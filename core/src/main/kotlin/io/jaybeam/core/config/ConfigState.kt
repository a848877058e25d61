/*
 * The configuration in force as a deterministic fold over the log, so that all readers of the same
 * prefix agree. An item's version only ever grows: an old record delivered late changes nothing.
 */
package io.jaybeam.core.config

/** What the fold made of one record. */
public sealed class FoldVerdict {
    /** The change is in force. */
    public data class Accepted(
        val change: ConfigChange,
    ) : FoldVerdict()

    /** Another change of the same item came first; [winner] is in force. */
    public data class Lost(
        val change: ConfigChange,
        val winner: AcceptedChange?,
    ) : FoldVerdict()

    /** The record is unsigned, malformed or holds an invalid bundle. */
    public data class Invalid(
        val reason: String,
    ) : FoldVerdict()

    /** The record is older than the state. */
    public data object Stale : FoldVerdict()

    /** Records between the state and this one are missing; fetch them first. */
    public data class Gap(
        val firstMissing: Long,
    ) : FoldVerdict()

    /** The record is a snapshot and changes nothing. */
    public data object SnapshotSeen : FoldVerdict()
}

/** A new state and what made it. */
public data class FoldResult(
    val state: ConfigState,
    val verdict: FoldVerdict,
)

/**
 * Changes that a process at [sinceVersion] lacks to reach [version].
 *
 * Sent between processes; signatures are verified again by the receiver.
 */
public data class ConfigDelta(
    val sinceVersion: Long,
    val version: Long,
    val changes: List<AcceptedChange>,
)

/**
 * Configuration as of log offset [version].
 *
 * @property accepted the change in force for each item.
 */
public data class ConfigState(
    val version: Long = NO_VERSION,
    val accepted: Map<ConfigItem, AcceptedChange> = emptyMap(),
    private val effective: EffectiveConfig = EffectiveConfig(),
) {
    /** Returns the version of [item]. */
    public fun versionOf(item: ConfigItem): Long = accepted[item]?.version ?: NO_VERSION

    /** Returns what the accepted changes add up to. */
    public fun effective(): EffectiveConfig = effective

    /** Folds the [record] at [offset] into this state. A null [record] could not be decoded. */
    public fun fold(offset: Long, record: ConfigRecord?, verifier: ChangeVerifier): FoldResult {
        if (offset <= version) return FoldResult(this, FoldVerdict.Stale)
        if (offset > version + 1) return FoldResult(this, FoldVerdict.Gap(version + 1))
        val next = copy(version = offset)
        return when (record) {
            null -> FoldResult(next, FoldVerdict.Invalid("record at offset $offset is not a configuration record"))
            is ConfigRecord.Snapshot -> FoldResult(next, FoldVerdict.SnapshotSeen)
            is ConfigRecord.Change -> next.foldChange(offset, record.signed, verifier)
        }
    }

    /** Returns the changes that a process at [sinceVersion] lacks. */
    public fun deltaSince(sinceVersion: Long): ConfigDelta =
        ConfigDelta(sinceVersion, version, accepted.values.filter { it.version > sinceVersion }.sortedBy { it.version })

    /** Merges a [delta] from another process; a delta that starts after this state or ends before it changes nothing. */
    public fun merge(delta: ConfigDelta, verifier: ChangeVerifier): ConfigState {
        if (delta.version <= version || delta.sinceVersion > version) return this
        val newer = delta.changes.filter { it.version in (version + 1)..delta.version }
        val verified = newer.map { it to (verifier.verifyOrNull(it.signed) ?: return this) }
        return verified.fold(copy(version = delta.version)) { state, (accepted, change) -> state.put(accepted, change) }
    }

    /** Returns a snapshot record of this state. */
    public fun snapshot(): ConfigRecord.Snapshot = ConfigRecord.Snapshot(version, accepted.values.sortedBy { it.version })

    private fun foldChange(offset: Long, signed: SignedChange, verifier: ChangeVerifier): FoldResult {
        val change = verifier.verifyOrNull(signed) ?: return FoldResult(this, FoldVerdict.Invalid("signature is not by a trusted key"))
        if (change.baseVersion != versionOf(change.item)) return FoldResult(this, FoldVerdict.Lost(change, accepted[change.item]))
        if (change is ConfigChange.PutBundle && parseBundle(change.bundleText).isLeft()) {
            return FoldResult(this, FoldVerdict.Invalid("bundle is invalid"))
        }
        return FoldResult(put(AcceptedChange(offset, signed), change), FoldVerdict.Accepted(change))
    }

    private fun put(accepted: AcceptedChange, change: ConfigChange): ConfigState =
        copy(
            accepted = this.accepted + (change.item to accepted),
            effective = effective.with(change),
        )

    /** Reads states out of the log's records. */
    public companion object {
        /**
         * Builds a state from the retained [records], which start at [firstOffset].
         *
         * Returns null where records have expired and no snapshot covers them.
         */
        public fun bootstrap(firstOffset: Long, records: List<ConfigRecord?>, verifier: ChangeVerifier): ConfigState? {
            val empty = ConfigState()
            val start =
                if (firstOffset == 0L) {
                    empty
                } else {
                    val snapshot = records.lastCovering(firstOffset) ?: return null
                    empty.merge(ConfigDelta(NO_VERSION, snapshot.asOf, snapshot.changes), verifier)
                }
            return records.foldIndexed(start) { index, state, record -> state.fold(firstOffset + index, record, verifier).state }
        }

        private fun List<ConfigRecord?>.lastCovering(firstOffset: Long): ConfigRecord.Snapshot? =
            filterIsInstance<ConfigRecord.Snapshot>().filter { it.asOf >= firstOffset - 1 }.maxByOrNull { it.asOf }
    }
}

/** The configuration in force, as the rest of a process reads it. */
public data class EffectiveConfig(
    val bundle: Bundle? = null,
    val dataCentresOut: Set<String> = emptySet(),
    val instancesOut: Set<String> = emptySet(),
) {
    /** Returns whether a target at [dataCentre] on [instance] may be given new work. */
    public fun inService(dataCentre: String, instance: String): Boolean =
        dataCentre !in dataCentresOut && instance !in instancesOut && (bundle == null || dataCentre in bundle.dataCentres)

    internal fun with(change: ConfigChange): EffectiveConfig =
        when (change) {
            is ConfigChange.PutBundle -> copy(bundle = parseBundle(change.bundleText).getOrNull() ?: bundle)
            is ConfigChange.SetDataCentre -> copy(dataCentresOut = dataCentresOut.toggle(change.name, !change.inService))
            is ConfigChange.SetInstance -> copy(instancesOut = instancesOut.toggle(change.name, !change.inService))
        }
}

private fun Set<String>.toggle(name: String, present: Boolean): Set<String> = if (present) this + name else this - name

/*
 * Appends a signed change to the log and reads the log back to determine whether the change was accepted.
 */
package io.jaybeam.entry.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.config.ApplyOutcome
import io.jaybeam.core.config.ChangeVerifier
import io.jaybeam.core.config.ConfigChange
import io.jaybeam.core.config.ConfigDelta
import io.jaybeam.core.config.ConfigItem
import io.jaybeam.core.config.ConfigRecord
import io.jaybeam.core.config.ConfigState
import io.jaybeam.core.config.SignedChange
import io.jaybeam.core.config.recordJson
import io.jaybeam.runtime.config.CONFIG_STREAM
import io.jaybeam.runtime.config.decodeConfigRecordOrNull
import io.jaybeam.runtime.log.LogClient
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Result of publishing a change. */
internal sealed class PublishResult {
    /** The change is in force; [version] is its log offset. */
    data class Accepted(
        val version: Long,
    ) : PublishResult()

    /** The change was rejected because [current], accepted at [currentVersion], came first. [current] is null if it is not verified. */
    data class Conflict(
        val current: ConfigChange?,
        val currentVersion: Long?,
    ) : PublishResult()

    /** The change is invalid for [reason], and all processes ignore it. */
    data class Invalid(
        val reason: String,
    ) : PublishResult()

    /** It could not be determined whether the log contains the change. [detail] describes the last failure. */
    data class Unknown(
        val detail: String,
    ) : PublishResult()
}

private const val READ_BACK_TIMEOUT_MILLIS = 10_000L
private const val RETRY_DELAY_MILLIS = 200L
private const val UNMATCHED_KEYS =
    "its signature does not match the public key of the operator settings; paste both keys from one output of `jaybeam keys`"

/** Publishes changes and reads the configuration. Its functions block. */
internal class ConfigPublisher(
    private val log: LogClient,
    private val verifier: ChangeVerifier,
) {
    /** Reads the log and returns the configuration in force, or the reason why it cannot be read. */
    fun read(): Either<String, ConfigState> =
        log.read(CONFIG_STREAM, 0, 0).fold(
            { it.message.left() },
            { page ->
                val records = page.records.map(::decodeConfigRecordOrNull)
                val state = ConfigState.bootstrap(page.startOffset, records, verifier)
                state?.right()
                    ?: "the log no longer contains a complete configuration; read it from a running process with `jaybeam dump`".left()
            },
        )

    /** Returns the version of [item] on which a new change has to be based, or the reason why the log cannot be read. */
    fun baseVersion(item: ConfigItem): Either<String, Long> = read().map { it.versionOf(item) }

    /** Appends [signed], which contains [change], and reads the log back for up to [READ_BACK_TIMEOUT_MILLIS] until the result is known. */
    fun publish(signed: SignedChange, change: ConfigChange): PublishResult {
        // Processes may trust another public key than the operator's settings state, so the outcome could not be read back.
        if (verifier.verifyOrNull(signed) == null) return PublishResult.Invalid(UNMATCHED_KEYS)
        val record = recordJson.encodeToString(ConfigRecord.serializer(), ConfigRecord.Change(signed))
        val appended = log.append(CONFIG_STREAM, record)
        val startedAt = TimeSource.Monotonic.markNow()
        var detail = appended.fold({ it.message }, { "the record cannot be read back yet" })
        while (startedAt.elapsedNow() < READ_BACK_TIMEOUT_MILLIS.milliseconds) {
            log.read(CONFIG_STREAM, 0, 0).fold(
                { detail = it.message },
                { page -> findResult(page.startOffset, page.records.map(::decodeConfigRecordOrNull), signed, change)?.let { return it } },
            )
            Thread.sleep(RETRY_DELAY_MILLIS)
        }
        return PublishResult.Unknown(detail)
    }

    /** Replays the records and returns the result of [change], which [signed] contains, or null if the log does not contain it. */
    private fun findResult(
        startOffset: Long,
        records: List<ConfigRecord?>,
        signed: SignedChange,
        change: ConfigChange,
    ): PublishResult? {
        val snapshot = records.filterIsInstance<ConfigRecord.Snapshot>().lastOrNull { it.asOf >= startOffset - 1 }
        var state = if (startOffset == 0L || snapshot == null) ConfigState() else ConfigState().merge(deltaOf(snapshot), verifier)
        records.forEachIndexed { index, record ->
            val offset = startOffset + index
            val result = state.applyRecord(offset, record, verifier)
            state = result.state
            val isOwnRecord = record is ConfigRecord.Change && record.signed == signed
            resultOf(change, offset, result.outcome, isOwnRecord)?.let { return it }
        }
        return acceptedEarlier(state, change)
    }

    private fun resultOf(
        change: ConfigChange,
        offset: Long,
        outcome: ApplyOutcome,
        isOwnRecord: Boolean,
    ): PublishResult? =
        when (outcome) {
            is ApplyOutcome.Accepted -> if (outcome.change.changeId == change.changeId) PublishResult.Accepted(offset) else null
            is ApplyOutcome.Conflict -> if (outcome.change.changeId == change.changeId) conflictResult(outcome) else null
            is ApplyOutcome.Invalid -> if (isOwnRecord) PublishResult.Invalid(outcome.reason) else null
            ApplyOutcome.Stale, ApplyOutcome.SnapshotIgnored, is ApplyOutcome.Gap -> null
        }

    private fun conflictResult(outcome: ApplyOutcome.Conflict): PublishResult {
        val current = outcome.current?.let { verifier.verifyOrNull(it.signed) }
        if (current?.changeId == outcome.change.changeId) return PublishResult.Accepted(checkNotNull(outcome.current).version)
        return PublishResult.Conflict(current, outcome.current?.version)
    }

    private fun acceptedEarlier(state: ConfigState, change: ConfigChange): PublishResult? {
        val accepted = state.accepted[change.item] ?: return null
        if (verifier.verifyOrNull(accepted.signed)?.changeId != change.changeId) return null
        return PublishResult.Accepted(accepted.version)
    }

    private fun deltaOf(snapshot: ConfigRecord.Snapshot) = ConfigDelta(-1, snapshot.asOf, snapshot.changes)
}

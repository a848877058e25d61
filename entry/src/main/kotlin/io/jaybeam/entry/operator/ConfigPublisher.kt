/*
 * Appends a signed change and finds out what became of it by reading the log back.
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

/** What became of a change. */
internal sealed class PublishResult {
    /** In force from [version] on. */
    data class Accepted(
        val version: Long,
    ) : PublishResult()

    /** Another operator's change came first. */
    data class Lost(
        val winner: ConfigChange?,
        val winnerVersion: Long?,
    ) : PublishResult()

    /** Every process will ignore the change. */
    data class Invalid(
        val reason: String,
    ) : PublishResult()

    /** The log does not say whether it took the change. */
    data class Unknown(
        val detail: String,
    ) : PublishResult()
}

private const val READ_BACK_MILLIS = 10_000L
private const val RETRY_MILLIS = 200L

/** Publishes changes and reads configuration. Calls block. */
internal class ConfigPublisher(
    private val log: LogClient,
    private val verifier: ChangeVerifier,
) {
    /** Returns the configuration that the log holds now. */
    fun read(): Either<String, ConfigState> =
        log.read(CONFIG_STREAM, 0, 0).fold(
            { it.message.left() },
            { page ->
                val records = page.records.map(::decodeConfigRecordOrNull)
                val state = ConfigState.bootstrap(page.startOffset, records, verifier)
                state?.right() ?: "the log no longer holds a whole configuration; ask a running process with `jaybeam dump`".left()
            },
        )

    /** Returns the version of [item] that a new change has to be based on. */
    fun baseVersion(item: ConfigItem): Either<String, Long> = read().map { it.versionOf(item) }

    /** Appends [signed] and reads back until its fate is known. */
    fun publish(signed: SignedChange, change: ConfigChange): PublishResult {
        val record = recordJson.encodeToString(ConfigRecord.serializer(), ConfigRecord.Change(signed))
        val appended = log.append(CONFIG_STREAM, record)
        val started = TimeSource.Monotonic.markNow()
        var detail = appended.fold({ it.message }, { "the record is not readable yet" })
        while (started.elapsedNow() < READ_BACK_MILLIS.milliseconds) {
            log.read(CONFIG_STREAM, 0, 0).fold(
                { detail = it.message },
                { page -> fate(page.startOffset, page.records.map(::decodeConfigRecordOrNull), change)?.let { return it } },
            )
            Thread.sleep(RETRY_MILLIS)
        }
        return PublishResult.Unknown(detail)
    }

    /** Folds the records again and returns the verdict on [change], or null if the log does not hold it. */
    private fun fate(startOffset: Long, records: List<ConfigRecord?>, change: ConfigChange): PublishResult? {
        val covering = records.filterIsInstance<ConfigRecord.Snapshot>().lastOrNull { it.asOf >= startOffset - 1 }
        var state = if (startOffset == 0L || covering == null) ConfigState() else ConfigState().merge(deltaOf(covering), verifier)
        records.forEachIndexed { index, record ->
            val offset = startOffset + index
            val result = state.applyRecord(offset, record, verifier)
            state = result.state
            verdictOn(change, offset, result.outcome)?.let { return it }
        }
        return acceptedBefore(state, change)
    }

    private fun verdictOn(change: ConfigChange, offset: Long, verdict: ApplyOutcome): PublishResult? =
        when (verdict) {
            is ApplyOutcome.Accepted -> if (verdict.change.changeId == change.changeId) PublishResult.Accepted(offset) else null
            is ApplyOutcome.Conflict -> if (verdict.change.changeId == change.changeId) lost(verdict) else null
            is ApplyOutcome.Invalid, ApplyOutcome.Stale, ApplyOutcome.SnapshotIgnored, is ApplyOutcome.Gap -> null
        }

    private fun lost(verdict: ApplyOutcome.Conflict): PublishResult {
        val winner = verdict.current?.let { verifier.verifyOrNull(it.signed) }
        if (winner?.changeId == verdict.change.changeId) return PublishResult.Accepted(checkNotNull(verdict.current).version)
        return PublishResult.Lost(winner, verdict.current?.version)
    }

    private fun acceptedBefore(state: ConfigState, change: ConfigChange): PublishResult? {
        val accepted = state.accepted[change.item] ?: return null
        if (verifier.verifyOrNull(accepted.signed)?.changeId != change.changeId) return null
        return PublishResult.Accepted(accepted.version)
    }

    private fun deltaOf(snapshot: ConfigRecord.Snapshot) = ConfigDelta(-1, snapshot.asOf, snapshot.changes)
}

/*
 * Maintains the current configuration. One thread tails the log's configuration stream, and peers supply what the
 * log cannot deliver. The version never decreases.
 */
package io.jaybeam.runtime.config

import io.jaybeam.core.config.ApplyOutcome
import io.jaybeam.core.config.ChangeVerifier
import io.jaybeam.core.config.ConfigDelta
import io.jaybeam.core.config.ConfigRecord
import io.jaybeam.core.config.ConfigState
import io.jaybeam.core.config.recordJson
import io.jaybeam.core.json.checkJsonDepth
import io.jaybeam.runtime.log.LogClient
import io.jaybeam.runtime.log.LogPage
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.repeatStep
import kotlinx.serialization.SerializationException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Name of the log stream that holds configuration. */
public const val CONFIG_STREAM: String = "config"

private const val READ_WAIT_MILLIS = 2_000L
private const val RETRY_DELAY_MILLIS = 250L

/** Decodes a record of the configuration stream; returns null if [text] is not a valid record. */
public fun decodeConfigRecordOrNull(text: String): ConfigRecord? =
    try {
        checkJsonDepth(text)
        recordJson.decodeFromString(ConfigRecord.serializer(), text)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

/**
 * Holds the [ConfigState] of one process.
 *
 * @property snapshotIntervalMillis time after the last snapshot at which this process appends one; null for never.
 */
public class ConfigController(
    private val log: LogClient,
    private val verifier: ChangeVerifier,
    private val events: EventLog,
    private val snapshotIntervalMillis: Long?,
) : AutoCloseable {
    private val listeners = CopyOnWriteArrayList<(ConfigState) -> Unit>()
    private val lock = Any()

    @Volatile
    private var current: ConfigState? = null

    @Volatile
    private var isRunning = true

    @Volatile
    private var isLogReachable = true

    private var lastSnapshotNanos = System.nanoTime()
    private lateinit var tailThread: Thread

    /** The current state, or null until the first state is complete. */
    public fun stateOrNull(): ConfigState? = current

    /** Version of the current state, or -1 if there is none. */
    public fun version(): Long = current?.version ?: -1L

    /** Calls [listener] with the current state if there is one, and with each new state on the thread that produced it. */
    public fun onChange(listener: (ConfigState) -> Unit) {
        listeners += listener
        current?.let(listener)
    }

    /** Starts the thread that tails the log. */
    public fun start() {
        tailThread = thread(name = "config-tail", isDaemon = true) { tailLog() }
    }

    /** Merges the changes received from a peer. */
    public fun mergeFromPeer(delta: ConfigDelta) {
        val newState =
            synchronized(lock) {
                val before = current ?: ConfigState()
                val after = before.merge(delta, verifier)
                if (after === before) return
                current = after
                after
            }
        events.write(LogEvent.CONFIG_FROM_PEER, LogField("version", "${newState.version}"))
        notifyListeners(newState)
    }

    override fun close() {
        isRunning = false
        if (::tailThread.isInitialized) tailThread.interrupt()
    }

    private fun tailLog() {
        repeatStep("config-tail", events, { isRunning }) {
            log.read(CONFIG_STREAM, version() + 1, READ_WAIT_MILLIS).fold(
                { error ->
                    updateLogReachable(false, error.message)
                    Thread.sleep(RETRY_DELAY_MILLIS)
                },
                { page ->
                    updateLogReachable(true, "")
                    applyPage(page)
                    appendSnapshotIfDue()
                },
            )
        }
    }

    private fun applyPage(page: LogPage) {
        val records = page.records.map(::decodeConfigRecordOrNull)
        if (records.any { it is ConfigRecord.Snapshot }) lastSnapshotNanos = System.nanoTime()
        val newState = synchronized(lock) { applyRecords(page, records) }
        if (newState != null) notifyListeners(newState)
    }

    private fun applyRecords(page: LogPage, records: List<ConfigRecord?>): ConfigState? {
        val before = current
        if (before == null || page.startOffset > before.version + 1) return bootstrap(page, records, before)
        var state: ConfigState = before
        records.forEachIndexed { index, record ->
            val result = state.applyRecord(page.startOffset + index, record, verifier)
            state = result.state
            logOutcome(page.startOffset + index, result.outcome)
        }
        current = state
        return state.takeIf { it.version != before.version }
    }

    /** Starts from the retained records, or from a snapshot among them if earlier records have expired. */
    private fun bootstrap(page: LogPage, records: List<ConfigRecord?>, before: ConfigState?): ConfigState? {
        val state = ConfigState.bootstrap(page.startOffset, records, verifier)
        if (state == null || state.version <= (before?.version ?: Long.MIN_VALUE)) {
            events.write(
                LogEvent.CONFIG_GAP,
                LogField("firstOffset", "${page.firstOffset}"),
                LogField("remedy", "wait for a peer to send its state, or publish the bundle again"),
            )
            Thread.sleep(RETRY_DELAY_MILLIS)
            return null
        }
        current = state
        return state
    }

    private fun logOutcome(offset: Long, outcome: ApplyOutcome) {
        when (outcome) {
            is ApplyOutcome.Accepted -> {
                events.write(
                    LogEvent.CONFIG_IN_FORCE,
                    LogField("version", "$offset"),
                    LogField("item", "${outcome.change.item}"),
                    LogField("operator", outcome.change.operator),
                )
            }

            is ApplyOutcome.Conflict -> {
                events.write(
                    LogEvent.CONFIG_REJECTED,
                    LogField("offset", "$offset"),
                    LogField("reason", "version ${outcome.current?.version} came first"),
                )
            }

            is ApplyOutcome.Invalid -> {
                events.write(LogEvent.CONFIG_REJECTED, LogField("offset", "$offset"), LogField("reason", outcome.reason))
            }

            is ApplyOutcome.Gap, ApplyOutcome.Stale, ApplyOutcome.SnapshotIgnored -> {
                Unit
            }
        }
    }

    private fun appendSnapshotIfDue() {
        val intervalMillis = snapshotIntervalMillis ?: return
        val state = current ?: return
        if (state.accepted.isEmpty()) return
        val sinceMillis = (System.nanoTime() - lastSnapshotNanos) / 1_000_000
        if (sinceMillis < intervalMillis) return
        lastSnapshotNanos = System.nanoTime()
        val text = recordJson.encodeToString(ConfigRecord.serializer(), state.snapshot())
        log.append(CONFIG_STREAM, text).onRight { events.write(LogEvent.CONFIG_SNAPSHOT_APPENDED, LogField("asOf", "${state.version}")) }
    }

    private fun updateLogReachable(isReachable: Boolean, detail: String) {
        if (isLogReachable && !isReachable) events.write(LogEvent.CONFIG_LOG_UNREACHABLE, LogField("detail", detail))
        isLogReachable = isReachable
    }

    private fun notifyListeners(state: ConfigState) {
        listeners.forEach { it(state) }
    }
}

/*
 * Keeps the configuration in force: one thread tails the log's configuration stream, and peers fill in what
 * the log cannot deliver. The state only moves forward.
 */
package io.jaybeam.runtime.config

import io.jaybeam.core.config.ApplyOutcome
import io.jaybeam.core.config.ChangeVerifier
import io.jaybeam.core.config.ConfigDelta
import io.jaybeam.core.config.ConfigRecord
import io.jaybeam.core.config.ConfigState
import io.jaybeam.core.config.recordJson
import io.jaybeam.runtime.log.LogClient
import io.jaybeam.runtime.log.LogPage
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import kotlinx.serialization.SerializationException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Name of the log stream that holds configuration. */
public const val CONFIG_STREAM: String = "config"

private const val WAIT_MILLIS = 2_000L
private const val BACKOFF_MILLIS = 250L

/** Decodes a record of the configuration stream; returns null if it is none. */
public fun decodeConfigRecordOrNull(text: String): ConfigRecord? =
    try {
        recordJson.decodeFromString(ConfigRecord.serializer(), text)
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

/**
 * Holds one process's [ConfigState].
 *
 * @property snapshotIntervalMillis how long after the last snapshot this process appends one; null for never.
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
    private var running = true

    @Volatile
    private var logReachable = true

    private var lastSnapshotNanos = System.nanoTime()
    private lateinit var tail: Thread

    /** The state in force, or null before the first is complete. */
    public fun stateOrNull(): ConfigState? = current

    /** Version of the state, or -1 before the first. */
    public fun version(): Long = current?.version ?: -1L

    /** Calls [listener] with each new state, from the thread that made it. */
    public fun onChange(listener: (ConfigState) -> Unit) {
        listeners += listener
        current?.let(listener)
    }

    /** Starts to tail the log. */
    public fun start() {
        tail = thread(name = "config-tail", isDaemon = true) { tailLog() }
    }

    /** Takes what a peer knows. */
    public fun mergeFromPeer(delta: ConfigDelta) {
        val changed =
            synchronized(lock) {
                val before = current ?: ConfigState()
                val after = before.merge(delta, verifier)
                if (after === before) return
                current = after
                after
            }
        events.write(LogEvent.CONFIG_FROM_PEER, LogField("version", "${changed.version}"))
        publish(changed)
    }

    override fun close() {
        running = false
        if (::tail.isInitialized) tail.interrupt()
    }

    private fun tailLog() {
        while (running) {
            try {
                log.read(CONFIG_STREAM, version() + 1, WAIT_MILLIS).fold(
                    { error ->
                        noteReachable(false, error.message)
                        Thread.sleep(BACKOFF_MILLIS)
                    },
                    { page ->
                        noteReachable(true, "")
                        take(page)
                        appendSnapshotIfDue()
                    },
                )
            } catch (e: InterruptedException) {
                return
            } catch (e: Exception) {
                events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", "config-tail"), LogField("detail", e.toString()))
            }
        }
    }

    private fun take(page: LogPage) {
        val records = page.records.map(::decodeConfigRecordOrNull)
        if (records.any { it is ConfigRecord.Snapshot }) lastSnapshotNanos = System.nanoTime()
        val changed = synchronized(lock) { fold(page, records) }
        if (changed != null) publish(changed)
    }

    private fun fold(page: LogPage, records: List<ConfigRecord?>): ConfigState? {
        val before = current
        if (before == null || page.startOffset > before.version + 1) return bootstrap(page, records, before)
        var state: ConfigState = before
        records.forEachIndexed { index, record ->
            val result = state.applyRecord(page.startOffset + index, record, verifier)
            state = result.state
            report(page.startOffset + index, result.outcome)
        }
        current = state
        return state.takeIf { it.version != before.version }
    }

    /** Starts from the retained records, or from a snapshot among them where earlier records have expired. */
    private fun bootstrap(page: LogPage, records: List<ConfigRecord?>, before: ConfigState?): ConfigState? {
        val state = ConfigState.bootstrap(page.startOffset, records, verifier)
        if (state == null || state.version <= (before?.version ?: Long.MIN_VALUE)) {
            events.write(
                LogEvent.CONFIG_GAP,
                LogField("firstOffset", "${page.firstOffset}"),
                LogField("remedy", "a peer's state is awaited"),
            )
            Thread.sleep(BACKOFF_MILLIS)
            return null
        }
        current = state
        return state
    }

    private fun report(offset: Long, verdict: ApplyOutcome) {
        when (verdict) {
            is ApplyOutcome.Accepted -> {
                events.write(
                    LogEvent.CONFIG_IN_FORCE,
                    LogField("version", "$offset"),
                    LogField("item", "${verdict.change.item}"),
                    LogField("operator", verdict.change.operator),
                )
            }

            is ApplyOutcome.Conflict -> {
                events.write(
                    LogEvent.CONFIG_REJECTED,
                    LogField("offset", "$offset"),
                    LogField("reason", "version ${verdict.current?.version} came first"),
                )
            }

            is ApplyOutcome.Invalid -> {
                events.write(LogEvent.CONFIG_REJECTED, LogField("offset", "$offset"), LogField("reason", verdict.reason))
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

    private fun noteReachable(reachable: Boolean, detail: String) {
        if (logReachable && !reachable) events.write(LogEvent.CONFIG_LOG_UNREACHABLE, LogField("detail", detail))
        logReachable = reachable
    }

    private fun publish(state: ConfigState) {
        listeners.forEach { it(state) }
    }
}

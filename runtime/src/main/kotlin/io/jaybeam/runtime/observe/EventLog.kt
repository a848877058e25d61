/*
 * Structured log with one JSON object per line on standard output. Each line is a numbered event, described in
 * docs/LOG-EVENTS.md. Lines pass through a bounded queue to a separate writer thread, so that logging never blocks.
 * Lines that do not fit into the queue are dropped and counted, and the count is logged.
 */
package io.jaybeam.runtime.observe

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.tinylog.kotlin.Logger
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Clock

/** Severity of a log event. */
public enum class Severity {
    /** Normal operation. */
    INFO,

    /** A failure that the process tolerates. */
    WARNING,

    /** A failure that an operator should investigate. */
    ERROR,
}

/** The events that a process logs. A number never changes its meaning. */
public enum class LogEvent(
    public val number: Int,
    public val severity: Severity,
) {
    PROCESS_STARTED(1001, Severity.INFO),
    PROCESS_READY(1002, Severity.INFO),
    PROCESS_STOPPING(1003, Severity.INFO),
    PROCESS_STOPPED(1004, Severity.INFO),
    SETTINGS_REFUSED(1005, Severity.ERROR),
    START_FAILED(1006, Severity.ERROR),
    SETTINGS_RELOADED(1007, Severity.INFO),
    CONFIG_IN_FORCE(1101, Severity.INFO),
    CONFIG_REJECTED(1102, Severity.WARNING),
    CONFIG_LOG_UNREACHABLE(1103, Severity.WARNING),
    CONFIG_FROM_PEER(1104, Severity.INFO),
    CONFIG_GAP(1105, Severity.ERROR),
    CONFIG_SNAPSHOT_APPENDED(1106, Severity.INFO),
    TARGETS_CHANGED(1204, Severity.INFO),
    STORE_LOST(1205, Severity.WARNING),
    STORE_REGAINED(1206, Severity.INFO),
    RECORD_UNUSABLE(1207, Severity.WARNING),
    DATA_CENTRE_CHANGED(1208, Severity.INFO),
    STORE_RETURNED(1209, Severity.WARNING),
    LINK_OPENED(1201, Severity.INFO),
    LINK_CLOSED(1202, Severity.WARNING),
    INSTANCE_LIST_UNREACHABLE(1203, Severity.WARNING),
    TARGET_CRASHED(1301, Severity.ERROR),
    TARGET_COLD(1302, Severity.WARNING),
    REQUEST_QUARANTINED(1303, Severity.ERROR),
    TRAIT_BLAMED(1304, Severity.ERROR),
    TRAIT_CLEARED(1305, Severity.INFO),
    TARGET_LEAVING(1306, Severity.INFO),
    TARGET_PAUSED(1307, Severity.INFO),
    BINDINGS_UNREACHABLE(1401, Severity.WARNING),
    MAP_CHANGED(1501, Severity.INFO),
    MAP_CHANGE_ABANDONED(1502, Severity.WARNING),
    COORDINATOR_CHANGED(1503, Severity.INFO),
    MAP_PHASE(1504, Severity.INFO),
    MAP_PLANNED(1505, Severity.INFO),
    RANK_ORDER(1506, Severity.INFO),
    RANK_UNREADABLE(1507, Severity.WARNING),
    COORDINATOR_LOAD(1508, Severity.INFO),
    COORDINATOR_TERM(1509, Severity.INFO),
    GROUP_CHANGED(1510, Severity.INFO),
    GROUP_NEWS_REFUSED(1511, Severity.WARNING),
    PEER_LOADS_REFUSED(1512, Severity.WARNING),
    REQUEST_ANSWERED(1601, Severity.INFO),
    REQUEST_REFUSED(1602, Severity.INFO),
    REQUEST_FAILED(1603, Severity.WARNING),
    REQUEST_ABANDONED(1604, Severity.INFO),
    SEND_FAILED(1605, Severity.WARNING),
    STREAM_RESUMED(1606, Severity.INFO),
    STREAM_HELD(1607, Severity.INFO),
    RETRY_DECIDED(1608, Severity.INFO),
    GATE_CLOSED(1701, Severity.WARNING),
    GATE_OPENED(1702, Severity.INFO),
    TARGET_GONE(1703, Severity.WARNING),
    RECOVERY_PHASES(1704, Severity.INFO),
    REQUEST_HELD(1705, Severity.INFO),
    LINES_DROPPED(1902, Severity.WARNING),
    UNEXPECTED_FAILURE(1901, Severity.ERROR),
}

/** A named value in a log line. */
public data class LogField(
    val name: String,
    val value: String,
)

/** Writes the log events of one process. */
public class EventLog(
    private val instance: String,
    private val clock: Clock,
) {
    /** Queues one line with [event] and [fields]. */
    public fun write(event: LogEvent, vararg fields: LogField) {
        val members =
            linkedMapOf(
                "at" to JsonPrimitive(clock.now().toString()),
                "event" to JsonPrimitive(event.number),
                "name" to JsonPrimitive(event.name),
                "instance" to JsonPrimitive(instance),
            )
        fields.forEach { members[it.name] = JsonPrimitive(it.value) }
        LineQueue.offer(Line(event.severity, JsonObject(members).toString()))
    }
}

private data class Line(
    val severity: Severity,
    val text: String,
)

/** Maximum number of queued lines; a busy instance writes a few hundred per second. */
private const val MAX_QUEUED_LINES = 4_096
private const val FLUSH_TIMEOUT_MILLIS = 500L

/** The queue between all [EventLog]s of the process and the thread that writes their lines. */
private object LineQueue {
    private val lines = ArrayBlockingQueue<Line>(MAX_QUEUED_LINES)
    private val droppedCount = AtomicLong()

    init {
        thread(name = "log", isDaemon = true) { writeLoop() }
        Runtime.getRuntime().addShutdownHook(Thread(::flush))
    }

    fun offer(line: Line) {
        if (!lines.offer(line)) droppedCount.incrementAndGet()
    }

    private fun writeLoop() {
        while (true) {
            write(lines.take())
            val count = droppedCount.getAndSet(0)
            if (count > 0) {
                write(Line(Severity.WARNING, """{"event":${LogEvent.LINES_DROPPED.number},"name":"LINES_DROPPED","lines":"$count"}"""))
            }
        }
    }

    private fun flush() {
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS)
        while (System.nanoTime() < deadlineNanos) write(lines.poll() ?: return)
    }

    private fun write(line: Line) {
        when (line.severity) {
            Severity.INFO -> Logger.info { line.text }
            Severity.WARNING -> Logger.warn { line.text }
            Severity.ERROR -> Logger.error { line.text }
        }
    }
}

/*
 * Structured log: one JSON object a line on standard output, each a numbered event of
 * docs/LOG-EVENTS.md. Lines pass through a bounded ring to a thread of their own, so that logging never blocks; lines
 * that find the ring full are counted and the count is logged.
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

/** How much a log event matters. */
public enum class Severity {
    /** Ordinary operation. */
    INFO,

    /** Something failed and the process carries on without it. */
    WARNING,

    /** Somebody on call should look. */
    ERROR,
}

/** Every event that a process logs. Numbers never change their meaning. */
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
    LINK_OPENED(1201, Severity.INFO),
    LINK_CLOSED(1202, Severity.WARNING),
    INSTANCE_LIST_UNREACHABLE(1203, Severity.WARNING),
    TARGET_CRASHED(1301, Severity.ERROR),
    TARGET_COLD(1302, Severity.WARNING),
    REQUEST_QUARANTINED(1303, Severity.ERROR),
    BINDINGS_UNREACHABLE(1401, Severity.WARNING),
    MAP_CHANGED(1501, Severity.INFO),
    MAP_CHANGE_ABANDONED(1502, Severity.WARNING),
    COORDINATOR_CHANGED(1503, Severity.INFO),
    MAP_PHASE(1504, Severity.INFO),
    MAP_PLANNED(1505, Severity.INFO),
    RANK_ORDER(1506, Severity.INFO),
    RANK_UNREADABLE(1507, Severity.WARNING),
    REQUEST_ANSWERED(1601, Severity.INFO),
    REQUEST_REFUSED(1602, Severity.INFO),
    REQUEST_FAILED(1603, Severity.WARNING),
    REQUEST_ABANDONED(1604, Severity.INFO),
    SEND_FAILED(1605, Severity.WARNING),
    STREAM_RESUMED(1606, Severity.INFO),
    STREAM_HELD(1607, Severity.INFO),
    LINES_DROPPED(1902, Severity.WARNING),
    UNEXPECTED_FAILURE(1901, Severity.ERROR),
}

/** A named value of a log line. */
public data class LogField(
    val name: String,
    val value: String,
)

/** Writes log events of one process. */
public class EventLog(
    private val instance: String,
    private val clock: Clock,
) {
    /** Writes one line. */
    public fun write(event: LogEvent, vararg fields: LogField) {
        val members =
            linkedMapOf(
                "at" to JsonPrimitive(clock.now().toString()),
                "event" to JsonPrimitive(event.number),
                "name" to JsonPrimitive(event.name),
                "instance" to JsonPrimitive(instance),
            )
        fields.forEach { members[it.name] = JsonPrimitive(it.value) }
        LineRing.offer(Line(event.severity, JsonObject(members).toString()))
    }
}

private data class Line(
    val severity: Severity,
    val text: String,
)

/** Lines a process may have waiting; a busy instance writes some hundred in a second. */
private const val RING_LINES = 4_096
private const val FLUSH_MILLIS = 500L

/** The ring between all logs of the process and the thread that writes. */
private object LineRing {
    private val lines = ArrayBlockingQueue<Line>(RING_LINES)
    private val dropped = AtomicLong()

    init {
        thread(name = "log", isDaemon = true) { writeForever() }
        Runtime.getRuntime().addShutdownHook(Thread(::flush))
    }

    fun offer(line: Line) {
        if (!lines.offer(line)) dropped.incrementAndGet()
    }

    private fun writeForever() {
        while (true) {
            write(lines.take())
            val lost = dropped.getAndSet(0)
            if (lost >
                0
            ) {
                write(Line(Severity.WARNING, """{"event":${LogEvent.LINES_DROPPED.number},"name":"LINES_DROPPED","lines":"$lost"}"""))
            }
        }
    }

    private fun flush() {
        val until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS)
        while (System.nanoTime() < until) write(lines.poll() ?: return)
    }

    private fun write(line: Line) {
        when (line.severity) {
            Severity.INFO -> Logger.info { line.text }
            Severity.WARNING -> Logger.warn { line.text }
            Severity.ERROR -> Logger.error { line.text }
        }
    }
}

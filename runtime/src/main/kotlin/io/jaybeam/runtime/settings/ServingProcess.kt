/*
 * Runs a process with its settings: validates them, starts the process and stops it on a signal.
 */
package io.jaybeam.runtime.settings

import arrow.core.Either
import io.jaybeam.core.json.JsonObjectReader
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.time.Clock

/** A process that serves until it is stopped. */
public interface ServingProcess {
    /** Starts all threads and servers; throws if a port cannot be bound. */
    public fun start()

    /** Applies the changed settings that can change while the process runs. Does nothing by default. */
    public fun reload() {}

    /** Stops accepting work, waits until all accepted work has finished and returns. */
    public fun stop()
}

/** Argument that makes a binary run briefly, so that the build can record the loaded classes in a CDS archive. */
public const val CDS_TRAINING_RUN: String = "rehearse"

/** Exit code of a process whose settings are invalid. */
public const val EXIT_INVALID_SETTINGS: Int = 2

/** Exit code of a process that could not start. */
public const val EXIT_START_FAILED: Int = 1

/**
 * Reads the settings at [path] with [read] and, unless [checkOnly] is set, serves until a signal ends the process.
 *
 * Returns the exit code if [checkOnly] is set, the settings are invalid or the process cannot start.
 */
public fun <S> runProcess(
    path: Path,
    checkOnly: Boolean,
    read: JsonObjectReader.() -> S,
    createProcess: (S) -> ServingProcess,
): Int = runProcess({ readSettings(path, read) }, checkOnly, createProcess)

/** Runs a process as the overload with a path does, with the settings or faults that [loadSettings] returns. */
public fun <S, F : Any> runProcess(loadSettings: () -> Either<List<F>, S>, checkOnly: Boolean, createProcess: (S) -> ServingProcess): Int {
    val signals = ProcessSignals().also { it.install() }
    return loadSettings().fold(::logSettingsFaults) { if (checkOnly) 0 else serve(signals, createProcess(it)) }
}

private fun logSettingsFaults(faults: List<Any>): Int {
    val events = EventLog("unnamed", Clock.System)
    faults.forEach { events.write(LogEvent.SETTINGS_REFUSED, LogField("fault", "$it")) }
    return EXIT_INVALID_SETTINGS
}

private fun serve(signals: ProcessSignals, process: ServingProcess): Int {
    try {
        process.start()
    } catch (e: Exception) {
        val remedy = "free the address, or change the host or the ports in the settings"
        EventLog("unnamed", Clock.System).write(LogEvent.START_FAILED, LogField("detail", "${rootCause(e)}"), LogField("remedy", remedy))
        return EXIT_START_FAILED
    }
    signals.onReload(process::reload)
    signals.onShutdown(process::stop)
    CountDownLatch(1).await()
    return 0
}

private fun rootCause(e: Throwable): Throwable = generateSequence(e) { it.cause }.last()

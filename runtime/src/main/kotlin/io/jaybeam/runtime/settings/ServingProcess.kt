/*
 * What both binaries do with a settings file: check it, start the process, stop it on a signal.
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
    /** Starts every duty; throws if a port cannot be had. */
    public fun start()

    /** Takes over what has changed in the settings and can change while the process runs; nothing where this is not overridden. */
    public fun reload() {}

    /** Takes no new work, waits for all work to end and returns. */
    public fun stop()
}

/** Argument with which a binary runs for a moment, so that the build can record the classes that it loads. */
public const val REHEARSE: String = "rehearse"

/** Exit code of a process whose settings are wrong. */
public const val EXIT_BAD_SETTINGS: Int = 2

/** Exit code of a process that could not start. */
public const val EXIT_START_FAILED: Int = 1

/**
 * Reads the settings at [path] and, unless [checkOnly], serves until a signal ends the process.
 *
 * Returns an exit code where there is nothing to serve.
 */
public fun <S> runProcess(
    path: Path,
    checkOnly: Boolean,
    read: JsonObjectReader.() -> S,
    make: (S) -> ServingProcess,
): Int = runWith({ readSettings(path, read) }, checkOnly, make)

/** Serves with what [settings] returns, or logs the faults that it returns; see [runProcess]. */
public fun <S, F : Any> runWith(settings: () -> Either<List<F>, S>, checkOnly: Boolean, make: (S) -> ServingProcess): Int {
    val termination = Termination().also { it.install() }
    return settings().fold(::refuse) { if (checkOnly) 0 else serve(termination, make(it)) }
}

private fun refuse(faults: List<Any>): Int {
    val events = EventLog("unnamed", Clock.System)
    faults.forEach { events.write(LogEvent.SETTINGS_REFUSED, LogField("fault", "$it")) }
    return EXIT_BAD_SETTINGS
}

private fun serve(termination: Termination, process: ServingProcess): Int {
    try {
        process.start()
    } catch (e: Exception) {
        val remedy = "free the address or change host and the ports in the settings"
        EventLog("unnamed", Clock.System).write(LogEvent.START_FAILED, LogField("detail", "${rootCause(e)}"), LogField("remedy", remedy))
        return EXIT_START_FAILED
    }
    termination.onReload(process::reload)
    termination.onShutdown(process::stop)
    CountDownLatch(1).await()
    return 0
}

private fun rootCause(e: Throwable): Throwable = generateSequence(e) { it.cause }.last()

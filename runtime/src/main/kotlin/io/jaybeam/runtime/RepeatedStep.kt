/*
 * A loop that outlives the failures of its steps.
 */
package io.jaybeam.runtime

import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField

private const val FAILURE_DELAY_MILLIS = 250L
private const val MAX_DETAIL_CHARS = 4_000

/**
 * Calls [step] again and again while [isRunning], until the thread is interrupted.
 *
 * A step that throws, an [Error] included, is logged and the next one follows after a short delay. A failure that repeats
 * itself from step to step is logged once.
 *
 * @param duty what the thread does, for the log.
 */
public fun repeatStep(
    duty: String,
    events: EventLog,
    isRunning: () -> Boolean = { true },
    step: () -> Unit,
) {
    var lastFailure: String? = null
    while (isRunning()) {
        try {
            step()
            lastFailure = null
        } catch (e: InterruptedException) {
            return
        } catch (e: Throwable) {
            if ("$e" != lastFailure) events.writeUnexpectedFailure(duty, e)
            lastFailure = "$e"
            Thread.sleep(FAILURE_DELAY_MILLIS)
        }
    }
}

/** Logs that the thread with [duty] failed with [failure] and continues. */
public fun EventLog.writeUnexpectedFailure(duty: String, failure: Throwable) {
    // An overflow of the stack has a trace of a thousand lines.
    val detail = failure.stackTraceToString().take(MAX_DETAIL_CHARS)
    write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", duty), LogField("detail", detail))
}

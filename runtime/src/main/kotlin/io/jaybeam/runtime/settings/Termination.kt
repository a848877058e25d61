/*
 * Graceful shutdown on SIGTERM and SIGINT with exit code 0.
 */
package io.jaybeam.runtime.settings

import sun.misc.Signal
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Runs one graceful shutdown however many signals arrive, also while the process still starts. */
public class Termination {
    private val begun = AtomicBoolean()
    private val shutdown = CompletableFuture<() -> Unit>()

    /** Takes over SIGTERM and SIGINT. */
    public fun install() {
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { begin() } }
    }

    /** Runs [block] on a signal; at once if one came while the process started. */
    public fun onShutdown(block: () -> Unit) {
        shutdown.complete(block)
    }

    /** Waits for the start to finish, since a port that is open already may have taken a request. */
    private fun begin() {
        if (!begun.compareAndSet(false, true)) return
        thread(name = "shutdown") {
            shutdown.get().invoke()
            exitProcess(0)
        }
    }
}

/*
 * Graceful shutdown on SIGTERM and SIGINT with exit code 0, and a reload on SIGHUP, which would end the process otherwise.
 */
package io.jaybeam.runtime.settings

import sun.misc.Signal
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Runs one graceful shutdown however many signals arrive, also while the process still starts; and a reload for each SIGHUP. */
public class Termination {
    private val begun = AtomicBoolean()
    private val shutdown = CompletableFuture<() -> Unit>()

    @Volatile
    private var reload: () -> Unit = {}

    /** Takes over SIGTERM, SIGINT and SIGHUP. */
    public fun install() {
        Signal.handle(Signal("HUP")) { thread(name = "reload") { reload() } }
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { begin() } }
    }

    /** Runs [block] on a signal; at once if one came while the process started. */
    public fun onShutdown(block: () -> Unit) {
        shutdown.complete(block)
    }

    /** Runs [block] on each SIGHUP from now on. */
    public fun onReload(block: () -> Unit) {
        reload = block
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

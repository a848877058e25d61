/*
 * Signal handling: SIGTERM and SIGINT shut the process down gracefully with exit code 0, and SIGHUP, which terminates a
 * process by default, reloads the settings.
 */
package io.jaybeam.runtime.settings

import sun.misc.Signal
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Runs one graceful shutdown for any number of SIGTERM and SIGINT signals, including during startup, and one reload per SIGHUP. */
public class ProcessSignals {
    private val hasBegunShutdown = AtomicBoolean()
    private val shutdownAction = CompletableFuture<() -> Unit>()

    @Volatile
    private var reloadAction: () -> Unit = {}

    /** Installs the handlers of SIGTERM, SIGINT and SIGHUP. */
    public fun install() {
        Signal.handle(Signal("HUP")) { thread(name = "reload") { reloadAction() } }
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { beginShutdown() } }
    }

    /** Runs [block] on SIGTERM or SIGINT, or immediately if one was received during startup. */
    public fun onShutdown(block: () -> Unit) {
        shutdownAction.complete(block)
    }

    /** Runs [block] on each subsequent SIGHUP. */
    public fun onReload(block: () -> Unit) {
        reloadAction = block
    }

    /** Waits until startup has finished, because a port that is already open may have accepted a request. */
    private fun beginShutdown() {
        if (!hasBegunShutdown.compareAndSet(false, true)) return
        thread(name = "shutdown") {
            shutdownAction.get().invoke()
            exitProcess(0)
        }
    }
}

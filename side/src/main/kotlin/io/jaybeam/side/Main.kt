/*
 * The `jaybeam-side` binary: the process beside each target.
 */
package io.jaybeam.side

import io.jaybeam.platform.settings.Termination
import io.jaybeam.platform.settings.readSettings
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlin.time.Clock

private const val EXIT_BAD_SETTINGS = 2

@Command(
    name = "jaybeam-side",
    mixinStandardHelpOptions = true,
    version = ["jaybeam-side 0.1.0"],
    description = ["Runs the side process of one target."],
)
internal class SideCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["JSON settings file; see docs/SETTINGS.md"])
    private lateinit var settingsPath: Path

    @Option(names = ["--check"], description = ["Check the settings and exit"])
    private var checkOnly: Boolean = false

    override fun call(): Int =
        readSettings(settingsPath) { sideSettings() }.fold(
            { faults ->
                faults.forEach { System.err.println("jaybeam-side: settings: $it") }
                EXIT_BAD_SETTINGS
            },
            { settings -> if (checkOnly) 0 else serve(settings) },
        )

    private fun serve(settings: SideSettings): Int {
        val termination = Termination().also { it.install() }
        val process = SideProcess(settings, Clock.System)
        process.start()
        termination.onShutdown(process::stop)
        CountDownLatch(1).await()
        return 0
    }
}

/** Starts a side process. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(SideCommand()).execute(*args))
}

/*
 * Command line of the `jaybeam-side` binary, which runs the side process of a target.
 */
package io.jaybeam.side

import io.jaybeam.runtime.settings.runProcess
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess
import kotlin.time.Clock

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

    override fun call(): Int = runProcess(settingsPath, checkOnly, { sideSettings() }) { SideProcess(it, Clock.System) }
}

/** Runs the command and exits with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(SideCommand()).execute(*args))
}

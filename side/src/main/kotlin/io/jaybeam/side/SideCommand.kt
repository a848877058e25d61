/*
 * The `jaybeam-side` binary: the process beside each target.
 */
package io.jaybeam.side

import io.jaybeam.platform.readInstanceSettings
import io.jaybeam.runtime.settings.missingSettings
import io.jaybeam.runtime.settings.runProcess
import io.jaybeam.runtime.settings.runWith
import io.jaybeam.side.rank.rankSide
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
    @Option(names = ["--settings"], description = ["JSON settings file; see docs/SETTINGS.md"])
    private var settingsPath: Path? = null

    @Option(names = ["--on-platform"], description = ["Read the platform's settings file instead, named by JAYBEAM_SETTINGS"])
    private var isOnPlatform: Boolean = false

    @Option(names = ["--check"], description = ["Check the settings and exit"])
    private var checkOnly: Boolean = false

    override fun call(): Int {
        if (isOnPlatform) return runWith(readInstanceSettings(), checkOnly, ::rankSide)
        val path = settingsPath ?: return missingSettings()
        return runProcess(path, checkOnly, { sideSettings() }) { SideProcess(it, Clock.System) }
    }
}

/** Starts a side process. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(SideCommand()).execute(*args))
}

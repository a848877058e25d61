/*
 * The `jaybeam` binary: `jaybeam entry` and the operators' subcommands.
 */
package io.jaybeam.entry

import io.jaybeam.entry.direct.DirectEntry
import io.jaybeam.entry.operator.BundleCommand
import io.jaybeam.entry.operator.ConfigCommand
import io.jaybeam.entry.operator.DataCentreCommand
import io.jaybeam.entry.operator.DumpCommand
import io.jaybeam.entry.operator.InstanceCommand
import io.jaybeam.entry.operator.KeysCommand
import io.jaybeam.platform.platformStore
import io.jaybeam.platform.readInstanceSettings
import io.jaybeam.runtime.settings.missingSettings
import io.jaybeam.runtime.settings.runProcess
import io.jaybeam.runtime.settings.runWith
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess
import kotlin.time.Clock

/** `jaybeam` */
@Command(
    name = "jaybeam",
    mixinStandardHelpOptions = true,
    version = ["jaybeam 0.1.0"],
    description = ["Load balancer for expert-parallel model groups."],
    subcommands = [
        EntryCommand::class,
        KeysCommand::class,
        BundleCommand::class,
        DataCentreCommand::class,
        InstanceCommand::class,
        ConfigCommand::class,
        DumpCommand::class,
    ],
)
internal class JaybeamCommand

/** `jaybeam entry` */
@Command(name = "entry", description = ["Runs an entry instance."])
internal class EntryCommand : Callable<Int> {
    @Option(names = ["--settings"], description = ["JSON settings file; see docs/SETTINGS.md"])
    private var settingsPath: Path? = null

    @Option(names = ["--on-platform"], description = ["Read the platform's settings file instead, named by JAYBEAM_SETTINGS"])
    private var isOnPlatform: Boolean = false

    @Option(names = ["--check"], description = ["Check the settings and exit"])
    private var checkOnly: Boolean = false

    override fun call(): Int {
        if (isOnPlatform) {
            return runWith(readInstanceSettings(), checkOnly) {
                DirectEntry(it, platformStore(it.store), Clock.System) { readInstanceSettings().getOrNull() }
            }
        }
        val path = settingsPath ?: return missingSettings()
        return runProcess(path, checkOnly, { entrySettings() }) { EntryProcess(it, Clock.System) }
    }
}

/** Starts an entry instance or runs an operators' subcommand. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(JaybeamCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}

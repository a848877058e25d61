/*
 * The `jaybeam` binary: `jaybeam entry` and the operators' subcommands.
 */
package io.jaybeam.entry

import io.jaybeam.entry.operator.BundleCommand
import io.jaybeam.entry.operator.ConfigCommand
import io.jaybeam.entry.operator.DataCentreCommand
import io.jaybeam.entry.operator.DumpCommand
import io.jaybeam.entry.operator.ExplainCommand
import io.jaybeam.entry.operator.InstanceCommand
import io.jaybeam.entry.operator.KeysCommand
import io.jaybeam.runtime.settings.runProcess
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
        ExplainCommand::class,
    ],
)
internal class JaybeamCommand

/** `jaybeam entry` */
@Command(name = "entry", description = ["Runs an entry instance."])
internal class EntryCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["JSON settings file; see docs/SETTINGS.md"])
    private lateinit var settingsPath: Path

    @Option(names = ["--check"], description = ["Validate the settings and exit"])
    private var checkOnly: Boolean = false

    override fun call(): Int = runProcess(settingsPath, checkOnly, { entrySettings() }) { EntryProcess(it, Clock.System) }
}

/** Runs an entry instance or an operators' subcommand, and exits with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(JaybeamCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}

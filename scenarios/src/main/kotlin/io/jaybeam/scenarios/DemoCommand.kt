/*
 * Command that runs the demonstration.
 */
package io.jaybeam.scenarios

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable
import kotlin.system.exitProcess

@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = ["Starts a site on the loopback interface, sends requests to it and stops it."],
)
internal class DemoCommand : Callable<Int> {
    @Option(names = ["--models"], description = ["Model targets"])
    private var models: Int = 12

    @Option(names = ["--entries"], description = ["Entries"])
    private var entries: Int = 3

    override fun call(): Int = runDemo(FleetPlan(entries = entries, modelTargets = models))
}

/** Runs the demonstration with the options in [args] and exits with its result. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(DemoCommand()).execute(*args))
}

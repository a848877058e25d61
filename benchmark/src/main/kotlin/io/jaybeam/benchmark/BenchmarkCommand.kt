/*
 * Runs benchmarks from the command line.
 */
package io.jaybeam.benchmark

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** What to measure. */
internal enum class Measure { PLACEMENT, GROUP, ROUTING, CAPACITY, SYSTEM, MOVE }

@Command(name = "bench", mixinStandardHelpOptions = true, description = ["Prints measures beside their baselines."])
internal class BenchmarkCommand : Callable<Int> {
    @Parameters(arity = "0..*", description = ["Measures: \${COMPLETION-CANDIDATES}; all where none is named"])
    private var measures: List<Measure> = emptyList()

    @Option(names = ["--seed"], description = ["Seed of the virtual measures"])
    private var seed: Long = 1

    @Option(names = ["--trace"], description = ["Demand to replay with GROUP: lines of second, set and counts by expert"])
    private var trace: Path? = null

    override fun call(): Int {
        measures.ifEmpty { Measure.entries }.forEach { measure ->
            when (measure) {
                Measure.PLACEMENT -> benchmarkPlacement(seed)
                Measure.GROUP -> benchmarkGroupPlacement(trace, seed)
                Measure.ROUTING -> benchmarkRouting(seed)
                Measure.CAPACITY -> benchmarkCapacity()
                Measure.SYSTEM -> benchmarkSystem()
                Measure.MOVE -> benchmarkMove()
            }
        }
        return 0
    }
}

/** Runs benchmarks. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(BenchmarkCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}

/*
 * Command that runs benchmarks.
 */
package io.jaybeam.benchmark

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.TypeConversionException
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** The benchmarks, by the name on the command line. */
internal enum class Measure { PLACEMENT, GROUP, ROUTING, PLACEMENT_COST, GROUP_REPORTS, CAPACITY, SYSTEM, MOVE }

/** Reads the name of a benchmark, in which words are separated by hyphens. */
internal class MeasureConverter : ITypeConverter<Measure> {
    override fun convert(value: String): Measure {
        val name = value.uppercase().replace('-', '_')
        return Measure.entries.find { it.name == name }
            ?: throw TypeConversionException("no benchmark is named '$value'; name one of ${Measure.entries.joinToString()}")
    }
}

@Command(name = "bench", mixinStandardHelpOptions = true, description = ["Runs benchmarks and prints the results next to their baselines."])
internal class BenchmarkCommand : Callable<Int> {
    @Parameters(
        arity = "0..*",
        converter = [MeasureConverter::class],
        description = ["Benchmarks to run: \${COMPLETION-CANDIDATES}; default: all"],
    )
    private var measures: List<Measure> = emptyList()

    @Option(names = ["--seed"], description = ["Random seed of the simulated benchmarks"])
    private var seed: Long = 1

    @Option(names = ["--trace"], description = ["CSV file of demand to replay in GROUP: a header, then second, set and counts by expert"])
    private var trace: Path? = null

    override fun call(): Int {
        measures.ifEmpty { Measure.entries }.forEach { measure ->
            when (measure) {
                Measure.PLACEMENT -> benchmarkPlacement(seed)
                Measure.GROUP -> {
                    benchmarkGroupPlacement(trace, seed)
                    benchmarkPlanningTime(seed)
                }

                Measure.PLACEMENT_COST -> benchmarkPlacementCost(seed)
                Measure.GROUP_REPORTS -> benchmarkSingleGroupReports(seed)
                Measure.ROUTING -> benchmarkRouting(seed)
                Measure.CAPACITY -> benchmarkCapacity()
                Measure.SYSTEM -> benchmarkSystem()
                Measure.MOVE -> benchmarkMove()
            }
        }
        return 0
    }
}

/** Runs the benchmarks that [args] name and exits. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(BenchmarkCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}

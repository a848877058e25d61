/*
 * Command that runs the soak.
 */
package io.jaybeam.soak

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

@Command(
    name = "soak/run",
    mixinStandardHelpOptions = true,
    description = ["Plays faulty targets and disrupted entries on real processes and checks what callers and targets see."],
)
internal class SoakCommand : Callable<Int> {
    @Option(names = ["--seed"], description = ["Seed of the schedule"])
    private var seed: Long? = null

    @Option(names = ["--seeds"], paramLabel = "A..B", description = ["Seeds that are played one after the other"])
    private var seeds: String? = null

    @Option(names = ["--seconds"], description = ["Length of the run"])
    private var seconds: Int = 60

    @Option(names = ["--entries"], description = ["Entry processes"])
    private var entries: Int = 6

    @Option(names = ["--targets"], description = ["Stand-in targets"])
    private var targets: Int = 6

    @Option(names = ["--jar"], description = ["Jar of the entries instead of $ENTRY_JAR"])
    private var jar: Path? = null

    override fun call(): Int {
        val root = repositoryRootOrNull()
        val entryJar = jar?.toAbsolutePath() ?: root?.resolve(ENTRY_JAR)
        val drawn = seedsOrNull()
        val fault =
            rangeFault("--seconds", seconds, secondsRange)
                ?: rangeFault("--entries", entries, entriesRange)
                ?: rangeFault("--targets", targets, targetsRange)
                ?: if (entryJar == null || !Files.isRegularFile(entryJar)) JAR_FAULT else null
        if (drawn == null) return usageError(SEEDS_FAULT)
        if (fault != null || root == null || entryJar == null) return usageError(fault ?: JAR_FAULT)
        return drawn.maxOf { play(SoakSettings(it, seconds, entries, targets, root, entryJar, root.resolve("target/soak/$it"))) }
    }

    /** Returns the seeds of the one option that is given; null if it is none or both, or no range. */
    private fun seedsOrNull(): LongRange? {
        val single = seed
        val range = seeds
        return when {
            single != null && range == null -> single..single
            single == null && range != null -> parseRangeOrNull(range)
            else -> null
        }
    }

    private fun play(settings: SoakSettings): Int =
        try {
            report(settings.seed, runSoak(settings, ::println))
        } catch (e: IllegalStateException) {
            usageError("--entries: ${e.message}; look at the logs there, or start fewer")
        }

    private fun rangeFault(name: String, value: Int, range: IntRange) =
        if (value in range) null else "$name: $value is out of range; give a number from ${range.first} to ${range.last}"

    private fun report(seed: Long, result: SoakResult): Int {
        println("seed $seed: ${result.figures}")
        result.brokenRules.forEach { println("$it seed=$seed") }
        return if (result.brokenRules.isEmpty()) 0 else 1
    }
}

private fun usageError(line: String): Int {
    System.err.println(line)
    return 2
}

private fun parseRangeOrNull(text: String): LongRange? {
    val ends = text.split("..").map { it.toLongOrNull() ?: return null }
    return if (ends.size == 2 && ends[0] <= ends[1]) ends[0]..ends[1] else null
}

private const val SEEDS_FAULT = "--seed or --seeds: give one of them, such as --seed 3 or --seeds 1..50"
private const val JAR_FAULT = "--jar: the entries' jar is missing; build it with mvn -o -q -B -DskipTests package, or give its path"
private val secondsRange = 1..86_400
private val entriesRange = 1..64
private val targetsRange = 1..64

/** Runs the soak with the options in [args] and exits with its result. */
public fun main(args: Array<String>) {
    val command = CommandLine(SoakCommand())
    command.setParameterExceptionHandler { fault, _ ->
        usageError("${fault.message.orEmpty().lineSequence().first()}; see soak/run --help for the options and their values")
    }
    exitProcess(command.execute(*args))
}

/*
 * An operating-system process that a scenario starts, freezes and ends.
 */
package io.jaybeam.scenarios

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A child JVM that runs with this JVM's class path. */
public class ManagedProcess private constructor(
    /** Name used in messages and as the name of the output file. */
    public val name: String,
    private val process: Process,
    private val output: Path,
) {
    /** Whether the process is running. */
    public val isAlive: Boolean get() = process.isAlive

    /** Process id. */
    public val pid: Long get() = process.pid()

    /** Exit code of a process that has ended. */
    public val exitCode: Int get() = process.exitValue()

    /** Sends SIGTERM. */
    public fun terminate() {
        process.destroy()
    }

    /** Sends SIGKILL and waits for the process to exit. */
    public fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Suspends the process with SIGSTOP. */
    public fun freeze() {
        sendSignal("-STOP")
    }

    /** Resumes the process with SIGCONT. */
    public fun thaw() {
        sendSignal("-CONT")
    }

    /** Waits up to [timeoutMillis] for the process to exit; returns whether it did. */
    public fun awaitExit(timeoutMillis: Long): Boolean = process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)

    /** Returns the standard output and standard error of the process so far. */
    public fun outputText(): String = Files.readString(output)

    private fun sendSignal(option: String) {
        ProcessBuilder("kill", option, "$pid").start().waitFor()
    }

    /** Starts processes. */
    public companion object {
        private val classPath: String = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

        /** Starts a JVM for [mainClass] with a heap of at most [heapMegabytes]; its output is appended to a file in [directory]. */
        public fun start(
            name: String,
            mainClass: String,
            arguments: List<String>,
            directory: Path,
            heapMegabytes: Int,
        ): ManagedProcess {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val options = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k", "-Xmx${heapMegabytes}m", "-Xshare:auto")
            val output = directory.resolve("$name.log")
            val builder = ProcessBuilder(listOf(java) + options + listOf("-cp", classPath, mainClass) + arguments)
            val process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile())).start()
            return ManagedProcess(name, process, output)
        }
    }
}

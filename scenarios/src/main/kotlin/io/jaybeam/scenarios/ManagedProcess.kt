/*
 * One operating-system process that a scenario starts, freezes and ends by its id.
 */
package io.jaybeam.scenarios

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A JVM started from this JVM's class path. */
public class ManagedProcess private constructor(
    /** Name in messages and of the output file. */
    public val name: String,
    private val process: Process,
    private val output: Path,
) {
    /** Whether the process runs. */
    public val isAlive: Boolean get() = process.isAlive

    /** Operating-system id. */
    public val pid: Long get() = process.pid()

    /** Exit code of a process that has ended. */
    public val exitCode: Int get() = process.exitValue()

    /** Sends SIGTERM. */
    public fun terminate() {
        process.destroy()
    }

    /** Sends SIGKILL and waits for the end. */
    public fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Sends SIGSTOP. */
    public fun freeze() {
        signal("-STOP")
    }

    /** Sends SIGCONT. */
    public fun thaw() {
        signal("-CONT")
    }

    /** Waits up to [timeoutMillis] for the end; returns whether it came. */
    public fun awaitExit(timeoutMillis: Long): Boolean = process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)

    /** Returns what the process has written. */
    public fun outputText(): String = Files.readString(output)

    private fun signal(option: String) {
        ProcessBuilder("kill", option, "$pid").start().waitFor()
    }

    /** Starts processes. */
    public companion object {
        private val classPath: String = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

        /** Starts the JVM class [mainClass] with [arguments] and at most [heapMegabytes] of heap. */
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

/*
 * An entry as a process of its own, started with the command of the deploy file.
 */
package io.jaybeam.soak

import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** Something done to a process from [fromNanos] on, until it was over. */
internal class Interruption(
    val disruption: Disruption,
    val fromNanos: Long,
) {
    @Volatile
    var untilNanos: Long = Long.MAX_VALUE
}

/** Ports that all entries have, each on its own address. */
internal class EntryPorts {
    val front: Int
    val ready: Int
    val control: Int
    val internal: Int
    val metrics: Int

    init {
        val sockets = List(PORT_COUNT) { ServerSocket(0) }
        val ports = sockets.map { it.localPort }.iterator()
        front = ports.next()
        ready = ports.next()
        control = ports.next()
        internal = ports.next()
        metrics = ports.next()
        sockets.forEach { it.close() }
    }
}

private const val PORT_COUNT = 5

internal class EntryProcess(
    private val number: Int,
    private val ports: EntryPorts,
    private val settings: SoakSettings,
    storeAddress: String,
) {
    private val host = hostOf(number)
    private val settingsFile: Path = settings.recordDirectory.resolve("entry-$number.conf")
    private val log = settings.recordDirectory.resolve("entry-$number.log").toFile()
    private val command = entryCommand(settings)

    @Volatile
    private var process: Process? = null

    val name: String = "entry-$number"

    /** Address for callers. */
    val address: InetSocketAddress = InetSocketAddress(host, ports.front)

    @Volatile
    private var readySinceNanos: Long? = null

    /** Whether the process runs and was last seen ready. */
    val isReady: Boolean get() = readySinceNanos != null

    /** How long the process has been ready. */
    val readyMillis: Long get() = readySinceNanos?.let { (System.nanoTime() - it) / NANOS_PER_MILLI } ?: 0

    /** What was done to the process, in the order of time. */
    val interruptions: MutableList<Interruption> = CopyOnWriteArrayList()

    @Volatile
    private var isBeingEnded = false
    private var isClosed = false

    /** Whether the process has ended by itself. */
    val hasEnded: Boolean get() = !isBeingEnded && process?.isAlive == false

    init {
        Files.writeString(settingsFile, settingsText(storeAddress))
    }

    /** Starts the process, unless the run is over. */
    @Synchronized
    fun start() {
        if (isClosed) return
        if (process != null) Files.writeString(settingsFile, Files.readString(settingsFile).replace("bootstrap=true", "bootstrap=false"))
        val builder = ProcessBuilder(command).directory(settings.root.toFile())
        builder.environment().keys.retainAll(setOf("PATH", "HOME", "JAVA_HOME", "LANG"))
        builder.environment()["JAYBEAM_SETTINGS"] = "$settingsFile"
        builder.environment()["JAYBEAM_METRICS_PORT"] = "${ports.metrics}"
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start()
        isBeingEnded = false
    }

    /** Ends the process for good. */
    fun close() {
        synchronized(this) { isClosed = true }
        kill()
    }

    /** Sends SIGKILL as a part of [disruption]. */
    fun kill(disruption: Disruption = Disruption.KILL) {
        interrupted(disruption) { end { it.destroyForcibly().waitFor() } }
    }

    /** Sends SIGTERM, waits until the process has ended, and kills it if it has not done so after its grace period. */
    fun stop() {
        interrupted(Disruption.STOP) {
            end {
                it.destroy()
                if (!it.waitFor(STOP_LIMIT_SECONDS, TimeUnit.SECONDS)) kill()
            }
        }
    }

    /** Halts the process for [millis]. */
    fun pause(millis: Long) {
        val paused = process ?: return
        interrupted(Disruption.PAUSE) {
            signal(paused, "STOP")
            Thread.sleep(millis)
            signal(paused, "CONT")
        }
    }

    private fun end(wait: (Process) -> Unit) {
        isBeingEnded = true
        readySinceNanos = null
        process?.let(wait)
    }

    private fun interrupted(disruption: Disruption, action: () -> Unit) {
        val interruption = Interruption(disruption, System.nanoTime())
        interruptions += interruption
        action()
        interruption.untilNanos = System.nanoTime()
    }

    private fun signal(target: Process, name: String) {
        ProcessBuilder("kill", "-$name", "${target.pid()}").start().waitFor()
    }

    /** Asks the process whether it is ready. */
    fun checkReady() {
        val asked = process
        val isNowReady =
            try {
                val connection = URI("http://$host:${ports.ready}/v1/ready").toURL().openConnection() as HttpURLConnection
                connection.connectTimeout = READY_TIMEOUT_MILLIS
                connection.readTimeout = READY_TIMEOUT_MILLIS
                connection.responseCode == 200
            } catch (e: IOException) {
                false
            }
        // A process that was killed while it answered is not ready.
        val isCurrent = asked === process && asked?.isAlive == true
        readySinceNanos = if (isNowReady && isCurrent && !isBeingEnded) readySinceNanos ?: System.nanoTime() else null
    }

    private fun settingsText(storeAddress: String): String {
        val seeds = (1..SEED_COUNT).joinToString(",") { "${hostOf(it)}:${ports.control}" }
        return """
            node=front-$ZONE-$number
            role=entry
            machineClass=front
            ip=$host
            zone=$ZONE
            region=r
            zones.$ZONE=r
            internalPorts=${ports.internal},${ports.internal}
            listen.front=$host:${ports.front}
            listen.ready=$host:${ports.ready}
            listen.control=$host:${ports.control}
            seeds=$seeds
            bootstrap=true
            discovery=platform
            heartbeatMs=1200
            bounds.stableWindowMs=3000
            bounds.drainMs=2000
            bounds.graceS=$GRACE_SECONDS
            bounds.configMs=2000
            bounds.budgetRatio=$BUDGET_RATIO
            bounds.budgetWindowS=$BUDGET_WINDOW_SECONDS
            bounds.budgetSlack=$BUDGET_SLACK
            bounds.requireFence=true
            platform.addr=$storeAddress
            platform.form=log
            """.trimIndent() + "\n"
    }
}

/** The command of the deploy file with the jar of [settings], and the archive of classes beside it. */
private fun entryCommand(settings: SoakSettings): List<String> {
    val deploy = Files.readString(settings.root.resolve(DEPLOY_FILE))
    val run = checkNotNull(entryRun.find(deploy)) { "$DEPLOY_FILE: has no command for the role entry" }
    val archive = ENTRY_JAR.replace(".jar", ".jsa")
    return run.groupValues[1].split(' ').map {
        it.replace(archive, "${settings.jar}".replace(".jar", ".jsa")).replace(ENTRY_JAR, "${settings.jar}")
    }
}

private fun hostOf(number: Int) = "127.0.1.$number"

private val entryRun = Regex("\\[roles\\.entry]\\s+run = \"([^\"]*)\"")
private const val SEED_COUNT = 3
private const val GRACE_SECONDS = 8
private const val STOP_LIMIT_SECONDS = GRACE_SECONDS + 1L
internal const val NANOS_PER_MILLI = 1_000_000
private const val READY_TIMEOUT_MILLIS = 500

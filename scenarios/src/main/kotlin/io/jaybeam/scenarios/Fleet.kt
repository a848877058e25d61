/*
 * Starts the stand-ins, entries and sides of one site as separate processes on loopback, and ends them all.
 */
package io.jaybeam.scenarios

import io.jaybeam.core.config.ChangeSigner
import io.jaybeam.core.config.ChangeVerifier
import io.jaybeam.core.config.ConfigChange
import io.jaybeam.core.config.ConfigRecord
import io.jaybeam.core.config.NO_VERSION
import io.jaybeam.core.config.recordJson
import io.jaybeam.runtime.config.CONFIG_STREAM
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import io.jaybeam.runtime.log.LogClient
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.security.KeyPairGenerator
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val HOST = "127.0.0.1"
private const val ENTRY_MAIN = "io.jaybeam.entry.MainKt"
private const val SIDE_MAIN = "io.jaybeam.side.SideCommandKt"
private const val STAND_IN_MAIN = "io.jaybeam.standins.MainKt"
private const val STAND_IN_HEAP_MEGABYTES = 64
private const val PRODUCT_HEAP_MEGABYTES = 96
private const val START_MILLIS = 45_000L
private const val POLL_MILLIS = 50L
private const val CLI_MILLIS = 60_000L
private const val EXIT_MILLIS = 20_000L

/** One target with the side process beside it. */
public class TargetPair internal constructor(
    /** Instance name. */
    public val instance: String,
    /** Data centre of the instance. */
    public val dataCentre: String,
    /** Service that the target serves. */
    public val service: String,
    internal val targetPort: Int,
    internal val linkPort: Int,
    internal val adminPort: Int,
) {
    /** Phase in the instance list. */
    public var phase: String = "LIVE"

    /** URL of the target itself. */
    public val targetUrl: String get() = "http://$HOST:$targetPort"

    /** URL of the side's admin port. */
    public val adminUrl: String get() = "http://$HOST:$adminPort"
}

/** One entry. */
public class EntryInstance internal constructor(
    /** Instance name. */
    public val instance: String,
    internal val dataCentre: String,
    internal val callerPort: Int,
    internal val adminPort: Int,
) {
    /** URL that callers use. */
    public val url: String get() = "http://$HOST:$callerPort"

    /** URL of the admin port. */
    public val adminUrl: String get() = "http://$HOST:$adminPort"
}

/** What an operator's subcommand printed. */
public data class CommandResult(
    val exitCode: Int,
    val text: String,
)

/** A running site. Close it to end every process. */
public class Fleet(
    /** What the site consists of. */
    public val plan: FleetPlan,
    private val progress: (String) -> Unit = {},
) : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("jaybeam-fleet")
    private val keys = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
    private val http = singleAttemptClient(HttpTimeouts(readMillis = 5_000, callMillis = 5_000))
    private val processes = ConcurrentHashMap<String, ManagedProcess>()
    private val logPort = freePort()
    private val weightsPort = freePort()

    internal val verifier: ChangeVerifier get() = ChangeVerifier(mapOf("ops" to keys.public))

    /** The entries. */
    public val entries: List<EntryInstance> =
        List(plan.entries) { EntryInstance("entry-${it + 1}", dataCentre(it), freePort(), freePort()) }

    /** Model targets, then plain ones. */
    public val targets: List<TargetPair> =
        List(plan.modelTargets) { target("model-${it + 1}", it, MODEL_SERVICE) } +
            List(plan.plainTargets) { target("booking-${it + 1}", it, PLAIN_SERVICE) }

    internal val relays = FleetRelays(entries, targets, logPort)

    /** The platform's list as it is seen from each data centre that has entries. */
    private val listPortByDataCentre = entries.map { it.dataCentre }.distinct().associateWith { freePort() }

    /** URL of the log stand-in. */
    public val logUrl: String get() = "http://$HOST:$logPort"

    /** URL of the weight store stand-in. */
    public val weightsUrl: String get() = "http://$HOST:$weightsPort"

    /** URLs of the instance list stand-ins. */
    public val listUrls: List<String> get() = listPortByDataCentre.values.map { "http://$HOST:$it" }

    /** Starts the whole site and waits until every entry and side is ready. */
    public fun start() {
        progress("starting ${entries.size} entries and ${targets.size} targets with their sides")
        startPlatform()
        append(ConfigChange.PutBundle("first", NO_VERSION, "desk", plan.bundleText()))
        targets.forEach { startTarget(it) }
        targets.forEach { startSide(it) }
        entries.forEach { startEntry(it) }
        awaitReady()
    }

    /** Starts the platform's stand-ins. */
    public fun startPlatform() {
        progress("starting the platform's stand-ins")
        standIn("log", "log", logPort)
        listPortByDataCentre.forEach { (name, port) -> standIn("instance-list-$name", "instances", port) }
        standIn("weight-store", "weights", weightsPort)
        awaitTrue("log") { get("$logUrl/streams/config?from=0&waitMillis=0") != null }
        awaitTrue("instance list") { listUrls.all { get("$it/instances") != null } }
        publishInstances()
    }

    /** Signs and publishes the plan's bundle by the operators' subcommands. */
    public fun publishBundle(name: String = "first") {
        progress("signing and publishing the bundle")
        val bundle = directory.resolve("bundle-$name.json").also { Files.writeString(it, plan.bundleText(name)) }
        val signed = directory.resolve("bundle-$name.signed.json")
        val sign = operate("bundle", "sign", "--operator", operatorFile("desk"), "$bundle")
        check(sign.exitCode == 0) { "bundle sign failed: ${sign.text}" }
        Files.writeString(signed, sign.text)
        val publish = operate("bundle", "publish", "--operator", operatorFile("desk"), "$signed")
        check(publish.exitCode == 0) { "bundle publish failed: ${publish.text}" }
    }

    /** Appends a signed change to the log without the operators' subcommands; returns whether the log answered. */
    public fun append(change: ConfigChange): Boolean {
        val signed = ChangeSigner("ops", keys.private).sign(change)
        val record = recordJson.encodeToString(ConfigRecord.serializer(), ConfigRecord.Change(signed))
        return LogClient(logUrl).append(CONFIG_STREAM, record).isRight()
    }

    /** Runs an operators' subcommand of the `jaybeam` binary to its end. */
    public fun operate(vararg arguments: String): CommandResult {
        val name = "cli-${System.nanoTime()}"
        val process = ManagedProcess.start(name, ENTRY_MAIN, arguments.toList(), directory, PRODUCT_HEAP_MEGABYTES)
        check(process.awaitExit(CLI_MILLIS)) { "jaybeam ${arguments.joinToString(" ")} did not end" }
        return CommandResult(process.exitCode, process.outputText())
    }

    /** Writes the settings of operator [name] and returns the file's path. */
    public fun operatorFile(name: String): String {
        val file = directory.resolve("operator-$name.json")
        val text =
            """{"operator": "$name", "keyId": "ops", "privateKey": "${encode(keys.private.encoded)}",
            "publicKey": "${encode(keys.public.encoded)}", "logUrl": "$logUrl"}"""
        Files.writeString(file, text)
        return file.toString()
    }

    /** Starts the stand-in of [target]. */
    public fun startTarget(target: TargetPair) {
        val name = "target-${target.instance}"
        if (target.service == MODEL_SERVICE) {
            standIn(name, "engine", target.targetPort, "--profile", plan.engineProfile.replace(FleetPlan.WEIGHTS_PLACEHOLDER, weightsUrl))
        } else {
            standIn(name, "service", target.targetPort)
        }
    }

    /** Starts the side process of [target]. */
    public fun startSide(target: TargetPair) {
        startSide("side-${target.instance}", target, target.linkPort, target.adminPort)
    }

    /** Starts a second side process beside [target] on ports of its own, as a replacement whose predecessor still lives. */
    public fun startReplacement(target: TargetPair) {
        val adminPort = freePort()
        startSide("replacement-${target.instance}", target, freePort(), adminPort)
        awaitTrue("replacement of ${target.instance}") { get("http://$HOST:$adminPort/healthz") != null }
    }

    private fun startSide(
        name: String,
        target: TargetPair,
        linkPort: Int,
        adminPort: Int,
    ) {
        val kind = if (target.service == MODEL_SERVICE) "MODEL" else "PLAIN"
        val text =
            """{${common(target.instance, target.dataCentre, adminPort)}, "linkPort": $linkPort, "queueCapacity": ${plan.queueCapacity},
            "target": {"url": "${target.targetUrl}", "service": "${target.service}", "kind": "$kind"}}"""
        launch(name, SIDE_MAIN, listOf("--settings", settingsFile(name, text)))
    }

    /** Starts [entry]. */
    public fun startEntry(entry: EntryInstance) {
        val text =
            """{${common(entry.instance, entry.dataCentre, entry.adminPort)}, "callerPort": ${entry.callerPort},
            "snapshotIntervalMillis": ${plan.snapshotIntervalMillis}, "drainGraceMillis": 500}"""
        launch(entry.instance, ENTRY_MAIN, listOf("entry", "--settings", settingsFile(entry.instance, text)))
    }

    /** Whether the process called [name] runs. */
    public fun isRunning(name: String): Boolean = processes[name]?.isAlive == true

    /** Waits until every entry is ready and every target takes work from each. */
    public fun awaitReady() {
        progress("waiting for ${entries.size} entries and ${targets.size} sides")
        targets.forEach { target ->
            awaitTrue("side of ${target.instance}") {
                check(isRunning("side-${target.instance}")) { "the side of ${target.instance} ended; ${failures()}" }
                get("${target.adminUrl}/readyz") != null
            }
        }
        entries.forEach { entry ->
            awaitReady(entry)
            awaitTrue("targets of ${entry.instance}") { targetsTakingWork(entry) == targets.size }
        }
    }

    /** Waits until [entry] is ready and linked to every side that runs. */
    public fun awaitReady(entry: EntryInstance) {
        awaitTrue(entry.instance) { get("${entry.adminUrl}/readyz") != null }
        val running = targets.count { processes["side-${it.instance}"]?.isAlive == true }
        awaitTrue("links of ${entry.instance}") { linkedTargets(entry) >= running }
    }

    /** Returns the process called [name]: an entry's name, or `side-` or `target-` with an instance's name. */
    public fun process(name: String): ManagedProcess = checkNotNull(processes[name]) { "no process is called $name" }

    /** Lists each target with its phase. */
    public fun publishInstances() {
        listPortByDataCentre.forEach { (name, port) ->
            val listed =
                targets.joinToString(",") {
                    """{"instance":"${it.instance}","role":"SIDE","dataCentre":"${it.dataCentre}","host":"$HOST",
                    "port":${relays.toSide(name, it).port},"service":"${it.service}","phase":"${it.phase}"}"""
                }
            send("PUT", "http://$HOST:$port/instances", """{"instances":[$listed]}""")
        }
    }

    /** Sets the faults of a stand-in. */
    public fun control(url: String, json: String) {
        send("POST", "$url/control", json)
    }

    /** Sends [json] to [url]. */
    public fun post(url: String, json: String) {
        send("POST", url, json)
    }

    /** Returns the body at [url], or null unless the answer is successful. */
    public fun get(url: String): String? =
        try {
            http.newCall(Request.Builder().url(url).build()).execute().use { if (it.isSuccessful) it.body.string() else null }
        } catch (e: IOException) {
            null
        }

    /** Waits up to [timeoutMillis] until [condition] holds. */
    public fun awaitTrue(what: String, timeoutMillis: Long = START_MILLIS, condition: () -> Boolean) {
        val until = System.nanoTime() + timeoutMillis * 1_000_000
        while (!condition()) {
            check(System.nanoTime() < until) { "$what was not ready within $timeoutMillis ms; ${failures()}" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    /** Sends SIGTERM to every entry and side, and returns the names of those that did not exit with 0. */
    public fun stopGracefully(): List<String> {
        val names = entries.map { it.instance } + targets.map { "side-${it.instance}" }
        val running = names.mapNotNull { processes[it] }.filter { it.isAlive }
        running.forEach { it.terminate() }
        return running.filter { !it.awaitExit(EXIT_MILLIS) || it.exitCode != 0 }.map { it.name }
    }

    override fun close() {
        processes.values.forEach { it.kill() }
        relays.close()
        directory.toFile().deleteRecursively()
    }

    /** Returns the last [characters] that each process wrote. */
    public fun outputTails(characters: Int): String =
        processes.values.joinToString("\n") { "--- ${it.name}\n${it.outputText().takeLast(characters)}" }

    private fun failures(): String =
        processes.values
            .filter { !it.isAlive }
            .joinToString { "${it.name} ended with ${it.exitCode}: ${it.outputText().takeLast(OUTPUT_TAIL)}" }

    private fun dataCentre(index: Int) = plan.dataCentres[index % plan.dataCentres.size]

    private fun target(instance: String, index: Int, service: String) =
        TargetPair(instance, dataCentre(index), service, freePort(), freePort(), freePort())

    private fun common(instance: String, dataCentre: String, adminPort: Int) =
        """"instance": "$instance", "dataCentre": "$dataCentre", "host": "$HOST", "adminPort": $adminPort,
        "platform": {"logUrl": "http://$HOST:${relays.toLog(instance).port}", "instanceListUrl": "${listUrlIn(dataCentre)}"},
        "trustedKeys": [{"keyId": "ops", "publicKey": "${encode(keys.public.encoded)}"}]"""

    /** Sides do not read the list, so one where no entry is may have any. */
    private fun listUrlIn(dataCentre: String) = "http://$HOST:${listPortByDataCentre[dataCentre] ?: listPortByDataCentre.values.first()}"

    private fun settingsFile(instance: String, text: String): String =
        directory.resolve("$instance.json").also { Files.writeString(it, text) }.toString()

    private fun standIn(
        name: String,
        kind: String,
        port: Int,
        vararg more: String,
    ) {
        processes[name] =
            ManagedProcess.start(name, STAND_IN_MAIN, listOf(kind, "--port", "$port") + more, directory, STAND_IN_HEAP_MEGABYTES)
    }

    private fun launch(name: String, mainClass: String, arguments: List<String>) {
        processes[name] = ManagedProcess.start(name, mainClass, arguments, directory, PRODUCT_HEAP_MEGABYTES)
    }

    private fun send(method: String, url: String, json: String) {
        val body = json.toRequestBody("application/json".toMediaType())
        http
            .newCall(
                Request
                    .Builder()
                    .url(url)
                    .method(method, body)
                    .build(),
            ).execute()
            .use { check(it.isSuccessful) { "$url: ${it.code}" } }
    }

    private fun encode(bytes: ByteArray) = Base64.getEncoder().encodeToString(bytes)
}

private const val OUTPUT_TAIL = 600
private const val BACKLOG = 1
private const val FIRST_PORT = 20_000
private const val PORT_COUNT = 12_000
private val nextPort = AtomicInteger(Random.nextInt(PORT_COUNT))

/** Returns a port below the range from which the system takes ports of outgoing connections. */
internal fun freePort(): Int {
    while (true) {
        val port = FIRST_PORT + nextPort.getAndIncrement() % PORT_COUNT
        try {
            ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress()).use { return port }
        } catch (e: IOException) {
            continue
        }
    }
}

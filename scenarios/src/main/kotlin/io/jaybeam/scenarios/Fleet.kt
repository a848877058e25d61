/*
 * A site on the loopback interface: starts its stand-ins, entries and sides as separate processes, and ends them all.
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
import io.jaybeam.standins.freePort
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.KeyPairGenerator
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

private const val HOST = "127.0.0.1"
private const val ENTRY_MAIN = "io.jaybeam.entry.MainKt"
private const val SIDE_MAIN = "io.jaybeam.side.SideCommandKt"
private const val STAND_IN_MAIN = "io.jaybeam.standins.MainKt"
private const val STAND_IN_HEAP_MEGABYTES = 64
private const val PROCESS_HEAP_MEGABYTES = 96
private const val START_TIMEOUT_MILLIS = 45_000L
private const val POLL_INTERVAL_MILLIS = 50L
private const val COMMAND_TIMEOUT_MILLIS = 60_000L
private const val EXIT_TIMEOUT_MILLIS = 20_000L

/** An instance with one target and the side process beside it. */
public class TargetInstance internal constructor(
    /** Instance name. */
    public val instance: String,
    /** Data centre of the instance. */
    public val dataCentre: String,
    /** Name of the service of the target. */
    public val service: String,
    internal val targetPort: Int,
    internal val linkPort: Int,
    internal val adminPort: Int,
) {
    /** Phase to publish in the instance list: LIVE or LEAVING. */
    public var phase: String = "LIVE"

    /** URL of the target itself. */
    public val targetUrl: String get() = "http://$HOST:$targetPort"

    /** URL of the admin port of the side. */
    public val adminUrl: String get() = "http://$HOST:$adminPort"
}

/** An instance with one entry. */
public class EntryInstance internal constructor(
    /** Instance name. */
    public val instance: String,
    internal val dataCentre: String,
    internal val callerPort: Int,
    internal val adminPort: Int,
) {
    /** URL for callers. */
    public val url: String get() = "http://$HOST:$callerPort"

    /** URL of the admin port. */
    public val adminUrl: String get() = "http://$HOST:$adminPort"
}

/** Exit code and output of an operator command. */
public data class CommandResult(
    val exitCode: Int,
    val text: String,
)

/** A running site. [close] kills every process. */
public class Fleet(
    /** Composition of the site. */
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

    /** All entries. */
    public val entries: List<EntryInstance> =
        List(plan.entries) { EntryInstance("entry-${it + 1}", dataCentre(it), freePort(), freePort()) }

    /** All targets: model targets first, then plain ones. */
    public val targets: List<TargetInstance> =
        List(plan.modelTargets) { newTarget("model-${it + 1}", it, MODEL_SERVICE) } +
            List(plan.plainTargets) { newTarget("booking-${it + 1}", it, PLAIN_SERVICE) }

    internal val relays = FleetRelays(entries, targets, logPort)

    /** Port of the instance list stand-in for each data centre that has entries. */
    private val listPortByDataCentre = entries.map { it.dataCentre }.distinct().associateWith { freePort() }

    /** URL of the log stand-in. */
    public val logUrl: String get() = "http://$HOST:$logPort"

    /** URL of the weight store stand-in. */
    public val weightsUrl: String get() = "http://$HOST:$weightsPort"

    /** URLs of the instance list stand-ins. */
    public val listUrls: List<String> get() = listPortByDataCentre.values.map { "http://$HOST:$it" }

    /** Starts the complete site and waits until every entry and side is ready. Ends what it has started if that fails. */
    public fun start() {
        try {
            startProcesses()
        } catch (e: Exception) {
            close()
            throw e
        }
    }

    private fun startProcesses() {
        progress("starting ${entries.size} entries and ${targets.size} targets with their sides")
        startPlatformStandIns()
        appendChange(ConfigChange.PutBundle("first", NO_VERSION, "desk", plan.bundleText()))
        targets.forEach { startTarget(it) }
        targets.forEach { startSide(it) }
        entries.forEach { startEntry(it) }
        awaitReady()
    }

    /** Starts the stand-ins for the platform's services and publishes the instance list. */
    public fun startPlatformStandIns() {
        progress("starting the stand-ins for the platform")
        startStandIn("log", "log", logPort)
        listPortByDataCentre.forEach { (name, port) -> startStandIn("instance-list-$name", "instances", port) }
        startStandIn("weight-store", "weights", weightsPort)
        awaitCondition("log") { get("$logUrl/streams/config?from=0&waitMillis=0") != null }
        awaitCondition("instance list") { listUrls.all { get("$it/instances") != null } }
        publishInstances()
    }

    /** Signs and publishes the plan's bundle under [name] with the operator commands. */
    public fun publishBundle(name: String = "first") {
        progress("signing and publishing the bundle")
        val bundle = directory.resolve("bundle-$name.json").also { Files.writeString(it, plan.bundleText(name)) }
        val signed = directory.resolve("bundle-$name.signed.json")
        val sign = runOperatorCommand("bundle", "sign", "--operator", operatorSettingsFile("desk"), "$bundle")
        check(sign.exitCode == 0) { "bundle sign failed: ${sign.text}" }
        Files.writeString(signed, sign.text)
        val publish = runOperatorCommand("bundle", "publish", "--operator", operatorSettingsFile("desk"), "$signed")
        check(publish.exitCode == 0) { "bundle publish failed: ${publish.text}" }
    }

    /** Signs [change] and appends it to the log directly; returns whether the log confirmed it. */
    public fun appendChange(change: ConfigChange): Boolean {
        val signed = ChangeSigner("ops", keys.private).sign(change)
        val record = recordJson.encodeToString(ConfigRecord.serializer(), ConfigRecord.Change(signed))
        return LogClient(logUrl).append(CONFIG_STREAM, record).isRight()
    }

    /** Runs the operator command `jaybeam` with [arguments] and waits for it to exit. */
    public fun runOperatorCommand(vararg arguments: String): CommandResult {
        val name = "cli-${System.nanoTime()}"
        val process = ManagedProcess.start(name, ENTRY_MAIN, arguments.toList(), directory, PROCESS_HEAP_MEGABYTES)
        check(process.awaitExit(COMMAND_TIMEOUT_MILLIS)) { "jaybeam ${arguments.joinToString(" ")} timed out" }
        return CommandResult(process.exitCode, process.outputText())
    }

    /** Writes the settings file of operator [name] and returns its path. */
    public fun operatorSettingsFile(name: String): String {
        val file = directory.resolve("operator-$name.json")
        val text =
            """{"operator": "$name", "keyId": "ops", "privateKey": "${base64(keys.private.encoded)}",
            "publicKey": "${base64(keys.public.encoded)}", "logUrl": "$logUrl"}"""
        Files.writeString(file, text)
        return file.toString()
    }

    /** Starts the stand-in for [target]. */
    public fun startTarget(target: TargetInstance) {
        val name = "target-${target.instance}"
        if (target.service == MODEL_SERVICE) {
            startStandIn(
                name,
                "engine",
                target.targetPort,
                "--profile",
                plan.engineProfile.replace(FleetPlan.WEIGHTS_PLACEHOLDER, weightsUrl),
            )
        } else {
            startStandIn(name, "service", target.targetPort)
        }
    }

    /** Starts the side process of [target]. */
    public fun startSide(target: TargetInstance) {
        startSide("side-${target.instance}", target, target.linkPort, target.adminPort)
    }

    /** Starts a second side process for [target] on its own ports, as a replacement does while its predecessor is still running. */
    public fun startReplacementSide(target: TargetInstance) {
        val adminPort = freePort()
        startSide("replacement-${target.instance}", target, freePort(), adminPort)
        awaitCondition("replacement of ${target.instance}") { get("http://$HOST:$adminPort/healthz") != null }
    }

    private fun startSide(
        name: String,
        target: TargetInstance,
        linkPort: Int,
        adminPort: Int,
    ) {
        val kind = if (target.service == MODEL_SERVICE) "MODEL" else "PLAIN"
        val text =
            """{${baseFields(target.instance, target.dataCentre, adminPort)}, "linkPort": $linkPort, "queueCapacity": ${plan.queueCapacity},
            "target": {"url": "${target.targetUrl}", "service": "${target.service}", "kind": "$kind"}}"""
        startProcess(name, SIDE_MAIN, listOf("--settings", settingsFile(name, text)))
    }

    /** Starts the process of [entry]. */
    public fun startEntry(entry: EntryInstance) {
        val text =
            """{${baseFields(entry.instance, entry.dataCentre, entry.adminPort)}, "callerPort": ${entry.callerPort},
            "snapshotIntervalMillis": ${plan.snapshotIntervalMillis}, "drainGraceMillis": 500}"""
        startProcess(entry.instance, ENTRY_MAIN, listOf("entry", "--settings", settingsFile(entry.instance, text)))
    }

    /** Returns whether the process called [name] is running. */
    public fun isRunning(name: String): Boolean = processes[name]?.isAlive == true

    /** Waits until every side and entry is ready, and every entry may send work to every target. */
    public fun awaitReady() {
        progress("waiting for ${entries.size} entries and ${targets.size} sides")
        targets.forEach { target ->
            awaitCondition("side of ${target.instance}") {
                check(isRunning("side-${target.instance}")) { "side of ${target.instance} exited during the start; ${exitedProcesses()}" }
                get("${target.adminUrl}/readyz") != null
            }
        }
        entries.forEach { entry ->
            awaitReady(entry)
            awaitCondition("targets of ${entry.instance}") { acceptingTargetCount(entry) == targets.size }
        }
    }

    /** Waits until [entry] is ready and linked to every running side. */
    public fun awaitReady(entry: EntryInstance) {
        awaitCondition(entry.instance) { get("${entry.adminUrl}/readyz") != null }
        val running = targets.count { processes["side-${it.instance}"]?.isAlive == true }
        awaitCondition("links of ${entry.instance}") { linkedTargetCount(entry) >= running }
    }

    /** Returns the process called [name]: the instance name of an entry, or `side-` or `target-` followed by that of a target. */
    public fun process(name: String): ManagedProcess = checkNotNull(processes[name]) { "no process named $name was started" }

    /** Publishes all targets with their phases to every instance list. */
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

    /** Sets the faults of the stand-in at [url]. */
    public fun setFaults(url: String, json: String) {
        send("POST", "$url/control", json)
    }

    /** Posts [json] to [url]. */
    public fun post(url: String, json: String) {
        send("POST", url, json)
    }

    /** Returns the body at [url], or null if the request fails. */
    public fun get(url: String): String? =
        try {
            http.newCall(Request.Builder().url(url).build()).execute().use { if (it.isSuccessful) it.body.string() else null }
        } catch (e: IOException) {
            null
        }

    /** Polls until [condition] holds; fails after [timeoutMillis] with a message that names [what]. */
    public fun awaitCondition(what: String, timeoutMillis: Long = START_TIMEOUT_MILLIS, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "timed out after $timeoutMillis ms waiting for $what; ${exitedProcesses()}" }
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
    }

    /** Sends SIGTERM to every running entry and side; returns the names of those that did not exit with code 0 in time. */
    public fun stopGracefully(): List<String> {
        val names = entries.map { it.instance } + targets.map { "side-${it.instance}" }
        val running = names.mapNotNull { processes[it] }.filter { it.isAlive }
        running.forEach { it.terminate() }
        return running.filter { !it.awaitExit(EXIT_TIMEOUT_MILLIS) || it.exitCode != 0 }.map { it.name }
    }

    override fun close() {
        processes.values.forEach { it.kill() }
        relays.close()
        directory.toFile().deleteRecursively()
    }

    /** Returns the last [characters] characters of the output of each process. */
    public fun outputTails(characters: Int): String =
        processes.values.joinToString("\n") { "--- ${it.name}\n${it.outputText().takeLast(characters)}" }

    private fun exitedProcesses(): String =
        processes.values
            .filter { !it.isAlive }
            .joinToString { "${it.name} exited with code ${it.exitCode}: ${it.outputText().takeLast(OUTPUT_TAIL_CHARACTERS)}" }

    private fun dataCentre(index: Int) = plan.dataCentres[index % plan.dataCentres.size]

    private fun newTarget(instance: String, index: Int, service: String) =
        TargetInstance(instance, dataCentre(index), service, freePort(), freePort(), freePort())

    private fun baseFields(instance: String, dataCentre: String, adminPort: Int) =
        """"instance": "$instance", "dataCentre": "$dataCentre", "host": "$HOST", "adminPort": $adminPort,
        "platform": {"logUrl": "http://$HOST:${relays.toLog(instance).port}", "instanceListUrl": "${listUrlIn(dataCentre)}"},
        "trustedKeys": [{"keyId": "ops", "publicKey": "${base64(keys.public.encoded)}"}]"""

    /** Returns the instance list for [dataCentre], or any list if it has no entries, as sides do not read the list. */
    private fun listUrlIn(dataCentre: String) = "http://$HOST:${listPortByDataCentre[dataCentre] ?: listPortByDataCentre.values.first()}"

    private fun settingsFile(instance: String, text: String): String =
        directory.resolve("$instance.json").also { Files.writeString(it, text) }.toString()

    private fun startStandIn(
        name: String,
        kind: String,
        port: Int,
        vararg extraArguments: String,
    ) {
        processes[name] =
            ManagedProcess.start(name, STAND_IN_MAIN, listOf(kind, "--port", "$port") + extraArguments, directory, STAND_IN_HEAP_MEGABYTES)
    }

    private fun startProcess(name: String, mainClass: String, arguments: List<String>) {
        processes[name] = ManagedProcess.start(name, mainClass, arguments, directory, PROCESS_HEAP_MEGABYTES)
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

    private fun base64(bytes: ByteArray) = Base64.getEncoder().encodeToString(bytes)
}

private const val OUTPUT_TAIL_CHARACTERS = 600

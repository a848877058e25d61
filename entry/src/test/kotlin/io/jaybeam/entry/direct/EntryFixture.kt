/*
 * Runs an entry on loopback between scripted targets and callers that read their answers byte by byte.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetLimits
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.standins.freePort
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import kotlin.test.AfterTest
import kotlin.time.Clock

private const val HOST = "127.0.0.1"
private const val LINK_MILLIS = 300L
private const val READY_LIMIT_MILLIS = 30_000L

/** An answer as a caller received it. */
internal class CallerAnswer(
    val status: Int,
    val headers: List<String>,
    val body: String,
    val isComplete: Boolean,
)

/** Starts entries for tests and closes all that a test has opened. */
internal abstract class EntryFixture {
    private val resources = mutableListOf<AutoCloseable>()

    /** What is thrown while a request to the route `/failing/` is served; null if entries that start have no such route. */
    @Volatile
    protected var routingFailure: Throwable? = null

    /** Configurations that the store gives each entry after the first one. */
    protected val publications = LinkedBlockingQueue<FleetConfig>()
    protected val entries = mutableListOf<DirectEntry>()

    private val laterUpdates = CopyOnWriteArrayList<TargetUpdate>()

    protected fun <T : AutoCloseable> closedAfterTest(resource: T): T = resource.also { resources += it }

    @AfterTest
    fun close() = resources.forEach { it.close() }

    protected fun scriptedTarget(answer: (ReceivedRequest, java.io.OutputStream) -> Unit) = ScriptedTarget(answer).also { resources += it }

    /** Announces a target with [id] at [port] through the store. */
    protected fun announce(
        id: String,
        service: String,
        port: Int,
        startedAtEpochMillis: Long = 0,
    ) {
        laterUpdates +=
            TargetUpdate.Announced(
                target(id, service, port).copy(
                    startedAtEpochMillis = startedAtEpochMillis,
                    announcedPosition = 1L + laterUpdates.size,
                ),
            )
    }

    protected fun startEntry(vararg targets: ScriptedTarget, graceMillis: Long = 1_000): Int {
        val (entry, ports) = newEntry(*targets, graceMillis = graceMillis)
        return start(entry, ports)
    }

    /** Returns the callers' port of an entry whose peers are at [seedAddresses]. */
    protected fun startEntryWithPeers(target: ScriptedTarget, seedAddresses: List<HostPort>): Int {
        val (entry, ports) = newEntry(listOf(target.port), peerAddress = HostPort(HOST, freePort()), seedAddresses = seedAddresses)
        return start(entry, ports)
    }

    /** Returns the callers' ports of two linked entries that send to [targetPorts]. */
    protected fun startLinkedEntries(targetPorts: List<Int>): List<Int> {
        val peers = List(2) { HostPort(HOST, freePort()) }
        val started = peers.map { newEntry(targetPorts, peerAddress = it, seedAddresses = peers - it) }
        started.forEach { (entry, ports) -> start(entry, ports) }
        // The second entry connects to the first as it starts.
        Thread.sleep(LINK_MILLIS)
        return started.map { (_, ports) -> ports[0] }
    }

    private fun start(entry: DirectEntry, ports: List<Int>): Int {
        entry.start()
        awaitReady(ports[1])
        return ports[0]
    }

    /** Waits until the entry with this [readinessPort] is ready. */
    protected fun awaitReady(readinessPort: Int) {
        val startedNanos = System.nanoTime()
        while (true) {
            val status = Caller(readinessPort).call("GET", "/v1/ready").status
            if (status == 200) return
            val waitedMillis = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI
            check(waitedMillis < READY_LIMIT_MILLIS) { "not ready after $waitedMillis ms; the last answer was $status" }
            Thread.sleep(10)
        }
    }

    /** Returns an entry that has not been started, and its ports for callers, for readiness checks and for operators. */
    protected fun newEntry(
        vararg targets: ScriptedTarget,
        graceMillis: Long = 1_000,
        startsWithoutConfiguration: Boolean = false,
    ): Pair<DirectEntry, List<Int>> = newEntry(targets.map { it.port }, graceMillis, startsWithoutConfiguration)

    private fun newEntry(
        targetPorts: List<Int>,
        graceMillis: Long = 1_000,
        startsWithoutConfiguration: Boolean = false,
        peerAddress: HostPort = HostPort(HOST, 0),
        seedAddresses: List<HostPort> = emptyList(),
    ): Pair<DirectEntry, List<Int>> {
        val ports = List(3) { freePort() }
        val settings =
            InstanceSettings(
                instance = "entry-1",
                dataCentre = "north",
                host = HOST,
                callerAddress = HostPort(HOST, ports[0]),
                readinessAddress = HostPort(HOST, ports[1]),
                peerAddress = peerAddress,
                seedAddresses = seedAddresses,
                targetAddress = null,
                targetService = null,
                storeAddress = HostPort(HOST, 1),
                limits =
                    FleetLimits(
                        shutdownGraceMillis = graceMillis,
                        retryPercent = 20,
                        retrySlack = 90,
                        retryWindowMillis = 10_000,
                        isFencingRequired = true,
                    ),
                operatorAddress = HostPort(HOST, ports[2]),
            )
        val entry =
            DirectEntry(
                settings,
                FixedStore(
                    targetPorts.mapIndexed { index, port -> target("t$index", "plain", port) },
                    laterUpdates,
                    isConfigSilent = startsWithoutConfiguration,
                    publications = publications,
                    routingFailure = routingFailure,
                ),
                Clock.System,
            )
        entries += entry
        resources += AutoCloseable { entry.stop() }
        return entry to ports
    }

    protected fun connectCaller(port: Int) = Caller(port).also { caller -> resources += AutoCloseable { caller.socket.close() } }
}

/** A caller with one connection to the entry. */
internal class Caller(
    port: Int,
) {
    val socket = Socket(HOST, port)
    private val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)

    fun call(
        method: String,
        path: String,
        key: String = "key-1",
        body: String = "",
        requestId: String? = "r1",
    ): CallerAnswer {
        send(method, path, key, body, requestId = requestId)
        return read()
    }

    fun send(
        method: String,
        path: String,
        key: String = "key-1",
        body: String = "",
        version: String = "HTTP/1.1",
        headers: List<String> = emptyList(),
        requestId: String? = "r1",
    ) {
        val head =
            listOfNotNull("$method $path $version", "Host: shop.example", requestId?.let { "Request-Id: $it" }, "Deadline-Ms: 5000") +
                listOf("Authorization: Bearer $key", "Content-Length: ${body.length}") + headers
        socket.getOutputStream().write((head.joinToString("\r\n") + "\r\n\r\n" + body).encodeToByteArray())
    }

    /** Reads an answer that has no body, whatever its headers state. */
    fun readHead(): CallerAnswer {
        val status = input.readLine().split(' ')[1].toInt()
        val headers = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        return CallerAnswer(status, headers, "", isComplete = true)
    }

    fun read(): CallerAnswer {
        val (status, headers) = readHead().let { it.status to it.headers }
        val length =
            headers
                .firstOrNull { it.startsWith("Content-Length:") }
                ?.substringAfter(':')
                ?.trim()
                ?.toInt()
        if (length != null) return readLength(status, headers, length)
        return if ("Transfer-Encoding: chunked" in headers) readChunks(status, headers) else readUntilClosed(status, headers)
    }

    /** Reads an answer of [length] bytes: complete unless the connection ends before them. */
    private fun readLength(status: Int, headers: List<String>, length: Int): CallerAnswer {
        val body = readText(length)
        return CallerAnswer(status, headers, body, isComplete = body.length == length)
    }

    /** Reads an answer that ends with its connection: complete unless the connection is reset. */
    private fun readUntilClosed(status: Int, headers: List<String>): CallerAnswer {
        val body = StringBuilder()
        while (true) {
            val character = runCatching { input.read() }.getOrElse { return CallerAnswer(status, headers, "$body", isComplete = false) }
            if (character < 0) return CallerAnswer(status, headers, "$body", isComplete = true)
            body.append(character.toChar())
        }
    }

    private fun readChunks(status: Int, headers: List<String>): CallerAnswer {
        val body = StringBuilder()
        while (true) {
            val size =
                runCatching { input.readLine() }.getOrNull()?.trim()?.toInt(16) ?: return CallerAnswer(status, headers, "$body", false)
            body.append(readText(size))
            input.readLine()
            if (size == 0) return CallerAnswer(status, headers, "$body", isComplete = true)
        }
    }

    /** Reads [length] characters, or fewer if the connection ends before them. */
    private fun readText(length: Int): String =
        generateSequence { runCatching { input.read() }.getOrDefault(-1).takeIf { it >= 0 }?.toChar() }
            .take(length)
            .joinToString("")
}

package io.jaybeam.entry.direct

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.fleet.CallerLimits
import io.jaybeam.core.fleet.CoordinatorTerm
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetLimits
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.InstanceSettings
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.Organisation
import io.jaybeam.core.fleet.Route
import io.jaybeam.core.fleet.RouteKind
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.core.fleet.WeightedService
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val HOST = "127.0.0.1"
private const val ROUTE_TIMEOUT_MILLIS = 900L

private fun route(
    prefix: String,
    kind: RouteKind,
    service: String,
    maxTargets: Int,
) = Route(
    prefix,
    "shop.example",
    prefix,
    kind,
    ROUTE_TIMEOUT_MILLIS,
    100,
    1,
    listOf(WeightedService(service, 1)),
    maxTargets,
    false,
    true,
    0,
)

private fun target(id: String, service: String, port: Int) =
    FleetTarget(id, service, HOST, port, "north", 8, isDraining = false, remainingColdStartMillis = 0, startedAtEpochMillis = 0)

/** A store that holds one configuration and some targets and never changes. */
private class FixedStore(
    targets: List<FleetTarget>,
) : FleetStore {
    private val config =
        FleetConfig(
            version = 7,
            routes =
                listOf(
                    route("/safe/", RouteKind.IDEMPOTENT, "plain", maxTargets = 2),
                    route("/once/", RouteKind.AT_MOST_ONCE, "plain", maxTargets = 2),
                    route("/stream/", RouteKind.STREAM, "plain", maxTargets = 2),
                ),
            services = emptyList(),
            organisations = listOf(Organisation("lens", setOf("key-1"))),
            callerLimits = CallerLimits(16_384, 1_000, 3_000, 15_000),
        )
    private val notices = targets.map { TargetUpdate.Announced(it) }

    override fun readLatestTargets(): Either<StoreFault, LogPage<TargetUpdate>> = LogPage(notices, 1, emptyList()).right()

    override fun readTargetsFrom(position: Long): Either<StoreFault, LogPage<TargetUpdate>> =
        LogPage(emptyList<TargetUpdate>(), position, emptyList()).right()

    override fun readLatestOperatorUpdates(): Either<StoreFault, LogPage<OperatorUpdate>> =
        LogPage(listOf(OperatorUpdate.Published(config)), 1, emptyList()).right()

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>> {
        Thread.sleep(waitMillis)
        return LogPage(emptyList<OperatorUpdate>(), position, emptyList()).right()
    }

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> = StoreFault.Refused("not asked here").left()

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = null.right()
}

/** An answer as a caller read it. */
private class CallerAnswer(
    val status: Int,
    val headers: List<String>,
    val body: String,
    val isWhole: Boolean,
)

internal class DirectEntryTest {
    private val closing = mutableListOf<AutoCloseable>()
    private val stopping = mutableListOf<DirectEntry>()

    @AfterTest
    fun close() = closing.forEach { it.close() }

    @Test
    fun `a request reaches its target with the entry's headers and without the key`() {
        val target = scripted { request, out -> out.answer(request, "200 OK", "hold", "Response-Seal: s1") }
        val answer = callerOf(entryBefore(target)).call("POST", "/once/a%20b?x=1", body = "lens")
        assertEquals("POST /once/a%20b?x=1 HTTP/1.1", target.requests.single().line)
        val headers = target.requests.single().headers
        assertEquals(
            listOf("t0", "lens", "r1", null),
            listOf("expect-instance", "tenant", "request-id", "authorization").map { headers[it] },
        )
        assertTrue(headers.getValue("deadline-ms").toLong() in 1..ROUTE_TIMEOUT_MILLIS)
        assertEquals(200, answer.status)
        assertEquals("hold", answer.body)
        assertTrue("Response-Seal: s1" in answer.headers)
    }

    @Test
    fun `an unknown key and an unknown path are refused without a target`() {
        val target = scripted { request, out -> out.answer(request, "200 OK", "") }
        val entry = entryBefore(target)
        assertEquals(401, callerOf(entry).call("GET", "/safe/x", key = "stolen").status)
        assertEquals(404, callerOf(entry).call("GET", "/nowhere/x").status)
        assertEquals(0, target.requests.size)
    }

    @Test
    fun `a request that must run once goes on only after a target said that it did not run`() {
        val refusing = scripted { request, out -> out.answer(request, "503 Service Unavailable", "", "Not-Run: 1") }
        val refusingToo = scripted { request, out -> out.answer(request, "503 Service Unavailable", "", "Not-Run: 1") }
        val refused = callerOf(entryBefore(refusing, refusingToo)).call("POST", "/once/x")
        assertEquals(503, refused.status)
        assertTrue(refused.headers.any { it.startsWith("Retry-After:") })
        assertEquals(2, refusing.requests.size + refusingToo.requests.size)

        val dying = scripted { request, _ -> request.socket.close() }
        val dyingToo = scripted { request, _ -> request.socket.close() }
        assertEquals(502, callerOf(entryBefore(dying, dyingToo)).call("POST", "/once/x").status)
        assertEquals(1, dying.requests.size + dyingToo.requests.size)
    }

    @Test
    fun `a stream that a whole rank group refuses is to come back when the group can have formed again`() {
        val refusing = scripted { request, out -> out.answer(request, "503 Service Unavailable", "", "Not-Run: 1") }
        val refusingToo = scripted { request, out -> out.answer(request, "503 Service Unavailable", "", "Not-Run: 1") }
        val refused = callerOf(entryBefore(refusing, refusingToo)).call("POST", "/stream/x")
        val seconds =
            refused.headers
                .single { it.startsWith("Retry-After:") }
                .substringAfter(':')
                .trim()
                .toDouble()
        assertTrue(refused.status == 503 && seconds in 2.1..2.6, "${refused.status}, $seconds s")
    }

    @Test
    fun `an idempotent request that failed is asked of another target`() {
        val failing = scripted { request, out -> out.answer(request, "500 Internal Server Error", "no", "Response-Seal: s1") }
        val failingToo = scripted { request, out -> out.answer(request, "500 Internal Server Error", "no", "Response-Seal: s1") }
        val answer = callerOf(entryBefore(failing, failingToo)).call("GET", "/safe/x")
        assertEquals(500, answer.status)
        assertTrue("Response-Seal: s1" in answer.headers)
        assertEquals(listOf(1, 1), listOf(failing.requests.size, failingToo.requests.size))
    }

    @Test
    fun `a silent target is given up at the route's timeout`() {
        val silent = scripted { request, _ -> request.awaitClose(5_000) }
        val begun = System.nanoTime()
        assertEquals(504, callerOf(entryBefore(silent)).call("POST", "/once/x").status)
        assertTrue((System.nanoTime() - begun) / NANOS_PER_MILLI in ROUTE_TIMEOUT_MILLIS - 50..ROUTE_TIMEOUT_MILLIS + 400)
    }

    @Test
    fun `work ends at the target when the caller leaves`() {
        var closedInTime = false
        val silent = scripted { request, _ -> closedInTime = request.awaitClose(600) }
        val caller = callerOf(entryBefore(silent))
        caller.send("POST", "/once/x")
        while (silent.requests.isEmpty()) Thread.sleep(5)
        caller.socket.close()
        Thread.sleep(400)
        assertTrue(closedInTime)
    }

    @Test
    fun `a stream that breaks off within an event goes on at another target with no event lost or repeated`() {
        val streaming = { request: ReceivedRequest, out: java.io.OutputStream ->
            val after = request.headers["last-event-id"]?.toInt()
            out.beginStream(request, seal = if (after == null) "first" else "second")
            if (after == null) {
                out.chunk("id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\nda")
                request.socket.close()
            } else {
                out.chunk("id: 2\ndata: c\n\n")
                out.write("0\r\n\r\n".encodeToByteArray())
            }
        }
        val answer = callerOf(entryBefore(scripted(streaming), scripted(streaming))).call("POST", "/stream/x")
        assertEquals("id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n", answer.body)
        assertTrue("Response-Seal: first" in answer.headers && answer.isWhole)
    }

    @Test
    fun `a stream that nobody goes on with does not look complete`() {
        val breaking = { request: ReceivedRequest, out: java.io.OutputStream ->
            out.beginStream(request, seal = "s")
            if (request.headers["last-event-id"] == null) out.chunk("id: 0\ndata: a\n\n")
            request.socket.close()
        }
        val answer = callerOf(entryBefore(scripted(breaking), scripted(breaking))).call("POST", "/stream/x")
        assertEquals("id: 0\ndata: a\n\n", answer.body)
        assertFalse(answer.isWhole)
    }

    @Test
    fun `a request that arrives while another is served is answered after it`() {
        val slow =
            scripted { request, out ->
                Thread.sleep(150)
                out.answer(
                    request,
                    "200 OK",
                    request.line
                        .substringAfter("/safe/")
                        .first()
                        .toString(),
                    "Response-Seal: s",
                )
            }
        val caller = callerOf(entryBefore(slow))
        caller.send("GET", "/safe/1")
        Thread.sleep(50)
        caller.send("GET", "/safe/2")
        assertEquals(listOf("1", "2"), listOf(caller.read().body, caller.read().body))
    }

    @Test
    fun `an entry that stops finishes what it has and refuses what comes too late to end`() {
        val slow =
            scripted { request, out ->
                Thread.sleep(ROUTE_TIMEOUT_MILLIS / 2)
                out.answer(request, "200 OK", "done", "Response-Seal: s")
            }
        val port = entryBefore(slow, graceMillis = 3_200)
        val late = callerOf(port)
        val early = callerOf(port)
        val stop = thread { stopping.single().stop() }
        Thread.sleep(900)
        early.send("GET", "/safe/early")
        Thread.sleep(900)
        val refused = late.call("GET", "/safe/late")
        assertEquals(503, refused.status)
        assertTrue(refused.headers.any { it.startsWith("Retry-After:") } && "Connection: close" in refused.headers)
        assertEquals("done", early.read().body)
        stop.join()
        assertEquals(listOf("/safe/early"), slow.requests.map { it.line.split(' ')[1] })
    }

    @Test
    fun `a success without a seal is not passed on`() {
        val dying = scripted { request, out -> out.answer(request, "200 OK", "") }
        assertEquals(502, callerOf(entryBefore(dying)).call("POST", "/once/x").status)
    }

    @Test
    fun `an answer that belongs to another request is not passed on`() {
        val confused =
            scripted { _, out ->
                out.write("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 5\r\n\r\nother".encodeToByteArray())
                out.flush()
            }
        val answer = callerOf(entryBefore(confused)).call("POST", "/once/x")
        assertEquals(502, answer.status)
    }

    private fun scripted(answer: (ReceivedRequest, java.io.OutputStream) -> Unit) = ScriptedTarget(answer).also { closing += it }

    @Test
    fun `a caller who connects while an entry starts is served`() {
        val target = scripted { request, out -> out.answer(request, "200 OK", "hold", "Response-Seal: s1") }
        val (entry, ports) = unstartedEntry(target)
        val caller = callerOf(ports.first())
        caller.send("POST", "/once/x")
        entry.start()
        assertEquals(200, caller.read().status)
    }

    private fun entryBefore(vararg targets: ScriptedTarget, graceMillis: Long = 1_000): Int {
        val (entry, ports) = unstartedEntry(*targets, graceMillis = graceMillis)
        entry.start()
        while (Caller(ports[1]).call("GET", "/v1/ready").status != 200) Thread.sleep(10)
        return ports[0]
    }

    /** Returns an entry that has not started, with its ports for callers and for readiness. */
    private fun unstartedEntry(vararg targets: ScriptedTarget, graceMillis: Long = 1_000): Pair<DirectEntry, List<Int>> {
        val ports = List(2) { ServerSocket(0).use { it.localPort } }
        val settings =
            InstanceSettings(
                instance = "entry-1",
                dataCentre = "north",
                host = HOST,
                callerAddress = HostPort(HOST, ports[0]),
                readinessAddress = HostPort(HOST, ports[1]),
                peerAddress = HostPort(HOST, 0),
                seedAddresses = emptyList(),
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
            )
        val entry =
            DirectEntry(
                settings,
                FixedStore(
                    targets.mapIndexed {
                        index,
                        scripted,
                        ->
                        target("t$index", "plain", scripted.port)
                    },
                ),
                Clock.System,
            )
        stopping += entry
        closing += AutoCloseable { entry.stop() }
        return entry to ports
    }

    private fun callerOf(port: Int) = Caller(port).also { caller -> closing += AutoCloseable { caller.socket.close() } }

    private class Caller(
        port: Int,
    ) {
        val socket = Socket(HOST, port)
        private val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)

        fun call(
            method: String,
            path: String,
            key: String = "key-1",
            body: String = "",
        ): CallerAnswer {
            send(method, path, key, body)
            return read()
        }

        fun send(
            method: String,
            path: String,
            key: String = "key-1",
            body: String = "",
        ) {
            val head =
                listOf("$method $path HTTP/1.1", "Host: shop.example", "Request-Id: r1", "Deadline-Ms: 5000") +
                    listOf("Authorization: Bearer $key", "Content-Length: ${body.length}")
            socket.getOutputStream().write((head.joinToString("\r\n") + "\r\n\r\n" + body).encodeToByteArray())
        }

        fun read(): CallerAnswer {
            val status = input.readLine().split(' ')[1].toInt()
            val headers = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
            val length =
                headers
                    .firstOrNull { it.startsWith("Content-Length:") }
                    ?.substringAfter(':')
                    ?.trim()
                    ?.toInt()
            if (length != null) return CallerAnswer(status, headers, readText(length), isWhole = true)
            return readChunks(status, headers)
        }

        private fun readChunks(status: Int, headers: List<String>): CallerAnswer {
            val body = StringBuilder()
            while (true) {
                val size =
                    runCatching { input.readLine() }.getOrNull()?.trim()?.toInt(16) ?: return CallerAnswer(status, headers, "$body", false)
                body.append(readText(size))
                input.readLine()
                if (size == 0) return CallerAnswer(status, headers, "$body", isWhole = true)
            }
        }

        private fun readText(length: Int) = String(CharArray(length) { input.read().toChar() })
    }
}

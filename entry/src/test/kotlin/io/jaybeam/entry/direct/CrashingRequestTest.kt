/*
 * Requests that crash every target that answers them must not crash one target after the other.
 */
package io.jaybeam.entry.direct

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val RESTART_MILLIS = 120L
private const val EVENT_DELAY_MILLIS = 20L

// One target crashes after the first event of its stream, and no other does later.
private const val CRASH_ONCE_PATH = "/stream/once"
private const val CRASHING_PART = "dead"

// A target answers it with status 500 before it reads the prompt.
private const val FAILING_PATH = "/stream/fail"

// A target crashes after a head that says that the answer ends with the connection.
private const val UNFRAMED_PATH = "/stream/unframed"

// A target crashes after the first event of its stream.
private const val LATE_CRASH_PATH = "/stream/late"

// A target crashes in the middle of an answer that is too long to be read before it is relayed.
private const val LONG_ANSWER_CRASH_PATH = "/safe/long"
private const val LONG_ANSWER_BYTES = 200_000

// The rule on crashing requests begins to count after this many crashes.
private const val MAX_CRASHES = 5

/** A target that ends as soon as it begins to answer a request with [CRASHING_PART] or the path /safe/crash, and starts again later. */
private class CrashingTarget(
    private val hasCrashedOnce: AtomicBoolean,
) : AutoCloseable {
    private var server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val sockets = CopyOnWriteArrayList<Socket>()
    val port = server.localPort
    val crashes = AtomicInteger()

    @Volatile
    private var isClosed = false

    init {
        thread(isDaemon = true) {
            while (!isClosed) {
                val socket = runCatching { server.accept() }.getOrNull()
                if (socket == null) restart() else thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    override fun close() {
        isClosed = true
        server.close()
    }

    private fun restart() {
        if (isClosed) return
        Thread.sleep(RESTART_MILLIS)
        server = ServerSocket().also { it.reuseAddress = true }
        server.bind(InetSocketAddress("127.0.0.1", port), BACKLOG)
    }

    private fun crash() {
        crashes.incrementAndGet()
        server.close()
        sockets.forEach { it.close() }
        sockets.clear()
    }

    private fun serve(socket: Socket) {
        sockets += socket
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val path = (input.readLine() ?: return).split(' ')[1]
            val headers = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
            val length =
                headers
                    .firstOrNull { it.startsWith("Content-Length:") }
                    ?.substringAfter(':')
                    ?.trim()
                    ?.toInt() ?: 0
            repeat(length) { input.read() }
            if (path == "/safe/crash") return crash()
            val out = socket.getOutputStream()
            if (path == FAILING_PATH) {
                out.write("HTTP/1.1 500 Internal Server Error\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
                continue
            }
            val cutAnswer = cutAnswerByPath[path]
            if (cutAnswer != null) {
                out.write(cutAnswer)
                return crash()
            }
            out.startStream(ReceivedRequest(path, mapOf("request-id" to "r1"), socket), seal = "s")
            if (headers.any { it.startsWith("Prefix-Hash:") && CRASHING_PART in it }) return crash()
            val lastEventId =
                headers
                    .firstOrNull { it.startsWith("Last-Event-Id:") }
                    ?.substringAfter(':')
                    ?.trim()
                    ?.toLong() ?: -1
            out.writeChunk("id: ${lastEventId + 1}\ndata: a\n\n")
            if (path == LATE_CRASH_PATH || (path == CRASH_ONCE_PATH && !hasCrashedOnce.getAndSet(true))) {
                Thread.sleep(EVENT_DELAY_MILLIS)
                return crash()
            }
            out.write("0\r\n\r\n".encodeToByteArray())
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val HEAD = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"

        /** What a target sends before it crashes. */
        val cutAnswerByPath =
            mapOf(
                UNFRAMED_PATH to "${HEAD}Content-Type: text/event-stream\r\n\r\n".encodeToByteArray(),
                LONG_ANSWER_CRASH_PATH to
                    "${HEAD}Request-Id: r1\r\nContent-Length: $LONG_ANSWER_BYTES\r\n\r\n".encodeToByteArray() +
                    ByteArray(LONG_ANSWER_BYTES / 2),
            )
    }
}

internal class CrashingRequestTest : EntryFixture() {
    private val hasCrashedOnce = AtomicBoolean()
    private val targets = List(4) { closedAfterTest(CrashingTarget(hasCrashedOnce)) }
    private val crashes: Int get() = targets.sumOf { it.crashes.get() }

    private fun stream(
        port: Int,
        parts: String,
        body: String,
        path: String = "/stream/x",
    ): CallerAnswer {
        // Crashed targets have time to start again, as on a site where such requests come now and then.
        Thread.sleep(RESTART_MILLIS * 2)
        val caller = connectCaller(port)
        caller.send("POST", path, body = body, headers = listOf("Prefix-Hash: $parts"))
        return caller.read()
    }

    @Test
    fun `requests that share a crashing prompt part do not crash one target after the other`() {
        val ports = startLinkedEntries(targets.map { it.port })
        ports.forEach { port -> assertEquals(200, stream(port, "5e:40,1:9", "sound").status) }
        repeat(12) { stream(ports[it % 2], "5e:40,$CRASHING_PART:70,$it:9", "body $it") }
        assertTrue(crashes < MAX_CRASHES, "$crashes crashes")
    }

    @Test
    fun `sound requests with the other parts of a crashing prompt are served at the first attempt`() {
        val ports = startLinkedEntries(targets.map { it.port })
        ports.forEach { port -> stream(port, "5e:40,1:9", "sound") }
        repeat(6) { stream(ports[it % 2], "5e:40,$CRASHING_PART:70,$it:9", "body $it") }
        val crashesBefore = crashes
        repeat(10) { assertEquals(200, stream(ports[it % 2], "5e:40,77:30,$it:9", "sound $it").status) }
        assertEquals(crashesBefore, crashes)
        assertTrue(crashes < MAX_CRASHES, "$crashes crashes")
    }

    @Test
    fun `a request with a crashing prompt part is refused at once as not run`() {
        val ports = startLinkedEntries(targets.map { it.port })
        stream(ports[0], "5e:40,$CRASHING_PART:70,1:9", "body 1")
        val crashesBefore = crashes
        val refused = stream(ports[1], "5e:40,$CRASHING_PART:70,2:9", "body 2")
        assertEquals(503, refused.status)
        assertTrue(refused.headers.any { it.startsWith("Retry-After:") }, "${refused.headers}")
        assertEquals(crashesBefore, crashes)
    }

    @Test
    fun `a repeated request that crashes targets before they answer does not crash one target after the other`() {
        val ports = startLinkedEntries(targets.map { it.port })
        repeat(12) {
            Thread.sleep(RESTART_MILLIS * 2)
            connectCaller(ports[it % 2]).call("GET", "/safe/crash")
        }
        assertTrue(crashes < MAX_CRASHES, "$crashes crashes")
        assertEquals(200, connectCaller(ports[0]).call("GET", "/safe/other").status)
    }

    // Guards against taking the first event of a stream for the proof that its request is sound (BUDGET).
    @Test
    fun `a repeated request that crashes targets after its first event does not crash one target after the other`() {
        val ports = startLinkedEntries(targets.map { it.port })
        repeat(12) { stream(ports[it % 2], "5e:40,1:9", "the same", LATE_CRASH_PATH) }
        assertTrue(crashes < MAX_CRASHES, "$crashes crashes")
        ports.forEach { assertEquals(200, stream(it, "5e:40,1:9", "another").status) }
    }

    // Guards against the same in answers that are relayed before they have been read completely (BUDGET).
    @Test
    fun `a repeated request that crashes targets in the middle of a long answer does not crash one target after the other`() {
        val ports = startLinkedEntries(targets.map { it.port })
        repeat(12) {
            Thread.sleep(RESTART_MILLIS * 2)
            connectCaller(ports[it % 2]).call("GET", LONG_ANSWER_CRASH_PATH)
        }
        assertTrue(crashes < MAX_CRASHES, "$crashes crashes")
    }

    @Test
    fun `a stream that was in flight at a crash is served when it is repeated`() {
        val ports = startLinkedEntries(targets.map { it.port })
        repeat(6) {
            val answer = stream(ports[it % 2], "5e:40,1:9", "the same", CRASH_ONCE_PATH)
            assertEquals(200, answer.status)
            assertTrue(answer.isComplete, "call $it")
        }
        assertEquals(1, crashes)
    }

    @Test
    fun `a target that fails a request does not show that its prompt is sound`() {
        val ports = startLinkedEntries(targets.map { it.port })
        ports.forEach { stream(it, "5e:40,$CRASHING_PART:70,0:9", "failing", FAILING_PATH) }
        repeat(12) {
            stream(ports[it % 2], "5e:40,$CRASHING_PART:70,$it:9", "body $it")
            stream(ports[it % 2], "5e:40,1:9", "sound $it")
            stream(ports[it % 2], "5e:40,$CRASHING_PART:70,$it:9", "failing $it", FAILING_PATH)
        }
        assertTrue(crashes < MAX_CRASHES, "$crashes crashes")
    }

    @Test
    fun `a target that crashes after a head without a length is recognised`() {
        val ports = startLinkedEntries(targets.map { it.port })
        repeat(12) { stream(ports[it % 2], "5e:40,$CRASHING_PART:70,$it:9", "body $it", UNFRAMED_PATH) }
        assertTrue(crashes < MAX_CRASHES, "$crashes crashes")
    }
}

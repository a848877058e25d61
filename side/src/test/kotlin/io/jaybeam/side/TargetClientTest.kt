package io.jaybeam.side

import io.jaybeam.wire.Frame
import io.jaybeam.wire.HeaderField
import java.io.IOException
import java.io.OutputStream
import java.net.ConnectException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

// Larger than the buffers of a connection, so that the body is still being sent when the connection is reset.
private const val LARGE_BODY_BYTES = 33_554_432
private const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
private const val EVENT = "data: a\n\n"
private const val REFUSAL_LIMIT_NANOS = 5_000_000_000L

internal class TargetClientTest {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    private val client = TargetClient("http://127.0.0.1:${server.localPort}")
    private val statuses = mutableListOf<Int>()

    @AfterTest
    fun close() = server.close()

    @Test
    fun `an answer without a length is complete when its connection ends regularly`() {
        assertEquals(CallOutcome.Complete, run("HTTP/1.1 200 OK\r\n\r\nall of it") { it.close() })
    }

    @Test
    fun `an answer without a length is lost when its connection is reset`() {
        assertIs<CallOutcome.Lost>(run("HTTP/1.1 200 OK\r\n\r\na part", end = ::reset))
    }

    @Test
    fun `an answer without a length is lost when the reset ended the sending of the request first`() {
        assertIs<CallOutcome.Lost>(run("HTTP/1.1 200 OK\r\n\r\na part", LARGE_BODY_BYTES, ::reset))
    }

    @Test
    fun `a head that is cut is no answer`() {
        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 52\r\n"
        listOf(5, 14, 17, head.length - 4, head.length - 1, head.length).forEach { length ->
            assertIs<CallOutcome.Lost>(run(head.take(length)) { it.close() }, "cut after $length bytes")
        }
        assertEquals(emptyList(), statuses)
    }

    @Test
    fun `an event stream is complete when it ends after an event`() {
        assertEquals(CallOutcome.Complete, run("$STREAM_HEAD\r\n$EVENT") { it.close() })
        assertEquals(CallOutcome.Complete, run("$STREAM_HEAD\r\ndata: a\r\n\r\n") { it.close() })
        assertEquals(CallOutcome.Complete, run("$STREAM_HEAD\r\n") { it.close() })
    }

    @Test
    fun `an event stream that ends inside an event is lost`() {
        assertIs<CallOutcome.Lost>(run("$STREAM_HEAD\r\n${EVENT}data: b") { it.close() })
        assertIs<CallOutcome.Lost>(run("$STREAM_HEAD\r\n${EVENT}data: b\n") { it.close() })
    }

    @Test
    fun `an event stream in chunks that ends inside an event is lost`() {
        assertIs<CallOutcome.Lost>(run("${STREAM_HEAD}Transfer-Encoding: chunked\r\n\r\n7\r\ndata: b\r\n0\r\n\r\n") { it.close() })
    }

    @Test
    fun `an interim status is not passed on as that of an answer`() {
        assertIs<CallOutcome.Lost>(run("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n") { it.close() })
        assertEquals(emptyList(), statuses)
    }

    @Test
    fun `a head made of two answers is no answer`() {
        for (lines in listOf("HTTP/1.1 500 Oops\r\nHTTP/1.1 500 Oops", "HTTP/1.1 200 OK\r\nX-Part: 1\r\nHTTP/1.1 200 OK")) {
            assertIs<CallOutcome.Lost>(run("$lines\r\nContent-Length: 0\r\n\r\n") { it.close() }, lines)
        }
        assertEquals(emptyList(), statuses)
    }

    @Test
    fun `a second answer right behind the first is not that of the next call`() = assertOwnAnswers(millisBetween = 0)

    @Test
    fun `a second answer on the idle connection is not that of the next call`() = assertOwnAnswers(millisBetween = 20)

    /** The target answers each request twice, the second time [millisBetween] later; each call must get the answer to its own path. */
    private fun assertOwnAnswers(millisBetween: Long) {
        val paths = CopyOnWriteArrayList<String>()
        serveAll { path, out ->
            paths += path
            val answer = "HTTP/1.1 200 OK\r\nX-Path: $path\r\nContent-Length: ${path.length}\r\n\r\n$path".encodeToByteArray()
            if (millisBetween == 0L) return@serveAll out.write(answer + answer)
            out.write(answer)
            thread(isDaemon = true) {
                Thread.sleep(millisBetween)
                runCatching { out.write(answer) }
            }
        }
        val expected = List(5) { "/$it" }
        val answers =
            expected.map { path ->
                var answered = ""
                val outcome =
                    client.newCall(execute(path)).run(
                        onHead = { _, headers -> answered += headers.single { it.name == "X-Path" }.value },
                        onBytes = { answered += " ${it.decodeToString()}" },
                    )
                Thread.sleep(3 * millisBetween)
                "$outcome: $answered"
            }
        assertEquals(expected.map { "${CallOutcome.Complete}: $it $it" }, answers)
        assertEquals(expected, paths)
    }

    @Test
    fun `a call is reported as not sent only if the target received nothing of it`() {
        val paths = CopyOnWriteArrayList<String>()
        serveAll { path, out ->
            paths += path
            if (path == "/kept") out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray()) else out.close()
        }
        assertEquals(CallOutcome.Complete, outcomeOf("/kept"))
        assertIs<CallOutcome.Lost>(outcomeOf("/lost"))
        assertEquals(listOf("/kept", "/lost"), paths)
        server.close()
        awaitConnectionRefused(server.localPort)
        assertIs<CallOutcome.NotSent>(outcomeOf("/refused"))
        assertEquals(listOf("/kept", "/lost"), paths)
    }

    // While a thread waits for a connection, one may still be accepted and reset after the server was closed.
    private fun awaitConnectionRefused(port: Int) {
        val startedNanos = System.nanoTime()
        while (!isConnectionRefused(port)) {
            check(
                System.nanoTime() - startedNanos < REFUSAL_LIMIT_NANOS,
            ) { "port $port still takes connections after its server was closed" }
        }
    }

    private fun isConnectionRefused(port: Int): Boolean =
        try {
            Socket("127.0.0.1", port).close()
            false
        } catch (e: ConnectException) {
            true
        } catch (e: IOException) {
            false
        }

    private fun outcomeOf(path: String) = client.newCall(execute(path)).run(onHead = { _, _ -> }, onBytes = {})

    /** Serves all connections, with [answer] to each request by its path. */
    private fun serveAll(answer: (String, OutputStream) -> Unit) {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { serveConnection(socket, answer) } }
            }
        }
    }

    private fun serveConnection(socket: Socket, answer: (String, OutputStream) -> Unit) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val path = (input.readLine() ?: return).split(' ')[1]
            while (input.readLine().isNotEmpty()) Unit
            answer(path, socket.getOutputStream())
        }
    }

    private fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Runs a call of which the target reads only the head before it sends [answer], and calls [end] a moment later. */
    private fun run(answer: String, bodyBytes: Int = 0, end: (Socket) -> Unit): CallOutcome {
        thread(isDaemon = true) {
            val socket = server.accept()
            val lines = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1).lineSequence()
            lines.takeWhile { it.isNotEmpty() }.count()
            socket.getOutputStream().write(answer.encodeToByteArray())
            Thread.sleep(200)
            end(socket)
        }
        return client.newCall(execute("/x", bodyBytes)).run(onHead = { status, _ -> statuses += status }, onBytes = {})
    }

    private fun execute(path: String, bodyBytes: Int = 0) =
        Frame.Execute(
            requestId = "r1",
            attemptId = 1,
            ticket = null,
            organisation = "org",
            tier = null,
            method = "POST",
            path = path,
            headers = emptyList<HeaderField>(),
            body = ByteArray(bodyBytes),
            fingerprint = "f",
            isSuspect = false,
            deadlineMillis = 5_000,
            fromChunk = 0,
            attachOnly = false,
        )
}

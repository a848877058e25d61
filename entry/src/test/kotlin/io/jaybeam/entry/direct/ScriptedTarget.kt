package io.jaybeam.entry.direct

import java.io.BufferedReader
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request as a target received it. */
internal class ReceivedRequest(
    val requestLine: String,
    val headers: Map<String, String>,
    val socket: Socket,
) {
    /** Waits up to [timeoutMillis] for the sender to close the connection; returns whether it was closed. */
    fun awaitClose(timeoutMillis: Int): Boolean {
        socket.soTimeout = timeoutMillis
        return runCatching { socket.getInputStream().read() < 0 }.getOrElse { it !is java.net.SocketTimeoutException }
    }
}

/** A target on the loopback address that calls [answer] to write the answer to each request. */
internal class ScriptedTarget(
    private val answer: (ReceivedRequest, OutputStream) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val requests = CopyOnWriteArrayList<ReceivedRequest>()
    private val endedSockets = CopyOnWriteArrayList<Socket>()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) {
                    runCatching { serve(socket) }
                    endedSockets += socket
                }
            }
        }
    }

    override fun close() = server.close()

    /** Waits up to [timeoutMillis] for the end of [socket], on which no request is in progress; returns whether it has ended. */
    fun awaitEnd(socket: Socket, timeoutMillis: Long): Boolean {
        val startedNanos = System.nanoTime()
        while (socket !in endedSockets && System.nanoTime() - startedNanos < timeoutMillis * NANOS_PER_MILLI) Thread.sleep(5)
        return socket in endedSockets
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val requestLine = input.readLine() ?: return
            val headers = readHeaders(input)
            val contentLength = headers["content-length"]?.toInt() ?: 0
            repeat(contentLength) { input.read() }
            val request = ReceivedRequest(requestLine, headers, socket)
            requests += request
            answer(request, socket.getOutputStream())
            if (socket.isClosed) return
        }
    }

    private fun readHeaders(input: BufferedReader): Map<String, String> =
        generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
}

/** Writes a complete answer with a body. */
internal fun OutputStream.answer(
    request: ReceivedRequest,
    status: String,
    body: String,
    vararg headers: String,
) {
    val head = listOf("HTTP/1.1 $status", "Request-Id: ${request.headers["request-id"]}", "Content-Length: ${body.length}") + headers
    write((head.joinToString("\r\n") + "\r\n\r\n" + body).encodeToByteArray())
    flush()
}

/** Writes the head of an event stream in chunks. */
internal fun OutputStream.startStream(request: ReceivedRequest, seal: String) {
    val head =
        listOf("HTTP/1.1 200 OK", "Request-Id: ${request.headers["request-id"]}", "Response-Seal: $seal") +
            listOf("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    write((head.joinToString("\r\n") + "\r\n\r\n").encodeToByteArray())
    flush()
}

/** Writes [text] as one chunk and leaves the body open. */
internal fun OutputStream.writeChunk(text: String) {
    write("${text.length.toString(16)}\r\n$text\r\n".encodeToByteArray())
    flush()
}

/*
 * A caller on a raw socket that keeps its connection until the entry's process is gone, and checks all that it gets.
 */
package io.jaybeam.soak

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.random.Random

/** The connection ended within a body. */
private class CutBodyException(
    cause: IOException,
) : IOException(cause)

/** A caller with its own random choices, drawn from [seed] and [number]. */
internal class SoakCaller(
    private val number: Int,
    seed: Long,
    private val entries: List<EntryProcess>,
    private val record: SoakRecord,
) {
    private val random = Random(seed * CALLER_SEED_FACTOR + number)
    private var requestCount = 0
    private var openRequest: SentRequest? = null

    /** Sends requests until [isOver]. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            val entry = entries.filter { it.isReady }.randomOrNull(random)
            if (entry != null) useConnection(entry, isOver)
            Thread.sleep(random.nextLong(RECONNECT_MILLIS))
        }
    }

    private fun useConnection(entry: EntryProcess, isOver: () -> Boolean) {
        openRequest = null
        try {
            Socket().use { socket ->
                socket.tcpNoDelay = true
                val connectedNanos = System.nanoTime()
                if (!connect(socket, entry)) return
                socket.soTimeout = DEADLINE_MILLIS + READ_SLACK_MILLIS
                val reader = StrictReader(BufferedInputStream(socket.getInputStream()))
                var mayGoOn = true
                while (mayGoOn && !isOver()) mayGoOn = call(socket, reader, entry, connectedNanos) && random.nextInt(LEAVE_ONE_IN) > 0
            }
        } catch (e: SocketTimeoutException) {
            record.onOutcome("none")
        } catch (e: CutBodyException) {
            onLost("cut")
        } catch (e: IOException) {
            onLost("closed")
        }
    }

    private fun onLost(outcome: String) {
        record.onOutcome(outcome)
        openRequest?.lostNanos = System.nanoTime()
    }

    private fun connect(socket: Socket, entry: EntryProcess): Boolean =
        try {
            socket.connect(entry.address, CONNECT_TIMEOUT_MILLIS)
            true
        } catch (e: IOException) {
            record.onOutcome("unconnected")
            false
        }

    /** Sends one request and checks its answer; returns whether the connection remains open. */
    private fun call(
        socket: Socket,
        reader: StrictReader,
        entry: EntryProcess,
        connectedNanos: Long,
    ): Boolean {
        val request = drawRequest(entry, connectedNanos)
        record.onRequest(request)
        openRequest = request
        try {
            send(socket, request)
            val head = reader.readHead()
            val status = statusOf(head)
            val body = readBody(reader, head)
            openRequest = null
            record.onAnswer(request, status, head.headers, body)
            Thread.sleep(random.nextLong(THINK_MILLIS))
            if (reader.hasBytes) record.onBroken("MIXED", request.id, "bytes behind the answer while no request waits")
            return head.headers["connection"]?.lowercase() != "close" && !reader.hasBytes
        } catch (e: MalformedMessageException) {
            record.onBroken("MIXED", request.id, "bad HTTP: ${e.message}")
            return false
        }
    }

    private fun drawRequest(entry: EntryProcess, connectedNanos: Long): SentRequest {
        val id = "%04x%08x".format(number, ++requestCount)
        val route = routeDraws.random(random)
        val body = random.nextBytes(random.nextInt(1, BODY_BYTES))
        return SentRequest(id, route, "POST ${route.prefix}$id HTTP/1.1", body, entry, connectedNanos)
    }

    private fun readBody(reader: StrictReader, head: Head): ByteArray =
        try {
            reader.readBody(head.headers, mayEndWithConnection = true)
        } catch (e: EOFException) {
            throw CutBodyException(e)
        }

    private fun send(socket: Socket, request: SentRequest) {
        val body = request.body
        val head =
            "${request.requestLine}\r\nHost: $SITE_HOST\r\nRequest-Id: ${request.id}\r\nDeadline-Ms: $DEADLINE_MILLIS\r\n" +
                "Authorization: Bearer $API_KEY\r\nContent-Length: ${body.size}\r\n\r\n"
        val bytes = head.toByteArray() + body
        val cut = if (random.nextInt(CUT_ONE_IN) == 0) random.nextInt(bytes.size) else 0
        socket.getOutputStream().write(bytes, 0, cut)
        if (cut > 0) Thread.sleep(random.nextLong(1, CUT_MILLIS))
        socket.getOutputStream().write(bytes, cut, bytes.size - cut)
    }

    private fun statusOf(head: Head): Int =
        statusLine.matchEntire(head.firstLine)?.let { it.groupValues[1].toInt() }
            ?: throw MalformedMessageException("status line \"${head.firstLine}\"")
}

private val statusLine = Regex("HTTP/1\\.1 ([2-5]\\d\\d) [\\x20-\\x7e]*")
private const val CALLER_SEED_FACTOR = 1_000_003L
private const val RECONNECT_MILLIS = 500L
private const val CONNECT_TIMEOUT_MILLIS = 1_000
internal const val DEADLINE_MILLIS: Int = 2_000
private const val READ_SLACK_MILLIS = 500
private const val LEAVE_ONE_IN = 25
private const val THINK_MILLIS = 900L
private val routeDraws = SoakRoute.entries + SoakRoute.SAFE + SoakRoute.SAFE
private const val BODY_BYTES = 600
private const val CUT_ONE_IN = 8
private const val CUT_MILLIS = 20L

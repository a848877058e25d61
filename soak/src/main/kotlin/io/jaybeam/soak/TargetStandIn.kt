/*
 * Stand-in for a target on raw sockets. It answers in pieces of random size and, as the phase draws, wrongly.
 */
package io.jaybeam.soak

import java.io.BufferedInputStream
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlin.random.Random

internal class TargetStandIn(
    val id: String,
    private val seed: Long,
    private val record: SoakRecord,
    private val phase: () -> Phase,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val connections: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    val address: String get() = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) { accept() }
    }

    private fun accept() {
        try {
            while (true) {
                val connection = listener.accept()
                connections += connection
                thread(isDaemon = true) { serve(connection) }
            }
        } catch (e: IOException) {
            connections.forEach { it.close() }
        }
    }

    private fun serve(connection: Socket) {
        try {
            connection.use {
                connection.tcpNoDelay = true
                val reader = StrictReader(BufferedInputStream(connection.getInputStream()))
                var mayGoOn = true
                while (mayGoOn) {
                    val head = reader.readHead()
                    mayGoOn = answer(connection, head, reader.readBody(head.headers, mayEndWithConnection = false))
                }
            }
        } catch (e: IOException) {
            // The entry was killed or has closed the connection.
        } catch (e: MalformedMessageException) {
            record.onBroken("UNASKED", id, "a target got bytes that are no request: ${e.message}")
        } finally {
            connections -= connection
        }
    }

    /** Answers a request; returns whether the connection remains open. */
    private fun answer(connection: Socket, head: Head, body: ByteArray): Boolean {
        val requestId = head.headers["request-id"]
        val path = head.firstLine.split(' ')[1]
        val route = SoakRoute.entries.firstOrNull { path.startsWith(it.prefix) }
        if (requestId == null || route == null) return answerOther(connection.getOutputStream(), isHealth = path == HEALTH_PATH)
        // One id and target give one behaviour in every run with this seed, whatever the order of threads.
        val random = Random(seed xor "$requestId $id".hashCode().toLong())
        val behaviour = phase().behaviours.random(random)
        record.onArrival(
            Arrival(requestId, System.nanoTime(), id, head.firstLine, body, head.headers["deadline-ms"]?.toLongOrNull(), behaviour),
        )
        return TargetAnswer(connection, requestId, route, random, record).send(behaviour)
    }

    private fun answerOther(out: OutputStream, isHealth: Boolean): Boolean {
        val status = if (isHealth) "200 OK" else "404 Not Found"
        out.write("HTTP/1.1 $status\r\nInstance-Id: $id\r\nContent-Length: 0\r\n\r\n".toByteArray())
        return true
    }

    override fun close() {
        listener.close()
    }
}

private const val BACKLOG = 512

/*
 * A stopping entry answers each request that it has read: with the target's answer, or with a refusal before it is sent to a target.
 */
package io.jaybeam.entry.direct

import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

// A connection that ends sooner crossed with its request, which callers may send again.
private const val MAX_CROSSING_MILLIS = 200L
private const val CALLERS = 24
private const val SHORT_STREAMS = 40
private const val LONG_STREAM_EVENTS = 16
private const val EVENT_INTERVAL_MILLIS = 50L

/** How a call ended. [status] is null if its connection ended without a complete answer, [elapsedMillis] after the request was sent. */
private class CallEnd(
    val id: String,
    val status: Int?,
    val elapsedMillis: Long,
)

internal class StoppingEntryTest : EntryFixture() {
    private val ends = ConcurrentLinkedQueue<CallEnd>()

    @Volatile
    private var isStopped = false

    private fun call(caller: Caller, path: String, id: String): CallEnd {
        val sentNanos = System.nanoTime()
        val answer =
            try {
                caller.call("POST", path, requestId = id).takeIf { it.isComplete }
            } catch (e: IOException) {
                null
            } catch (e: NullPointerException) {
                // The connection ended before a status line.
                null
            }
        return CallEnd(id, answer?.status, (System.nanoTime() - sentNanos) / NANOS_PER_MILLI).also { ends += it }
    }

    @Test
    fun `a request late in the grace that may not finish is refused instead of being cut`() {
        val slow =
            scriptedTarget { request, out ->
                Thread.sleep(ROUTE_TIMEOUT_MILLIS - 100)
                out.answer(request, "200 OK", "done", "Response-Seal: s")
            }
        val port = startEntry(slow, graceMillis = 1_600)
        val stopThread = thread { entries.single().stop() }
        val calls =
            listOf("/once/x", "/safe/x").map { path ->
                val caller = connectCaller(port)
                Thread.sleep(300)
                thread { call(caller, path, path) }
            }
        calls.forEach { it.join() }
        stopThread.join()
        assertTrue(ends.all { it.status == 200 || it.status == 503 }, ends.joinToString { "${it.id}: ${it.status}" })
        assertEquals(
            ends.filter { it.status == 200 }.map { it.id }.toSet(),
            slow.requests.map { it.headers.getValue("request-id") }.toSet(),
        )
    }

    // Guards against taking the length of earlier streams for a bound: a longer one was cut at the end of the stop (LOST).
    @Test
    fun `a stream late in the grace that may not finish is refused, however short the streams before it were`() {
        val target =
            scriptedTarget { request, out ->
                out.startStream(request, seal = "s")
                val isLong = request.headers.getValue("request-id") == "long"
                repeat(if (isLong) LONG_STREAM_EVENTS else 1) {
                    if (isLong) Thread.sleep(EVENT_INTERVAL_MILLIS)
                    out.writeChunk("id: $it\ndata: a\n\n")
                }
                out.write("0\r\n\r\n".encodeToByteArray())
            }
        val port = startEntry(target, graceMillis = 1_400)
        val caller = connectCaller(port)
        repeat(SHORT_STREAMS) { assertTrue(caller.call("POST", "/stream/x", requestId = "short-$it").isComplete) }
        val stopThread = thread { entries.single().stop() }
        Thread.sleep(300)
        val end = call(caller, "/stream/x", "long")
        stopThread.join()
        assertEquals(503, end.status, "null: cut after ${end.elapsedMillis} ms")
        assertEquals(emptyList(), target.requests.filter { it.headers["request-id"] == "long" })
    }

    @Test
    fun `no request that was read is left without an answer at the end of a stop`() {
        val reached = CopyOnWriteArrayList<String>()
        val quick =
            scriptedTarget { request, out ->
                reached += request.headers.getValue("request-id")
                Thread.sleep(20)
                out.answer(request, "200 OK", "done", "Response-Seal: s")
            }
        val port = startEntry(quick, graceMillis = 1_500)
        val callers = List(CALLERS) { index -> thread { callUntilStopped(port, "c$index") } }
        Thread.sleep(200)
        entries.single().stop()
        isStopped = true
        callers.forEach { it.join() }
        val unanswered = ends.filter { it.status == null }
        assertTrue(ends.size > CALLERS && ends.any { it.status == 200 })
        assertEquals(emptyList(), unanswered.filter { it.id in reached }.map { it.id }, "requests that reached the target")
        assertEquals(emptyList(), unanswered.filter { it.elapsedMillis > MAX_CROSSING_MILLIS }.map { it.id to it.elapsedMillis })
    }

    /** Sends requests on kept connections, and on new ones when these end, until the entry has stopped. */
    private fun callUntilStopped(port: Int, name: String) {
        var caller = connectCaller(port)
        var count = 0
        while (!isStopped) {
            val end = call(caller, "/once/x", "$name-${count++}")
            if (end.status != 200) caller = runCatching { connectCaller(port) }.getOrNull() ?: return
            if (end.status == 200 && count % 3 == 0) Thread.sleep(7)
        }
    }
}

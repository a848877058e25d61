/*
 * A slow stream is relayed to its end, and one that only sends a byte now and then ends with the time limit of its request.
 */
package io.jaybeam.entry.direct

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val EVENT_INTERVAL_MILLIS = 120L
private const val EVENTS = 6
private const val MAX_DELAY_MILLIS = 500L

internal class SlowStreamTest : EntryFixture() {
    @Test
    fun `a stream with long pauses between its events is not cut`() {
        val slow =
            scriptedTarget { request, out ->
                out.startStream(request, seal = "s")
                repeat(EVENTS) {
                    Thread.sleep(EVENT_INTERVAL_MILLIS)
                    out.writeChunk("id: $it\ndata: a\n\n")
                }
                out.write("0\r\n\r\n".encodeToByteArray())
            }
        val answer = connectCaller(startEntry(slow)).call("POST", "/stream/x")
        assertTrue(answer.isComplete)
        assertEquals(EVENTS, answer.body.split("\n\n").count { it.isNotEmpty() })
    }

    @Test
    fun `a stream that sends a byte now and then but no event ends at the time limit`() {
        val stalled =
            scriptedTarget { request, out ->
                out.startStream(request, seal = "s")
                out.writeChunk("id: 0\ndata: a\n\n")
                while (true) {
                    out.writeChunk(":")
                    Thread.sleep(20)
                }
            }
        val caller = connectCaller(startEntry(stalled, stalled))
        val startedNanos = System.nanoTime()
        val answer = caller.call("POST", "/stream/x")
        val elapsedMillis = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI
        assertFalse(answer.isComplete)
        assertTrue(elapsedMillis < ROUTE_TIMEOUT_MILLIS + MAX_DELAY_MILLIS, "$elapsedMillis ms")
    }

    @Test
    fun `an answer whose head comes byte by byte ends at the time limit`() {
        val stalled =
            scriptedTarget { request, out ->
                out.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX-Slow: ".encodeToByteArray())
                while (!request.socket.isClosed) {
                    out.write('x'.code)
                    out.flush()
                    Thread.sleep(20)
                }
            }
        val startedNanos = System.nanoTime()
        assertEquals(504, connectCaller(startEntry(stalled)).call("POST", "/once/x").status)
        assertTrue((System.nanoTime() - startedNanos) / NANOS_PER_MILLI < ROUTE_TIMEOUT_MILLIS + MAX_DELAY_MILLIS)
    }
}

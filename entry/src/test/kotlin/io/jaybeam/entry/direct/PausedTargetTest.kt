/*
 * A target that turns a request away and states for how long it wants no other gets none during that time.
 */
package io.jaybeam.entry.direct

import java.io.OutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val PAUSE_MILLIS = 2_000L
private const val MEASURED_MILLIS = 1_500L

internal class PausedTargetTest : EntryFixture() {
    private fun turningAway(retryAfter: String) =
        scriptedTarget { request, out ->
            out.answer(request, "503 Service Unavailable", "", "Not-Run: 1", "Retry-After: $retryAfter")
        }

    private val serving = { request: ReceivedRequest, out: OutputStream -> out.answer(request, "200 OK", "done", "Response-Seal: s") }

    private fun retryAfterMillisOf(answer: CallerAnswer): Long =
        answer.headers
            .single { it.startsWith("Retry-After:") }
            .substringAfter(':')
            .trim()
            .toDouble()
            .times(1_000)
            .toLong()

    @Test
    fun `a target that asks for a pause gets no request before its end, and requests after it`() {
        val paused = turningAway("2")
        val entry = startEntry(paused, scriptedTarget(serving))
        while (paused.requests.isEmpty()) connectCaller(entry).call("GET", "/safe/x")
        val pausedAtNanos = System.nanoTime()
        val pausedMillis = { (System.nanoTime() - pausedAtNanos) / NANOS_PER_MILLI }
        while (pausedMillis() < MEASURED_MILLIS) assertEquals(200, connectCaller(entry).call("GET", "/safe/x").status)
        assertEquals(1, paused.requests.size)
        Thread.sleep(PAUSE_MILLIS - pausedMillis() + 50)
        while (paused.requests.size == 1 && pausedMillis() < 2 * PAUSE_MILLIS) connectCaller(entry).call("GET", "/safe/x")
        assertEquals(2, paused.requests.size)
    }

    @Test
    fun `a request is refused immediately with the end of the earliest pause when all targets pause`() {
        val long = turningAway("30")
        val short = turningAway("2.5")
        val entry = startEntry(long, short)
        // The first request is turned away by both targets.
        assertEquals(503, connectCaller(entry).call("POST", "/once/x").status)
        listOf("/once/x", "/stream/x", "/safe/x").forEach { path ->
            val startedNanos = System.nanoTime()
            val answer = connectCaller(entry).call("POST", path)
            assertEquals(503, answer.status)
            assertTrue((System.nanoTime() - startedNanos) / NANOS_PER_MILLI < ROUTE_TIMEOUT_MILLIS / 2)
            val retryAfterMillis = retryAfterMillisOf(answer)
            assertTrue(retryAfterMillis in 1_500..4_000, "$path: $retryAfterMillis ms")
        }
        assertEquals(listOf(1, 1), listOf(long.requests.size, short.requests.size))
    }

    @Test
    fun `a request that all targets have turned away is refused with the end of the earliest pause`() {
        val entry = startEntry(turningAway("3"), turningAway("4"))
        val answer = connectCaller(entry).call("POST", "/once/x")
        assertEquals(503, answer.status)
        val retryAfterMillis = retryAfterMillisOf(answer)
        assertTrue(retryAfterMillis in 2_500..4_500, "$retryAfterMillis ms")
    }

    @Test
    fun `an unreadable Retry-After pauses the target for a moment and does not end the entry`() {
        listOf("-5", "soon", "Sat, 05 Dec 2026 12:00:00 GMT", "9".repeat(300)).forEach {
            val odd = turningAway(it)
            val entry = startEntry(odd, scriptedTarget(serving))
            while (odd.requests.isEmpty()) connectCaller(entry).call("GET", "/safe/x")
            repeat(10) { assertEquals(200, connectCaller(entry).call("GET", "/safe/x").status) }
            assertEquals(1, odd.requests.size, it)
        }
    }

    @Test
    fun `a refusal without a time does not pause its target`() {
        val refusing = scriptedTarget { request, out -> out.answer(request, "503 Service Unavailable", "", "Not-Run: 1") }
        val entry = startEntry(refusing)
        repeat(3) { assertEquals(503, connectCaller(entry).call("POST", "/once/x").status) }
        assertEquals(3, refusing.requests.size)
    }
}

package io.jaybeam.side

import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class AnswerBufferTest {
    private class RecordingLink : Link {
        val frames = mutableListOf<Frame>()
        override var isOpen = true

        override fun send(frame: Frame): Boolean {
            if (isOpen) frames += frame
            return isOpen
        }

        override fun close(reason: String) {
            isOpen = false
        }

        val chunkIndexes get() = frames.filterIsInstance<Frame.Chunk>().map { it.index }
    }

    private fun AnswerBuffer.appendChunks(count: Int) {
        setHead(200, emptyList())
        repeat(count) { append(byteArrayOf(it.toByte())) }
    }

    @Test
    fun `an answer that ends while no entry relays it is held for an entry that attaches again`() {
        val buffer = AnswerBuffer(shouldRetain = false)
        val closed = RecordingLink()
        buffer.subscribe(closed, "r", 1, 0)
        buffer.appendChunks(3)
        buffer.acknowledge("r", 1, 2)
        closed.close("connection lost")
        buffer.unsubscribe(closed)
        buffer.finish(AnswerState.Complete(0))
        assertFalse(buffer.isDelivered)
        val reattached = RecordingLink()
        buffer.subscribe(reattached, "r", 2, 2)
        assertEquals(listOf(2), reattached.chunkIndexes)
        assertEquals(Frame.End("r", 2, 3), reattached.frames.last())
        buffer.acknowledge("r", 2, 3)
        assertTrue(buffer.isDelivered)
    }

    @Test
    fun `unacknowledged chunks do not exceed the window`() {
        val buffer = AnswerBuffer(shouldRetain = true)
        val link = RecordingLink()
        buffer.subscribe(link, "r", 1, 0)
        buffer.appendChunks(100)
        val windowChunks = link.chunkIndexes.size
        assertTrue(windowChunks in 1..99)
        buffer.acknowledge("r", 1, 10)
        assertEquals(windowChunks + 10, link.chunkIndexes.size)
    }

    @Test
    fun `two entries relay the answer to the same ticket`() {
        val buffer = AnswerBuffer(shouldRetain = true)
        val links = List(2) { RecordingLink() }
        links.forEachIndexed { index, link -> buffer.subscribe(link, "r$index", 1, 0) }
        buffer.appendChunks(2)
        buffer.finish(AnswerState.Complete(0))
        links.forEach { assertEquals(listOf(0, 1), it.chunkIndexes) }
    }

    @Test
    fun `an attempt that needs a chunk that is no longer held fails`() {
        val buffer = AnswerBuffer(shouldRetain = false)
        val link = RecordingLink()
        buffer.subscribe(link, "r", 1, 0)
        buffer.appendChunks(3)
        buffer.acknowledge("r", 1, 3)
        val late = RecordingLink()
        buffer.subscribe(late, "s", 2, 0)
        assertIs<Frame.Broken>(late.frames.single())
    }
}

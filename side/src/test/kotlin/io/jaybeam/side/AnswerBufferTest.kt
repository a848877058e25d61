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

        val chunks get() = frames.filterIsInstance<Frame.Chunk>().map { it.index }
    }

    private fun AnswerBuffer.fill(count: Int) {
        head(200, emptyList())
        repeat(count) { append(byteArrayOf(it.toByte())) }
    }

    @Test
    fun `an answer that ends while nobody relays it is kept for the entry that attaches again`() {
        val buffer = AnswerBuffer(retain = false)
        val lost = RecordingLink()
        buffer.subscribe(lost, "r", 1, 0)
        buffer.fill(3)
        buffer.acknowledge("r", 1, 2)
        lost.close("cut")
        buffer.unsubscribe(lost)
        buffer.finish(AnswerState.Whole(0))
        assertFalse(buffer.delivered)
        val next = RecordingLink()
        buffer.subscribe(next, "r", 2, 2)
        assertEquals(listOf(2), next.chunks)
        assertEquals(Frame.End("r", 2, 3), next.frames.last())
        buffer.acknowledge("r", 2, 3)
        assertTrue(buffer.delivered)
    }

    @Test
    fun `no more than a window is sent without acknowledgement`() {
        val buffer = AnswerBuffer(retain = true)
        val link = RecordingLink()
        buffer.subscribe(link, "r", 1, 0)
        buffer.fill(100)
        val window = link.chunks.size
        assertTrue(window in 1..99)
        buffer.acknowledge("r", 1, 10)
        assertEquals(window + 10, link.chunks.size)
    }

    @Test
    fun `two entries relay the same answer to a ticket`() {
        val buffer = AnswerBuffer(retain = true)
        val links = List(2) { RecordingLink() }
        links.forEachIndexed { index, link -> buffer.subscribe(link, "r$index", 1, 0) }
        buffer.fill(2)
        buffer.finish(AnswerState.Whole(0))
        links.forEach { assertEquals(listOf(0, 1), it.chunks) }
    }

    @Test
    fun `a chunk that is no longer held is not passed over`() {
        val buffer = AnswerBuffer(retain = false)
        val link = RecordingLink()
        buffer.subscribe(link, "r", 1, 0)
        buffer.fill(3)
        buffer.acknowledge("r", 1, 3)
        val late = RecordingLink()
        buffer.subscribe(late, "s", 2, 0)
        assertIs<Frame.Broken>(late.frames.single())
    }
}

package io.jaybeam.entry.direct

import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull

internal class EventStreamSplitterTest {
    private fun EventStreamSplitter.add(text: String) = addAndTakeEvents(text.encodeToByteArray(), text.length)?.decodeToString()

    @Test
    fun `events that are rejected do not change the id after which the stream is resumed`() {
        val splitter = EventStreamSplitter()
        splitter.add("id: 0\ndata: a\n\n")
        splitter.startAnswer()
        assertFailsWith<EventOrderException> { splitter.add("id: 1\ndata: b\n\nid: 0\ndata: a\n\n") }
        assertEquals(0, splitter.lastEventId)
        splitter.startAnswer()
        assertEquals("id: 1\ndata: b\n\n", splitter.add("id: 1\ndata: b\n\nid: 2\nda"))
        assertEquals(1, splitter.lastEventId)
    }

    // Guards against keeping all that a faulty target sends without ever ending an event.
    @Test
    fun `an event without end fails before it fills the memory`() {
        val splitter = EventStreamSplitter()
        val block = ByteArray(8_192) { 'x'.code.toByte() }
        assertFailsWith<EventTooLargeException> { repeat(1_000) { splitter.addAndTakeEvents(block, block.size) } }
    }

    @Test
    fun `an event that ends between two reads is found`() {
        listOf("\n\n", "\r\n\r\n").forEach { end ->
            val bytes = "data: a$end".encodeToByteArray()
            (1 until bytes.size).forEach { first ->
                val splitter = EventStreamSplitter()
                assertNull(splitter.addAndTakeEvents(bytes, first))
                val rest = bytes.copyOfRange(first, bytes.size)
                assertContentEquals(bytes, splitter.addAndTakeEvents(rest, rest.size), "cut after $first bytes")
            }
        }
    }
}

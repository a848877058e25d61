package io.jaybeam.entry.direct

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

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
}

/*
 * Splits the bytes of an event stream into complete events. Only complete events are relayed, so that a stream that is
 * interrupted in the middle of an event can be resumed at another target.
 */
package io.jaybeam.entry.direct

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** Buffers the bytes of a stream and returns them as complete events. Not thread-safe. */
internal class EventStreamSplitter {
    private var buffer = ByteArray(INITIAL_BUFFER_BYTES)
    private var size = 0

    /** Id of the last complete event that was returned; null if there was none with a numeric id. */
    var lastEventId: Long? = null
        private set

    /** Adds the first [count] of [bytes] and returns the complete events in the buffer, or null if there is none. */
    fun addAndTakeEvents(bytes: ByteArray, count: Int): ByteArray? {
        append(bytes, count)
        val endIndex = endOfLastEvent()
        if (endIndex == 0) return null
        val events = buffer.copyOf(endIndex)
        buffer.copyInto(buffer, 0, endIndex, size)
        size -= endIndex
        lastIdIn(events)?.let { lastEventId = it }
        return events
    }

    /** Whether the buffer contains an incomplete event. */
    val hasPartialEvent: Boolean get() = size > 0

    /** Discards the incomplete event in the buffer. */
    fun discardPartialEvent() {
        size = 0
    }

    private fun append(bytes: ByteArray, count: Int) {
        if (size + count > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, size + count))
        bytes.copyInto(buffer, size, 0, count)
        size += count
    }

    /** Returns the index after the empty line that ends the last complete event, or 0 if there is no complete event. */
    private fun endOfLastEvent(): Int {
        for (index in size - 1 downTo 1) {
            if (buffer[index] != LINE_FEED) continue
            val previous = if (buffer[index - 1] == CARRIAGE_RETURN) index - 2 else index - 1
            if (previous >= 0 && buffer[previous] == LINE_FEED) return index + 1
        }
        return 0
    }

    private fun lastIdIn(events: ByteArray): Long? =
        events
            .decodeToString()
            .lineSequence()
            .lastOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)
            ?.trim()
            ?.toLongOrNull()

    private companion object {
        const val INITIAL_BUFFER_BYTES = 1_024
    }
}

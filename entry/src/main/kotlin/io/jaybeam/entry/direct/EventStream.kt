/*
 * Splits the bytes of an event stream into whole events, so that a stream that breaks off within an event can go on at
 * another target.
 */
package io.jaybeam.entry.direct

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** Collects bytes of a stream and gives out whole events. Not thread-safe. */
internal class EventStream {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Id of the last whole event that was given out; null before the first. */
    var lastEventId: Long? = null
        private set

    /** Adds [count] bytes and returns the whole events among those collected, or null where none ends. */
    fun wholeEvents(bytes: ByteArray, count: Int): ByteArray? {
        append(bytes, count)
        val end = endOfLastEvent()
        if (end == 0) return null
        val events = buffer.copyOf(end)
        buffer.copyInto(buffer, 0, end, size)
        size -= end
        lastId(events)?.let { lastEventId = it }
        return events
    }

    /** Whether bytes of an event that has not ended are collected. */
    val hasPartialEvent: Boolean get() = size > 0

    /** Drops the bytes of an event that has not ended. */
    fun dropPartialEvent() {
        size = 0
    }

    private fun append(bytes: ByteArray, count: Int) {
        if (size + count > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, size + count))
        bytes.copyInto(buffer, size, 0, count)
        size += count
    }

    /** An event ends with an empty line. */
    private fun endOfLastEvent(): Int {
        for (index in size - 1 downTo 1) {
            if (buffer[index] != LINE_FEED) continue
            val before = if (buffer[index - 1] == CARRIAGE_RETURN) index - 2 else index - 1
            if (before >= 0 && buffer[before] == LINE_FEED) return index + 1
        }
        return 0
    }

    private fun lastId(events: ByteArray): Long? =
        events
            .decodeToString()
            .lineSequence()
            .lastOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)
            ?.trim()
            ?.toLongOrNull()

    private companion object {
        const val INITIAL_BYTES = 1_024
    }
}

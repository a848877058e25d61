/*
 * Splits the bytes of an event stream into complete events. Only complete events are relayed, so that a stream that is
 * interrupted in the middle of an event can be resumed at another target. A resumed stream continues only with events whose ids
 * follow: a target may start again, repeat an event or send something else.
 */
package io.jaybeam.entry.direct

import io.jaybeam.platform.identifiesAnswer
import io.jaybeam.runtime.http.hasStatusLine
import java.io.IOException

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val MAX_EVENT_BYTES = 256 * 1_024
private const val ID_FIELD = "id:"
private const val COMMENT_PREFIX = ":"
private val framingHeaders = setOf("content-length", "transfer-encoding")

/** The events of a resumed stream do not follow those before its interruption. */
internal class EventOrderException(
    lastEventId: Long,
) : IOException("the resumed stream does not continue after event $lastEventId")

/** An event of a stream is not complete after as many bytes as one may have. */
internal class EventTooLargeException : IOException("an event has more than $MAX_EVENT_BYTES bytes")

/** The target broke off within an event and sent another answer, whose head completes the event. */
internal class JoinedEventException : IOException("an event contains the head of another answer")

/** Buffers the bytes of a stream and returns them as complete events. Not thread-safe. */
internal class EventStreamSplitter {
    private var buffer = ByteArray(INITIAL_BUFFER_BYTES)
    private var size = 0

    /** Whether an event was returned. */
    var hasEvents: Boolean = false
        private set

    /** Whether an event of the current answer was returned. */
    var hasEventsOfAnswer: Boolean = false
        private set

    /** Number of events that were returned. */
    var eventCount: Int = 0
        private set

    /** Whether events of an earlier answer were returned, so that those of this answer must follow them. */
    private var isResumed = false

    /** Whether another target can continue: the last event has an id, or there was none. */
    var isResumable: Boolean = true
        private set

    /** Id of the last complete event that was returned and had a numeric id; null if there was none. */
    var lastEventId: Long? = null
        private set

    /** Starts with the answer of another target. Discards the incomplete event in the buffer. */
    fun startAnswer() {
        size = 0
        isResumed = hasEvents
        hasEventsOfAnswer = false
    }

    /**
     * Adds the first [count] of [bytes] and returns the complete events in the buffer, or null if there is none.
     *
     * @throws EventOrderException if the stream was resumed and these events do not follow.
     * @throws EventTooLargeException if an event does not end.
     * @throws JoinedEventException if one of these events is made of two answers.
     */
    fun addAndTakeEvents(bytes: ByteArray, count: Int): ByteArray? {
        val searchedSize = size
        append(bytes, count)
        val endIndex = endOfLastEvent(searchedSize)
        if (endIndex == 0 && size > MAX_EVENT_BYTES) throw EventTooLargeException()
        if (endIndex == 0) return null
        val events = buffer.copyOf(endIndex)
        val lines = events.decodeToString().lines()
        if (hasJoinedHead(lines)) throw JoinedEventException()
        val ids = idsIn(lines)
        if (isResumed) requireOrder(ids)
        buffer.copyInto(buffer, 0, endIndex, size)
        size -= endIndex
        ids.forEach(::recordEvent)
        return events
    }

    /** Whether the buffer contains an incomplete event. */
    val hasPartialEvent: Boolean get() = size > 0

    private fun append(bytes: ByteArray, count: Int) {
        if (size + count > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, size + count))
        bytes.copyInto(buffer, size, 0, count)
        size += count
    }

    /**
     * Returns the index after the empty line that ends the last complete event, or 0 if there is no complete event.
     *
     * Such a line does not end within the first [searchedSize] bytes.
     */
    private fun endOfLastEvent(searchedSize: Int): Int {
        for (index in size - 1 downTo maxOf(searchedSize, 1)) {
            if (buffer[index] != LINE_FEED) continue
            val previous = if (buffer[index - 1] == CARRIAGE_RETURN) index - 2 else index - 1
            if (previous >= 0 && buffer[previous] == LINE_FEED) return index + 1
        }
        return 0
    }

    private fun requireOrder(ids: List<Long?>) {
        var previous = lastEventId ?: Long.MIN_VALUE
        ids.forEachIndexed { index, id ->
            val isFirst = index == 0 && !hasEventsOfAnswer
            val follows = if (id == null) !isFirst else id > previous
            if (!follows) throw EventOrderException(previous)
            previous = id ?: previous
        }
    }

    private fun recordEvent(id: Long?) {
        hasEvents = true
        eventCount += 1
        hasEventsOfAnswer = true
        isResumable = id != null
        if (id != null) lastEventId = id
    }

    /** Whether an event has a line with a status line, and a later one that is a header by which an answer is recognised. */
    private fun hasJoinedHead(lines: List<String>): Boolean {
        var isBehindStatusLine = false
        for (line in lines) {
            val name = line.substringBefore(':')
            if (isBehindStatusLine && (identifiesAnswer(name) || name.lowercase() in framingHeaders)) return true
            isBehindStatusLine = line.isNotEmpty() && (isBehindStatusLine || hasStatusLine(line))
        }
        return false
    }

    /** Returns the id of each event in [lines]; null for an event without a numeric id. Comments are no events. */
    private fun idsIn(lines: List<String>): List<Long?> {
        val ids = mutableListOf<Long?>()
        var id: Long? = null
        var isInEvent = false
        for (line in lines) {
            if (line.startsWith(ID_FIELD)) id = line.removePrefix(ID_FIELD).trim().toLongOrNull()
            if (line.isEmpty() && isInEvent) ids += id
            if (line.isEmpty()) id = null
            isInEvent = line.isNotEmpty() && (isInEvent || !line.startsWith(COMMENT_PREFIX))
        }
        return ids
    }

    private companion object {
        const val INITIAL_BUFFER_BYTES = 1_024
    }
}

/*
 * Detects whether the bytes of an event stream end after a complete event.
 */
package io.jaybeam.side

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** Position in an event stream, whose events end with an empty line. Not thread-safe. */
internal class EventBoundary {
    private var isLineEmpty = true
    private var hasCarriageReturn = false

    /** Whether the bytes so far end after a complete event, or there were none. */
    var isAfterEvent: Boolean = true
        private set

    /** Adds the next [bytes] of the stream. A line ends with LF, CR or CR LF. */
    fun add(bytes: ByteArray) = bytes.forEach(::add)

    private fun add(byte: Byte) {
        val isSecondHalfOfLineEnd = byte == LINE_FEED && hasCarriageReturn
        hasCarriageReturn = byte == CARRIAGE_RETURN
        if (isSecondHalfOfLineEnd) return
        if (byte == LINE_FEED || byte == CARRIAGE_RETURN) {
            isAfterEvent = isLineEmpty || isAfterEvent
            isLineEmpty = true
        } else {
            isAfterEvent = false
            isLineEmpty = false
        }
    }
}

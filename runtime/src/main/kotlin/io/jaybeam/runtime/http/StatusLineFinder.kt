/*
 * Finds the status line of an answer in the bytes of another.
 */
package io.jaybeam.runtime.http

private const val PATTERN = "HTTP/1.d Cdd"
private const val HIGHEST_CLASS = '5'

/** Whether [text] contains the status line of an answer, whatever is before and behind it. */
public fun hasStatusLine(text: String): Boolean {
    if (!text.contains(PATTERN.take(1))) return false
    val finder = StatusLineFinder()
    return text.any { finder.add(it) }
}

/** Finds status lines in characters that come one by one. Not thread-safe. */
internal class StatusLineFinder {
    /** Number of characters of a status line that end with the last character. */
    var matchedCount = 0
        private set

    /** Looks at [character]; returns whether the status in a status line ends with it. */
    fun add(character: Char): Boolean {
        matchedCount =
            when {
                matches(matchedCount, character) -> matchedCount + 1
                matches(0, character) -> 1
                else -> 0
            }
        if (matchedCount < PATTERN.length) return false
        matchedCount = 0
        return true
    }

    fun reset() {
        matchedCount = 0
    }

    private fun matches(index: Int, character: Char): Boolean =
        when (PATTERN[index]) {
            'd' -> character in '0'..'9'
            'C' -> character in '1'..HIGHEST_CLASS
            else -> character == PATTERN[index]
        }
}

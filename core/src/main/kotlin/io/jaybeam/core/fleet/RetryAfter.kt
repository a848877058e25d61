/*
 * The time for which a target that has turned a request away wants no other, as its answer states it.
 *
 * The value is a number of seconds, possibly with a fraction. A value that is none (a date, a negative number or other text) is
 * replaced by a default, and a longer one than an hour by an hour, so that no target is given up for good by mistake.
 */
package io.jaybeam.core.fleet

/**
 * A delay in milliseconds.
 *
 * @property fault why [delayMillis] is not the stated value; null if it is.
 */
public data class RetryAfter(
    val delayMillis: Long,
    val fault: String? = null,
)

/** Reads [value], the text of a `Retry-After` header. */
public fun parseRetryAfter(value: String): RetryAfter {
    val text = value.trim()
    val quoted = "'${text.take(MAX_QUOTED_CHARS)}'"
    if (!SECONDS_PATTERN.matches(text)) return RetryAfter(DEFAULT_DELAY_MILLIS, "$quoted is not a number of seconds")
    val seconds = text.toDouble()
    if (seconds > MAX_DELAY_MILLIS / MILLIS_PER_SECOND) return RetryAfter(MAX_DELAY_MILLIS, "$quoted is too long")
    return RetryAfter((seconds * MILLIS_PER_SECOND).toLong())
}

private val SECONDS_PATTERN = Regex("\\d+(\\.\\d*)?")
private const val DEFAULT_DELAY_MILLIS = 1_000L
private const val MAX_DELAY_MILLIS = 3_600_000L
private const val MILLIS_PER_SECOND = 1_000.0
private const val MAX_QUOTED_CHARS = 40

/*
 * What a target states in the head of an answer about the work that it takes.
 */
package io.jaybeam.side

import io.jaybeam.core.fleet.RetryAfter
import io.jaybeam.core.fleet.parseRetryAfter
import io.jaybeam.wire.HeaderField

private const val LEAVING_HEADER = "Jaybeam-Leaving"
private const val RETRY_AFTER_HEADER = "Retry-After"
private const val HTTP_UNAVAILABLE = 503

/**
 * A target's statement.
 *
 * @property isLeaving whether it takes no more work, as it ends soon.
 * @property retryAfter time for which it wants no other request, having turned one away; null if it states none.
 */
internal data class WorkStatement(
    val isLeaving: Boolean,
    val retryAfter: RetryAfter?,
)

/** Returns the statement in an answer with [status] and [headers], or null if it contains none. */
internal fun workStatementOrNull(status: Int, headers: List<HeaderField>): WorkStatement? {
    fun valueOf(name: String) = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
    val isLeaving = valueOf(LEAVING_HEADER)?.trim() == "1"
    val retryAfter = if (status == HTTP_UNAVAILABLE) valueOf(RETRY_AFTER_HEADER)?.let(::parseRetryAfter) else null
    return if (isLeaving || retryAfter != null) WorkStatement(isLeaving, retryAfter) else null
}

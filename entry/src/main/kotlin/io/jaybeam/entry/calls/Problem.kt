/*
 * Errors reported to callers, as application/problem+json with the outcome of the request and a remedy.
 */
package io.jaybeam.entry.calls

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Whether a request that was not answered has run. */
internal enum class ProblemOutcome(
    val text: String,
) {
    /** No target has run the request, and none will run it under the same ticket or key. */
    NOT_RUN("not run"),

    /** A target may have run the request, or may still run it. */
    UNKNOWN("outcome unknown"),
}

/**
 * An error reported to a caller.
 *
 * @property status HTTP status of the answer.
 * @property ticket the ticket with which the caller can repeat the request, or null.
 * @property coversAllAttempts whether [outcome] holds for all attempts of the request, and not only for this one.
 */
internal data class Problem(
    val status: Int,
    val title: String,
    val outcome: ProblemOutcome,
    val detail: String,
    val remedy: String,
    val retryAfterSeconds: Int? = null,
    val ticket: String? = null,
    val coversAllAttempts: Boolean = false,
)

@Serializable
private data class ProblemBody(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: String,
    val remedy: String,
    val ticket: String? = null,
)

private val json = Json { explicitNulls = false }

/** Returns the JSON body of the answer. */
internal fun Problem.toJson(): String {
    val type = "urn:jaybeam:" + title.lowercase().replace(' ', '-')
    return json.encodeToString(ProblemBody.serializer(), ProblemBody(type, title, status, detail, outcome.text, remedy, ticket))
}

/**
 * Returns the problem for a caller that sent a ticket or key and may be repeating a request. An entry that did not forward
 * this attempt cannot know whether an earlier attempt ran.
 */
internal fun Problem.forResend(): Problem {
    if (coversAllAttempts || outcome == ProblemOutcome.UNKNOWN) return this
    return copy(
        outcome = ProblemOutcome.UNKNOWN,
        detail = "this attempt was not forwarded: $detail; an earlier attempt with the same ticket or key may have run",
        remedy = "$remedy; sending the same ticket or key again is safe",
    )
}

internal fun badRequest(detail: String, remedy: String, status: Int = 400) =
    Problem(status, "Bad request", ProblemOutcome.NOT_RUN, detail, remedy)

internal fun noTarget(detail: String) =
    Problem(503, "No target", ProblemOutcome.NOT_RUN, detail, "send the request again after the time in Retry-After", retryAfterSeconds = 1)

internal fun outcomeUnknown(detail: String, remedy: String, ticket: String? = null) =
    Problem(502, "Outcome unknown", ProblemOutcome.UNKNOWN, detail, remedy, ticket = ticket)

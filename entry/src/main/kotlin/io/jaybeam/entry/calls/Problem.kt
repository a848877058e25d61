/*
 * Refusals and failures as callers see them: application/problem+json with the outcome and its remedy.
 */
package io.jaybeam.entry.calls

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** What is known of a request that got no answer. */
internal enum class ProblemOutcome(
    val text: String,
) {
    /** No target ran the request, and none will under the same ticket or key. */
    NOT_RUN("not run"),

    /** A target may have run the request, or may run it yet. */
    UNKNOWN("outcome unknown"),
}

/**
 * A refusal.
 *
 * @property aboutRequest whether [outcome] was found for the request as a whole, and not only for this attempt of it.
 */
internal data class Problem(
    val status: Int,
    val title: String,
    val outcome: ProblemOutcome,
    val detail: String,
    val remedy: String,
    val retryAfterSeconds: Int? = null,
    val ticket: String? = null,
    val aboutRequest: Boolean = false,
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

/** Returns the JSON body of a problem response. */
internal fun Problem.toJson(): String {
    val type = "urn:jaybeam:" + title.lowercase().replace(' ', '-')
    return json.encodeToString(ProblemBody.serializer(), ProblemBody(type, title, status, detail, outcome.text, remedy, ticket))
}

/**
 * Returns the problem as it may be told to a caller that holds a ticket or key: an entry that turned this attempt away by
 * itself knows nothing of earlier attempts.
 */
internal fun Problem.forResend(): Problem {
    if (aboutRequest || outcome == ProblemOutcome.UNKNOWN) return this
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

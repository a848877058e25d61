/*
 * Work that a request is expected to cause at its target. Requests that look alike cost very different amounts of work, so
 * placement, admission and fairness count this instead of requests.
 */
package io.jaybeam.core.cost

/**
 * What a caller states about the size of its request, before any of it has run.
 *
 * @property promptTokens length of the prompt.
 * @property maxAnswerTokens longest answer that the caller accepts.
 * @property hintedAnswerTokens length of the answer that the caller expects; right at the median but often far off.
 */
public data class RequestSize(
    val promptTokens: Int? = null,
    val maxAnswerTokens: Int? = null,
    val hintedAnswerTokens: Int? = null,
)

/**
 * Expected work of a request at one target.
 *
 * @property readMillis time that the target spends on reading the prompt, or on all of a request to a plain service.
 * @property answerTokens tokens of the answer that are still to be written.
 * @property memoryTokens tokens that the request holds in the target's memory at its end.
 * @property relativeWork work relative to the mean request of its service; 1 if nothing is known that tells them apart.
 */
public data class RequestCost(
    val readMillis: Double,
    val answerTokens: Double,
    val memoryTokens: Double,
    val relativeWork: Double = 1.0,
) {
    /** Whether anything is known of the cost. */
    val isKnown: Boolean get() = this != UNKNOWN

    /** Constants. */
    public companion object {
        /** Cost of a request of which nothing is known: it counts as one request. */
        public val UNKNOWN: RequestCost = RequestCost(0.0, 0.0, 0.0)
    }
}

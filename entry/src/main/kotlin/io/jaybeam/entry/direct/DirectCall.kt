/*
 * A caller's request that the entry forwards to a target, and the interface through which it is answered.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.cost.CostEstimator
import io.jaybeam.core.cost.CostQuery
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.Route
import io.jaybeam.core.quarantine.RequestTrait
import io.jaybeam.entry.answer.AnswerFraming
import io.jaybeam.platform.CallerRequest
import io.jaybeam.platform.Header
import java.security.MessageDigest
import java.util.HexFormat

/**
 * A request that matched a route and may be forwarded.
 *
 * @property pathAndQuery path and query exactly as the caller sent them.
 * @property connectionHeader value of the caller's `Connection` header; null if it is absent.
 * @property body null if it is empty.
 * @property configVersion version of the configuration that contains the route.
 * @property deadlineNanos the earlier of the caller's deadline and the route's timeout, on the monotonic clock.
 * @property engine null for a plain service.
 * @property targetUrgency urgency that targets are told; null if they know none, or if all of their requests have the same.
 */
internal class DirectCall(
    val method: String,
    val pathAndQuery: String,
    val headers: List<Header>,
    val connectionHeader: String?,
    val body: ByteArray?,
    val caller: CallerRequest,
    val route: Route,
    val service: String,
    val organisation: String?,
    val urgency: Urgency,
    val configVersion: Long,
    val arrivedNanos: Long,
    val deadlineNanos: Long,
    val engine: EngineModel? = null,
    private val estimator: CostEstimator? = null,
    val targetUrgency: Urgency? = null,
) {
    /** What the expected cost depends on. */
    val costQuery: CostQuery by lazy { CostQuery(service, route.name, organisation, caller.size, engine) }

    /** Expected cost of the whole call. */
    val cost: RequestCost by lazy { estimator?.expected(costQuery) ?: RequestCost.UNKNOWN }

    /** Returns the expected cost of continuing the answer after [writtenEvents], which the next target reads again. */
    fun costAfter(writtenEvents: Int): RequestCost {
        val engine = engine
        if (writtenEvents == 0 || !cost.isKnown) return cost
        if (engine == null || estimator == null) return cost
        val writtenTokens = writtenEvents.toDouble() * engine.stepsPerPass
        val restTokens = estimator.expectedRestTokens(costQuery, writtenTokens)
        val promptTokens = cost.memoryTokens - cost.answerTokens + writtenTokens
        return RequestCost(engine.readMillis(promptTokens.toInt()), restTokens, promptTokens + restTokens)
    }

    /** Returns the time from [nowNanos] to the deadline, in milliseconds; negative once it has passed. */
    fun remainingMillis(nowNanos: Long): Long = (deadlineNanos - nowNanos) / NANOS_PER_MILLI

    /** Parts of the prompt that other requests may have in common with this one. */
    val promptParts: List<RequestTrait> by lazy { caller.sharedPromptParts.map(RequestTrait::PromptPart) }

    /** The trait that only repetitions of this request share. */
    val content: RequestTrait by lazy { RequestTrait.Content(contentFingerprint()) }

    /** All traits that may be the reason for which the request crashes targets. */
    val traits: List<RequestTrait> get() = promptParts + content

    private fun contentFingerprint(): String {
        val digest = MessageDigest.getInstance("SHA-256")
        listOf(method, pathAndQuery, organisation.orEmpty()).forEach {
            digest.update(it.encodeToByteArray())
            digest.update(0)
        }
        body?.let(digest::update)
        return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES)
    }
}

private const val FINGERPRINT_BYTES = 16

/** The answer to the caller of a [DirectCall]. */
internal interface DirectResponse {
    /** Whether the caller has closed its connection. */
    val isCallerGone: Boolean

    /** Whether the head of an answer has been sent. */
    val isCommitted: Boolean

    /** Whether sending the request to a target has begun, so that it may have run. */
    val isRequestSent: Boolean

    /** How the end of an answer of unknown length is marked for the caller. */
    val framing: AnswerFraming

    /** Calls [onGone] when the caller closes its connection, or immediately if it is closed already. */
    fun watch(onGone: () -> Unit)

    /** States that sending the request to a target begins. */
    fun onRequestSent()

    /** Sends the head of an answer. */
    fun sendHead(status: Int, headers: List<Header>)

    /** Sends the first [count] of [bytes] as part of the body, without buffering them. */
    fun write(bytes: ByteArray, count: Int)

    /** States that all of the answer has been written. Without it, the connection closes so that the answer looks incomplete. */
    fun complete()

    /** Answers with [refusal]. [retryAfterMillis], if not null, overrides the `Retry-After` of [refusal]. */
    fun refuse(refusal: Refusal, retryAfterMillis: Long? = null)
}

/** Reason for which an entry answers a request itself, with the status, remedy and `Retry-After` of that answer. */
internal enum class Refusal(
    val status: Int,
    val remedy: String,
    val retryAfterSeconds: String? = null,
) {
    NO_CONFIGURATION(503, "this instance has no configuration yet; send the request again", "0.5"),
    STOPPING(503, "this instance is shutting down and has not run the request; send it again to reach another instance", "0.1"),
    NO_ROUTE(404, "no route matches this host and path; correct them or publish a route"),
    UNKNOWN_KEY(401, "the key belongs to no organisation; send a key that the current configuration lists"),
    TOO_LARGE(413, "the body exceeds the configured size limit; send a smaller one"),
    MALFORMED_TARGET(400, "the path or query cannot be forwarded unchanged; encode it according to RFC 3986"),
    MALFORMED_HEADER(400, "a header value cannot be forwarded unchanged; encode it in UTF-8, without white space at its ends"),
    UNSENDABLE_BODY(400, "a GET or HEAD request cannot be forwarded with a body; send it without one, or use another method"),
    NOT_SENT(503, "this instance failed before it sent the request, which has not run; send it again later", "0.3"),
    NO_TARGET(503, "no target is available and the request has not run; send it again later", "0.5"),
    NO_ROOM(503, "another stream would delay the running ones and the request has not run; send it again later", "1.0"),
    UNAVAILABLE(503, "the targets take no requests at the moment and the request has not run; send it again later", "0.5"),
    QUARANTINED(
        503,
        "requests like this one have crashed targets, so it was kept from them and has not run; change the prompt, or send it later",
    ),
    NOT_RUN(503, "every target that was tried refused the request and it has not run; send it again later", "0.3"),
    OUTCOME_UNKNOWN(502, "the target's answer was lost and the request may have run"),
    DEADLINE(504, "the deadline passed before the answer was complete and the request may have run"),
}

internal const val NANOS_PER_MILLI = 1_000_000L

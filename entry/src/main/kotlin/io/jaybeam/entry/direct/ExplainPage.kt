/*
 * Serves `GET /explain` to operators: the host and path of a request in question and the sizes that its caller would state as query
 * parameters, and its key as a bearer token.
 */
package io.jaybeam.entry.direct

import io.javalin.http.Context
import io.jaybeam.core.cost.RequestSize
import io.jaybeam.platform.CallerRequest
import io.jaybeam.platform.decodeCallerRequest
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

internal const val EXPLAIN_PATH = "/explain"
private const val BAD_REQUEST = 400
private val json = Json { encodeDefaults = true }

/** Answers questions with what [explainer] finds. Thread-safe. */
internal class ExplainPage(
    private val explainer: RequestExplainer,
) {
    /** Answers the question of [context]. */
    fun serve(context: Context) {
        val question =
            try {
                questionOf(context)
            } catch (e: IllegalArgumentException) {
                return answer(context, BAD_REQUEST, ExplainProblem.serializer(), problemOf(e.message.orEmpty()))
            }
        when (val answer = explainer.explain(question)) {
            is ExplainAnswer.Explained -> {
                answer(context, OK, RequestExplanation.serializer(), answer.explanation)
            }

            is ExplainAnswer.NotServed -> {
                val refusal = answer.refusal
                answer(context, refusal.status, ExplainProblem.serializer(), ExplainProblem(refusal.name, refusal.remedy))
            }
        }
    }

    private fun questionOf(context: Context): ExplainQuestion {
        val caller = decodeCallerRequest { name -> context.header(name)?.let { headerTextOrNull(it) ?: it } }
        val size =
            RequestSize(tokensOrNull(context, "promptTokens"), tokensOrNull(context, "maxTokens"), tokensOrNull(context, "hintTokens"))
        return ExplainQuestion(
            host = requireNotNull(context.queryParam("host")) { "the parameter host is missing" },
            path = requireNotNull(context.queryParam("path")) { "the parameter path is missing" }.substringBefore('?'),
            caller = CallerRequest(requestId = null, deadlineMillis = null, key = caller.key, lastEventId = null, size = size),
        )
    }

    private fun tokensOrNull(context: Context, name: String): Int? {
        val value = context.queryParam(name) ?: return null
        return requireNotNull(value.toIntOrNull()?.takeIf { it > 0 }) { "the parameter $name is not a positive number of tokens" }
    }

    private fun problemOf(problem: String) =
        ExplainProblem(problem, "state host and path, and token counts as positive whole numbers, as `jaybeam explain` does")

    private fun <T> answer(
        context: Context,
        status: Int,
        serializer: KSerializer<T>,
        value: T,
    ) {
        context.status(status).contentType("application/json").result(json.encodeToString(serializer, value))
    }

    private companion object {
        const val OK = 200
    }
}

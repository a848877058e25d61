/*
 * `jaybeam explain`: asks a running entry where a request would go now and why, without sending it.
 */
package io.jaybeam.entry.operator

import io.jaybeam.entry.direct.EXPLAIN_PATH
import io.jaybeam.entry.direct.ExplainProblem
import io.jaybeam.entry.direct.RequestExplanation
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.Request
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.io.IOException
import java.util.concurrent.Callable

private const val CONNECT_TIMEOUT_MILLIS = 2_000L
private const val READ_TIMEOUT_MILLIS = 2_000L
private const val OK = 200
private const val UNAVAILABLE = 503
private val json = Json { ignoreUnknownKeys = true }

/** `jaybeam explain` */
@Command(name = "explain", description = ["Explains where a request would go now and why, without sending it."])
internal class ExplainCommand : Callable<Int> {
    @Parameters(paramLabel = "OPERATOR-URL", description = ["http://ADDRESS:PORT of an entry's metrics"])
    private lateinit var url: String

    @Option(names = ["--host"], required = true, description = ["Host of the request"])
    private lateinit var host: String

    @Option(names = ["--path"], required = true, description = ["Path of the request"])
    private lateinit var path: String

    @Option(names = ["--key"], description = ["Key of its caller; visible in the list of processes"])
    private var key: String? = null

    @Option(names = ["--prompt-tokens"], description = ["Length of the prompt that the caller states"])
    private var promptTokens: Int? = null

    @Option(names = ["--hint-tokens"], description = ["Length of the answer that the caller expects"])
    private var hintTokens: Int? = null

    @Option(names = ["--max-tokens"], description = ["Longest answer that the caller accepts"])
    private var maxTokens: Int? = null

    @Option(names = ["--json"], description = ["Print the entry's answer as it is"])
    private var isJson: Boolean = false

    override fun call(): Int {
        val question = questionUrl() ?: return fail("$url is not a URL; specify it as http://ADDRESS:PORT", ExitCodes.INVALID_INPUT)
        return try {
            val request = Request.Builder().url(question)
            key?.let { request.header("Authorization", "Bearer $it") }
            singleAttemptClient(HttpTimeouts(CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS)).newCall(request.build()).execute().use {
                printAnswer(it.code, it.body.string())
            }
        } catch (e: IOException) {
            fail("$url does not answer (${e.message}); check the address of the entry's metrics in its settings", ExitCodes.INVALID_INPUT)
        } catch (e: IllegalArgumentException) {
            fail("--key cannot be sent (${e.message}); state it as callers send it", ExitCodes.INVALID_INPUT)
        }
    }

    private fun questionUrl(): HttpUrl? {
        val base = url.trimEnd('/').plus(EXPLAIN_PATH).toHttpUrlOrNull() ?: return null
        val builder = base.newBuilder().addQueryParameter("host", host).addQueryParameter("path", path)
        mapOf("promptTokens" to promptTokens, "hintTokens" to hintTokens, "maxTokens" to maxTokens).forEach { (name, value) ->
            if (value != null) builder.addQueryParameter(name, "$value")
        }
        return builder.build()
    }

    private fun printAnswer(status: Int, body: String): Int =
        try {
            if (status == OK) {
                val explanation = json.decodeFromString(RequestExplanation.serializer(), body)
                if (isJson) println(body) else explanationLines(explanation).forEach(::println)
                ExitCodes.SUCCESS
            } else {
                val problem = json.decodeFromString(ExplainProblem.serializer(), body)
                fail("${problem.problem}: ${problem.remedy}", if (status == UNAVAILABLE) ExitCodes.FAILURE else ExitCodes.INVALID_INPUT)
            }
        } catch (e: SerializationException) {
            fail("$url explains no requests (status $status); specify the address of an entry's metrics", ExitCodes.INVALID_INPUT)
        }

    private fun fail(text: String, exitCode: Int): Int {
        System.err.println("jaybeam: $text")
        return exitCode
    }
}

/*
 * Sends a request to one target once and says whether it may have run there.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.platform.Header
import io.jaybeam.platform.TargetAnswer
import io.jaybeam.platform.decodeTargetAnswer
import io.jaybeam.platform.targetHeaders
import io.jaybeam.platform.withLastEventId
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import okhttp3.Call
import okhttp3.EventListener
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.TimeUnit

// A target on the same network accepts within some ms; the rest is for one lost packet.
private const val CONNECT_MILLIS = 500L

// Connections kept for later requests, to all targets together.
private const val MAX_IDLE_CONNECTIONS = 256

/** What became of one send. */
internal sealed class SendOutcome {
    /** The target began to answer; [call] cancels what is left of it. */
    class Answered(
        val call: Call,
        val response: Response,
        val answer: TargetAnswer,
    ) : SendOutcome()

    /** The request did not run at the target and never will. */
    data class NotRun(
        val detail: String,
    ) : SendOutcome()

    /** The request may have run at the target. */
    data class Unknown(
        val detail: String,
    ) : SendOutcome()

    /** Path or query would change on the way. */
    data object Unsendable : SendOutcome()
}

/** Sends requests to targets. Thread-safe. */
internal class TargetSender {
    private class Progress {
        @Volatile
        var isRequestBegun = false
    }

    private val client: OkHttpClient =
        singleAttemptClient(HttpTimeouts(connectMillis = CONNECT_MILLIS, readMillis = 0), MAX_IDLE_CONNECTIONS)
            .newBuilder()
            .eventListener(ProgressListener)
            .build()

    /** Sends [call] to [target], to go on after [lastEventId] where that is not null. */
    fun send(
        call: DirectCall,
        target: FleetTarget,
        lastEventId: Long?,
        response: DirectResponse,
    ): SendOutcome {
        val url = "http://${target.host}:${target.port}${call.target}".toHttpUrlOrNull()
        if (url == null || !url.toString().endsWith(call.target)) return SendOutcome.Unsendable
        val remainingMillis = call.remainingMillis(System.nanoTime())
        val headers = targetHeaders(call.headers, call.connectionNames, target.id, call.organisation, remainingMillis)
        val progress = Progress()
        val request =
            Request
                .Builder()
                .url(url)
                .method(call.method, call.bodyToSend())
                .headersOf(if (lastEventId == null) headers else withLastEventId(headers, lastEventId))
                .tag(Progress::class.java, progress)
                .build()
        val sent = client.newCall(request)
        sent.timeout().timeout(maxOf(remainingMillis, 1), TimeUnit.MILLISECONDS)
        response.watch(sent::cancel)
        return try {
            outcomeOf(call, sent, sent.execute())
        } catch (e: IOException) {
            val detail = "${target.id}: ${e.javaClass.simpleName}: ${e.message}"
            if (progress.isRequestBegun) SendOutcome.Unknown(detail) else SendOutcome.NotRun(detail)
        }
    }

    private fun outcomeOf(call: DirectCall, sent: Call, received: Response): SendOutcome {
        val answer = decodeTargetAnswer(received.code, received::header)
        if (call.caller.requestId != null && answer.requestId != null && answer.requestId != call.caller.requestId) {
            // An answer to an earlier request of this connection, which cannot be used any more.
            sent.cancel()
            received.close()
            return SendOutcome.Unknown("answer belongs to request ${answer.requestId}")
        }
        if (answer.isNotRun) {
            received.close()
            return SendOutcome.NotRun("target answered ${received.code}")
        }
        if (received.isSuccessful && !answer.isSealed) {
            // A target that dies may close its connection after the head, which looks like an empty answer.
            sent.cancel()
            received.close()
            return SendOutcome.Unknown("success without a seal")
        }
        return SendOutcome.Answered(sent, received, answer)
    }

    private fun DirectCall.bodyToSend() = body?.toRequestBody() ?: if (method in methodsWithBody) ByteArray(0).toRequestBody() else null

    private fun Request.Builder.headersOf(headers: List<Header>): Request.Builder {
        headers.forEach { addHeader(it.name, it.value) }
        // OkHttp would ask for compressed bodies otherwise.
        if (headers.none { it.name.equals("Accept-Encoding", ignoreCase = true) }) header("Accept-Encoding", "identity")
        return this
    }

    private object ProgressListener : EventListener() {
        override fun requestHeadersStart(call: Call) {
            call.request().tag(Progress::class.java)?.isRequestBegun = true
        }
    }
}

private val methodsWithBody = setOf("POST", "PUT", "PATCH")

/*
 * Sends a request to one target, at most once, and reports whether it may have run there.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.TargetNotices
import io.jaybeam.platform.Header
import io.jaybeam.platform.TargetAnswer
import io.jaybeam.platform.decodeTargetAnswer
import io.jaybeam.platform.remainingTimeHeader
import io.jaybeam.platform.targetHeaders
import io.jaybeam.platform.withLastEventId
import io.jaybeam.runtime.http.BoundedSocket
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.RequestId
import io.jaybeam.runtime.http.UNLIMITED_BODY
import io.jaybeam.runtime.http.UnconnectedSocketFactory
import io.jaybeam.runtime.http.WithdrawingSocket
import io.jaybeam.runtime.http.endsWithConnection
import io.jaybeam.runtime.http.singleAttemptClient
import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.EventListener
import okhttp3.Headers
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Proxy
import java.util.concurrent.TimeUnit

// A target on the same network accepts a connection within a few ms; the remaining time allows for one lost packet.
private const val CONNECT_TIMEOUT_MILLIS = 500L

// Idle connections kept open for reuse, to all targets together.
private const val MAX_IDLE_CONNECTIONS = 256
private const val HTTP_LOWEST_FINAL_STATUS = 200
private const val DELETE = '\u007f'

/** Why a request did not run at a target. */
internal enum class NotRunReason {
    /** Nothing listens at the target's address. */
    REFUSED_CONNECTION,

    /** Nothing of the request was sent for another reason. */
    UNSENT,

    /** Another target answered at its address. */
    ANOTHER_TARGET,

    /** A target on which it depends has failed. */
    GROUP_UNAVAILABLE,

    /** The target was full, or states no reason. */
    DECLINED,
    ;

    /** Whether the target received nothing of the request. */
    val isUnsent: Boolean get() = this == REFUSED_CONNECTION || this == UNSENT

    /** Whether the listed target is not there. */
    val isTargetGone: Boolean get() = this == REFUSED_CONNECTION || this == ANOTHER_TARGET

    /** Whether the reason is other than the load of the target. */
    val isUnavailable: Boolean get() = isTargetGone || this == GROUP_UNAVAILABLE
}

/** Outcome of sending a request to a target. */
internal sealed class SendOutcome {
    /** Number of requests that were sent over the same connection before; null if none was open. */
    abstract val requestsBefore: Int?

    /** The target started to answer. Cancelling [call] discards the rest of the answer. */
    class Answered(
        val call: Call,
        val response: Response,
        val answer: TargetAnswer,
        override val requestsBefore: Int,
    ) : SendOutcome()

    /** The request did not run at the target and never will for [reason], because [failedTargetId] has failed if that is not null. */
    data class NotRun(
        val detail: String,
        val failedTargetId: String? = null,
        override val requestsBefore: Int? = null,
        val reason: NotRunReason = NotRunReason.DECLINED,
    ) : SendOutcome()

    /** The request may have run at the target. */
    data class Unknown(
        val detail: String,
        override val requestsBefore: Int? = null,
    ) : SendOutcome()

    /** The HTTP client would change the path or the query. */
    data object Unsendable : SendOutcome() {
        override val requestsBefore = null
    }
}

/** The target has stopped taking requests while its connection was opened. No request was written. */
private class TargetUnavailableException : IOException("the target takes no requests any more")

/** No time was left when the connection was open. No request was written. */
private class NoTimeLeftException : IOException("no time is left for the request")

/**
 * Sends requests to targets. A request that ends before its answer resets its connection, so that what is held up on the way to a target
 * that reads nothing does not reach it later. Thread-safe.
 *
 * [onAnswer] is called with each answer of a target, also with those that cannot be relayed.
 */
internal class TargetSender(
    private val notices: TargetNotices = TargetNotices(),
    private val onAnswer: (DirectCall, FleetTarget, TargetAnswer) -> Unit = { _, _, _ -> },
    newSocket: () -> BoundedSocket = ::WithdrawingSocket,
) {
    private class Progress(
        val call: DirectCall,
        val target: FleetTarget,
    ) {
        @Volatile
        var isRequestStarted = false

        @Volatile
        var isNewConnection = false

        @Volatile
        var hasRequestFailed = false

        @Volatile
        var socket: BoundedSocket? = null

        val requestsBefore: Int? get() = socket?.let { it.requestCount - 1 }
    }

    private val client: OkHttpClient =
        singleAttemptClient(HttpTimeouts(connectMillis = CONNECT_TIMEOUT_MILLIS, readMillis = 0), MAX_IDLE_CONNECTIONS, UNLIMITED_BODY)
            .newBuilder()
            .socketFactory(UnconnectedSocketFactory(newSocket))
            .eventListener(ProgressListener)
            .addNetworkInterceptor { chain ->
                val progress = chain.request().tag(Progress::class.java)
                progress?.socket = chain.connection()?.socket() as? BoundedSocket
                if (progress != null && !notices.acceptsRequests(progress.target)) throw TargetUnavailableException()
                chain.proceed(if (progress == null) chain.request() else withRemainingTime(chain.request(), progress.call))
            }.build()

    /** Sends each request over a connection of its own. */
    private val unpooledClient = client.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    /**
     * Sends [call] to [target] and returns when the head of the answer was received or the request failed. Cancels the request
     * when the caller of [response] closes its connection.
     *
     * @param lastEventId id of the event after which the target resumes the stream; null for a new request.
     */
    fun send(
        call: DirectCall,
        target: FleetTarget,
        lastEventId: Long?,
        response: DirectResponse,
    ): SendOutcome {
        val url = "http://${target.host}:${target.port}${call.pathAndQuery}".toHttpUrlOrNull()
        if (url == null || !url.toString().endsWith(call.pathAndQuery)) return SendOutcome.Unsendable
        val headers = targetHeaders(call.headers, call.connectionHeader, target.id, call.organisation, call.targetUrgency)
        val progress = Progress(call, target)
        val request =
            Request
                .Builder()
                .url(url)
                .method(call.method, call.requestBody())
                .headers(okHttpHeaders(if (lastEventId == null) headers else withLastEventId(headers, lastEventId)))
                .tag(Progress::class.java, progress)
                .tag(RequestId::class.java, call.caller.requestId?.let(::RequestId))
                .build()
        // Without an id, only the first answer on a connection is known to belong to its request.
        val firstClient = if (call.caller.requestId == null) unpooledClient else client
        return try {
            execute(call, firstClient.newCall(request), progress, response)
        } catch (e: ConnectException) {
            failureOf(e, progress, NotRunReason.REFUSED_CONNECTION)
        } catch (e: IOException) {
            failureOf(e, progress, NotRunReason.UNSENT)
        }
    }

    /** Returns the outcome of a send that failed with [e], which was for [unsentReason] if nothing of the request was sent. */
    private fun failureOf(e: IOException, progress: Progress, unsentReason: NotRunReason): SendOutcome {
        val detail = "${progress.target.id}: ${e.javaClass.simpleName}: ${e.message}"
        if (progress.isRequestStarted) return SendOutcome.Unknown(detail, progress.requestsBefore)
        return SendOutcome.NotRun(detail, requestsBefore = progress.requestsBefore, reason = unsentReason)
    }

    /** Returns [request] with the time that is left now: opening its connection may have taken a part of the time of [call]. */
    private fun withRemainingTime(request: Request, call: DirectCall): Request {
        val remainingMillis = call.remainingMillis(System.nanoTime())
        if (remainingMillis <= 0) throw NoTimeLeftException()
        val (name, value) = remainingTimeHeader(remainingMillis)
        return request.newBuilder().header(name, value).build()
    }

    private fun execute(
        call: DirectCall,
        httpCall: Call,
        progress: Progress,
        response: DirectResponse,
    ): SendOutcome {
        httpCall.timeout().timeout(maxOf(call.remainingMillis(System.nanoTime()), 1), TimeUnit.MILLISECONDS)
        response.watch(httpCall::cancel)
        response.onRequestSent()
        return outcomeOf(call, httpCall, httpCall.execute(), progress)
    }

    private fun outcomeOf(
        call: DirectCall,
        httpCall: Call,
        received: Response,
        progress: Progress,
    ): SendOutcome {
        val answer = decodeTargetAnswer(received.code) { received.headers(it) }
        if (answer.repeatedHeader == null && answer.unreadableHeader == null) onAnswer(call, progress.target, answer)
        val fault = faultOf(call, received, answer, progress)
        if (fault != null) {
            // The rest of the answer must not reach another request, so the connection must not be reused.
            httpCall.cancel()
            received.close()
            // An answer without a body has returned the connection to the pool already, where cancelling the call does not reach it.
            progress.socket?.close()
            return SendOutcome.Unknown(fault, progress.requestsBefore)
        }
        if (answer.isNotRun) {
            received.close()
            return SendOutcome.NotRun("target answered ${received.code}", answer.failedTargetId, progress.requestsBefore, reasonOf(answer))
        }
        if (answer.hasNotRunStatus) {
            // Callers would take this status for the promise that the target did not give.
            received.close()
            return SendOutcome.Unknown("target answered ${received.code} and may have run the request", progress.requestsBefore)
        }
        return SendOutcome.Answered(httpCall, received, answer, progress.requestsBefore ?: 0)
    }

    private fun reasonOf(answer: TargetAnswer): NotRunReason =
        when {
            answer.isFromAnotherTarget -> NotRunReason.ANOTHER_TARGET
            answer.failedTargetId != null -> NotRunReason.GROUP_UNAVAILABLE
            else -> NotRunReason.DECLINED
        }

    /** Returns why [received] cannot be the answer to [call], or null if it can. */
    private fun faultOf(
        call: DirectCall,
        received: Response,
        answer: TargetAnswer,
        progress: Progress,
    ): String? {
        // An answer without an id on a connection that was used before may belong to an earlier request.
        val belongsToCall = if (answer.requestId == null) progress.isNewConnection else answer.requestId == call.caller.requestId
        return when {
            answer.unreadableHeader != null -> "answer ${received.code} has a malformed ${answer.unreadableHeader}"

            !belongsToCall -> "answer ${received.code} belongs to request ${answer.requestId ?: "of unknown id"}"

            answer.repeatedHeader != null -> "answer ${received.code} has ${answer.repeatedHeader} more than once"

            received.code < HTTP_LOWEST_FINAL_STATUS -> "status ${received.code} is not that of a final answer"

            answer.isNotRun -> null

            // A target that crashes may close its connection after the head, which looks like an empty answer.
            received.isSuccessful && !answer.isSealed -> "success without a seal"

            progress.hasRequestFailed && received.endsWithConnection ->
                "the connection failed while the request was sent, so the end of the answer cannot be recognised"

            else -> null
        }
    }

    private fun DirectCall.requestBody() = body?.toRequestBody() ?: if (method in methodsWithBody) ByteArray(0).toRequestBody() else null

    private fun okHttpHeaders(headers: List<Header>): Headers {
        val builder = Headers.Builder()
        headers.forEach { (name, value) ->
            // OkHttp checks a value only if all of it has to be ASCII.
            require(value.none { it.isControl() }) { "header $name has a control character" }
            builder.addUnsafeNonAscii(name, value)
        }
        // Without this header, OkHttp requests a compressed body.
        if (headers.none { it.name.equals("Accept-Encoding", ignoreCase = true) }) builder["Accept-Encoding"] = "identity"
        return builder.build()
    }

    private fun Char.isControl() = (this < ' ' && this != '\t') || this == DELETE

    private object ProgressListener : EventListener() {
        override fun connectStart(call: Call, inetSocketAddress: InetSocketAddress, proxy: Proxy) {
            call.request().tag(Progress::class.java)?.isNewConnection = true
        }

        override fun requestHeadersStart(call: Call) {
            call.request().tag(Progress::class.java)?.isRequestStarted = true
        }

        override fun requestFailed(call: Call, ioe: IOException) {
            call.request().tag(Progress::class.java)?.hasRequestFailed = true
        }
    }
}

private val methodsWithBody = setOf("POST", "PUT", "PATCH")

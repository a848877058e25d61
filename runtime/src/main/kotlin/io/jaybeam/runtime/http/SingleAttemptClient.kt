/*
 * An OkHttp client that sends each request at most once and accepts well-formed answers only. By default, OkHttp repeats a request after
 * a failed connection, a redirect, a 408 or a 503 with `Retry-After: 0`; all of these are disabled here.
 */
package io.jaybeam.runtime.http

import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.Dispatcher
import okhttp3.Headers
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response
import java.util.concurrent.TimeUnit

private const val RETRY_AFTER = "Retry-After"
private const val HIDDEN_RETRY_AFTER = "X-Jaybeam-Hidden-Retry-After"
private const val MAX_IDLE_CONNECTIONS = 16

// More than any client keeps open.
private const val MAX_SKIPPED_CONNECTIONS = 512
private const val KEEP_ALIVE_SECONDS = 30L
private const val MAX_CONCURRENT_CALLS = 4_096

// Several pages of a store, or the map of a group of hundreds of ranks.
private const val MAX_BODY_BYTES = 16L * 1_024 * 1_024

/** Bodies of any length, for answers that are passed on while they are read. */
public const val UNLIMITED_BODY: Long = Long.MAX_VALUE

/** Timeouts of an HTTP client in milliseconds; 0 disables a timeout. */
public data class HttpTimeouts(
    val connectMillis: Long = 1_000,
    val readMillis: Long = 5_000,
    val callMillis: Long = 0,
)

/**
 * Returns a client that sends each request at most once and keeps up to [maxIdleConnections] idle connections open for reuse.
 *
 * An answer with a malformed head fails with a [MalformedHeadException]. Reading more than [maxBodyBytes] of an answer fails. A client
 * whose callers do not read whole bodies into memory may set [UNLIMITED_BODY].
 */
public fun singleAttemptClient(
    timeouts: HttpTimeouts,
    maxIdleConnections: Int = MAX_IDLE_CONNECTIONS,
    maxBodyBytes: Long = MAX_BODY_BYTES,
): OkHttpClient =
    OkHttpClient
        .Builder()
        // All URLs are http. Without TLS, the client does not load the JVM's trust store, which takes 0.4 s.
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .addInterceptor(UnusableConnectionSkip)
        .addInterceptor(Interceptor { it.proceed(it.request()).renameHeader(HIDDEN_RETRY_AFTER, RETRY_AFTER) })
        .socketFactory(UnconnectedSocketFactory(::BoundedSocket))
        .addNetworkInterceptor(AnswerLimit(maxBodyBytes))
        .addNetworkInterceptor(Interceptor { it.proceed(it.request()).renameHeader(RETRY_AFTER, HIDDEN_RETRY_AFTER) })
        .addNetworkInterceptor(HeadCheck)
        .connectionPool(ConnectionPool(maxIdleConnections, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
        .dispatcher(
            Dispatcher().apply {
                maxRequests = MAX_CONCURRENT_CALLS
                maxRequestsPerHost = MAX_CONCURRENT_CALLS
            },
        ).connectTimeout(timeouts.connectMillis, TimeUnit.MILLISECONDS)
        .readTimeout(timeouts.readMillis, TimeUnit.MILLISECONDS)
        .writeTimeout(timeouts.readMillis, TimeUnit.MILLISECONDS)
        .callTimeout(timeouts.callMillis, TimeUnit.MILLISECONDS)
        .build()

/**
 * Sends a request over another connection if a kept one could not carry it, as nothing was written then. Each such failure closes the
 * connection, and a new one is not tried again.
 */
private object UnusableConnectionSkip : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        repeat(MAX_SKIPPED_CONNECTIONS) {
            try {
                return chain.proceed(chain.request())
            } catch (e: UnusableConnectionException) {
                if (e.isNewConnection) throw e
            }
        }
        return chain.proceed(chain.request())
    }
}

private fun Response.renameHeader(from: String, to: String): Response {
    if (header(from) == null) return this
    val renamed = Headers.Builder()
    // A value that is not ASCII is refused by the other functions of the builder.
    headers.forEach { (name, value) -> renamed.addUnsafeNonAscii(if (name.equals(from, ignoreCase = true)) to else name, value) }
    return newBuilder().headers(renamed.build()).build()
}

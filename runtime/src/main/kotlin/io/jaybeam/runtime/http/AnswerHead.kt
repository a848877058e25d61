/*
 * Rejects answers with a malformed head, which the HTTP client accepts.
 *
 * OkHttp accepts any line as a header: one without a colon becomes the value of a header without a name, and of several lengths the last
 * one counts. A server that begins one answer and then sends another thereby yields one head of two answers, whose status, headers and
 * body do not belong together.
 */
package io.jaybeam.runtime.http

import okhttp3.Headers
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException

/** The head of an answer is malformed, so it is not known what it belongs to. The request may have run. */
public class MalformedHeadException(
    message: String,
) : IOException(message)

/** Fails with a [MalformedHeadException] if the head of an answer is malformed, and closes its connection. A network interceptor. */
internal object HeadCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val socket = chain.connection()?.socket()
        val fault = headFaultOrNull(response.headers, response.message)
        if (fault == null) {
            (socket as? BoundedSocket)?.onHeadAccepted()
            return response
        }
        socket?.close()
        response.close()
        throw MalformedHeadException("answer ${response.code}: $fault")
    }
}

/** Returns what is wrong with a head of [headers] and [reasonPhrase], with a printable excerpt; null if it is well formed. */
internal fun headFaultOrNull(headers: Headers, reasonPhrase: String = ""): String? {
    if (hasStatusLine(reasonPhrase)) return "a second status line in the first: \"${printableExcerpt(reasonPhrase)}\""
    headers.firstOrNull { (name, value) -> !isToken(name) || value.any(::isControl) || hasStatusLine(value) }?.let { (name, value) ->
        return "malformed header line \"${printableExcerpt("$name: $value")}\""
    }
    val lengths = headers.values(CONTENT_LENGTH)
    val codings = headers.values(TRANSFER_ENCODING)
    return when {
        lengths.size > 1 || codings.size > 1 -> "the head states its framing more than once: ${printableExcerpt("${lengths + codings}")}"
        lengths.any { !isLength(it) } -> "Content-Length \"${printableExcerpt(lengths.single())}\" is not a length"
        codings.any { !it.equals(CHUNKED, ignoreCase = true) } -> "unknown Transfer-Encoding \"${printableExcerpt(codings.single())}\""
        else -> null
    }
}

internal fun isToken(name: String) = name.isNotEmpty() && name.all { it in tokenCharacters }

private fun isControl(character: Char) = (character < ' ' && character != '\t') || character == DELETE

private fun isLength(value: String) = value.length in 1..MAX_LENGTH_DIGITS && value.all { it in '0'..'9' }

/** Returns the beginning of [text] with `?` in place of each character that is not printable ASCII. */
internal fun printableExcerpt(text: String) = text.take(EXCERPT_LENGTH).map { if (it in ' '..'~') it else '?' }.joinToString("")

private const val CONTENT_LENGTH = "Content-Length"
private const val TRANSFER_ENCODING = "Transfer-Encoding"
private const val CHUNKED = "chunked"
private const val DELETE = '\u007f'
private const val MAX_LENGTH_DIGITS = 18
private const val EXCERPT_LENGTH = 120
private val tokenCharacters = (('a'..'z') + ('A'..'Z') + ('0'..'9') + "!#$%&'*+-.^_`|~".toList()).toSet()

/*
 * Text of header values. The server reads and writes each byte of a value as one character, the HTTP client reads and writes a value as
 * UTF-8.
 */
package io.jaybeam.entry.direct

import io.jaybeam.platform.Header
import io.jaybeam.platform.isReadableText
import jakarta.servlet.http.HttpServletRequest
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

/** Returns the headers of [request], or null if the HTTP client would change one of their values. */
internal fun headersOrNull(request: HttpServletRequest): List<Header>? {
    val received = request.headerNames.asSequence().flatMap { name -> request.getHeaders(name).asSequence().map { Header(name, it) } }
    return received.toList().map { header -> Header(header.name, headerTextOrNull(header.value) ?: return null) }
}

/**
 * Returns the text whose UTF-8 form is the bytes that [value] holds as one character each; null if they are not UTF-8, or if the
 * text begins or ends with white space, which the HTTP client removes.
 */
internal fun headerTextOrNull(value: String): String? {
    if (value.all { it.code <= MAX_ASCII }) return value
    return try {
        val text = Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value.toByteArray(Charsets.ISO_8859_1)))
        text.toString().takeIf { it.trim() == it }
    } catch (e: CharacterCodingException) {
        null
    }
}

/** Returns the characters as which the server writes the bytes that the HTTP client read as [text]; null if some of them were lost. */
internal fun callerTextOrNull(text: String): String? =
    when {
        text.all { it.code <= MAX_ASCII } -> text
        isReadableText(text) -> text.toByteArray(Charsets.UTF_8).toString(Charsets.ISO_8859_1)
        else -> null
    }

private const val MAX_ASCII = 0x7f

/*
 * Limits the nesting of JSON from other writers. A parser calls itself for each level, so a document of a few kilobytes
 * can overflow the stack of the thread that reads it.
 */
package io.jaybeam.core.json

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Maximum nesting of objects and arrays in a document. */
public const val MAX_JSON_DEPTH: Int = 64

/**
 * Parses [text] as JSON.
 *
 * @throws SerializationException if [text] is not JSON or is nested deeper than [MAX_JSON_DEPTH].
 */
public fun parseJson(text: String): JsonElement {
    checkJsonDepth(text)
    return Json.parseToJsonElement(text)
}

/**
 * Checks the nesting of [text] before it is decoded; [text] need not be valid JSON.
 *
 * @throws SerializationException if it is nested deeper than [MAX_JSON_DEPTH].
 */
public fun checkJsonDepth(text: String) {
    var depth = 0
    var isInString = false
    var isEscaped = false
    text.forEach { character ->
        when {
            isEscaped -> isEscaped = false
            isInString && character == '\\' -> isEscaped = true
            character == '"' -> isInString = !isInString
            isInString -> Unit
            character == '{' || character == '[' -> depth += 1
            character == '}' || character == ']' -> depth -= 1
        }
        if (depth > MAX_JSON_DEPTH) throw SerializationException("nested deeper than $MAX_JSON_DEPTH levels")
    }
}

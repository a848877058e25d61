/*
 * Reads and validates JSON documents. All faults of a document are collected, so that they can be reported at once.
 * Each fault has a JSON path such as `$.priceTiers[0].name`.
 */
package io.jaybeam.core.json

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull

/**
 * A fault in a JSON document.
 *
 * @property path JSON path of the faulty value.
 * @property problem what is wrong with the value.
 * @property remedy how to correct it.
 */
public data class JsonFault(
    val path: String,
    val problem: String,
    val remedy: String,
) {
    override fun toString(): String = "$path: $problem; $remedy"
}

/**
 * Reads the members of a JSON object and records a fault for each member that is missing, unknown or of another type.
 *
 * A function that records a fault returns a placeholder, so that the remaining members are still read.
 */
public class JsonObjectReader internal constructor(
    private val path: String,
    private val members: JsonObject,
    private val faults: MutableList<JsonFault>,
) {
    private val requestedNames = mutableSetOf<String>()

    /** Returns the JSON path of member [name]. */
    public fun pathOf(name: String): String = "$path.$name"

    /** Records a fault of member [name]. */
    public fun fault(name: String, problem: String, remedy: String) {
        faults += JsonFault(pathOf(name), problem, remedy)
    }

    /** Returns the non-blank string in member [name], or [default] if the member is absent. */
    public fun string(name: String, default: String? = null): String {
        val element = member(name) ?: return default ?: missing(name, "a string").let { "" }
        val primitive = element as? JsonPrimitive
        if (primitive == null || !primitive.isString || primitive.content.isBlank()) {
            fault(name, "is not a non-blank string", "use a string in quotes")
            return ""
        }
        return primitive.content
    }

    /** Returns the integer in member [name], which has to be within [range], or [default] if the member is absent. */
    public fun long(name: String, range: LongRange, default: Long? = null): Long {
        val element = member(name) ?: return default ?: missing(name, "an integer").let { range.first }
        val value = (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
        if (value == null || value !in range) {
            fault(name, "is not an integer from ${range.first} to ${range.last}", "use an integer in that range")
            return range.first
        }
        return value
    }

    /** Returns the integer in member [name] as an [Int]. See [long]. */
    public fun int(name: String, range: IntRange, default: Int? = null): Int =
        long(name, range.first.toLong()..range.last.toLong(), default?.toLong()).toInt()

    /** Returns the boolean in member [name], or [default] if the member is absent. */
    public fun boolean(name: String, default: Boolean): Boolean {
        val element = member(name) ?: return default
        val value = (element as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
        if (value == null) fault(name, "is not a boolean", "use true or false without quotes")
        return value ?: default
    }

    /** Reads the object in member [name] with [read]. Records a fault and returns null if there is no such object. */
    public fun <T> objectOrNull(name: String, read: JsonObjectReader.() -> T): T? {
        val element = member(name) ?: return null.also { missing(name, "an object") }
        return readObject(pathOf(name), element, faults, read)
    }

    /** Reads each object of the array in member [name] with [read]. An absent array is treated as empty. */
    public fun <T> objects(name: String, read: JsonObjectReader.() -> T): List<T> =
        elements(name).mapIndexedNotNull { index, element ->
            readObject("${pathOf(name)}[$index]", element, faults, read)
        }

    /** Returns the strings of the array in member [name]. An absent array is treated as empty. */
    public fun strings(name: String): List<String> =
        elements(name).mapIndexedNotNull { index, element ->
            val text = (element as? JsonPrimitive)?.takeIf { it.isString && it.content.isNotBlank() }?.content
            if (text == null) fault("$name[$index]", "is not a non-blank string", "use a string in quotes")
            text
        }

    /** Records a fault for each member that was never requested. */
    internal fun reportUnknownMembers() {
        (members.keys - requestedNames).forEach {
            fault(it, "is not a known field", "remove it or correct its spelling; known fields: ${requestedNames.sorted()}")
        }
    }

    private fun elements(name: String): List<JsonElement> {
        val element = member(name) ?: return emptyList()
        if (element !is JsonArray) {
            fault(name, "is not an array", "use an array in square brackets")
            return emptyList()
        }
        return element
    }

    private fun member(name: String): JsonElement? {
        requestedNames += name
        return members[name]
    }

    private fun missing(name: String, kind: String) = fault(name, "is missing", "add $kind")
}

/**
 * Parses [text] as a JSON object and reads it with [read].
 *
 * Returns the value, or all faults that were found.
 */
public fun <T> readJson(text: String, read: JsonObjectReader.() -> T): Either<List<JsonFault>, T> {
    val element =
        try {
            parseJson(text)
        } catch (e: SerializationException) {
            val problem = "is not valid JSON: ${e.message?.lineSequence()?.first()}"
            return listOf(JsonFault("$", problem, "correct the syntax at that position")).left()
        }
    val faults = mutableListOf<JsonFault>()
    val value = readObject("$", element, faults, read)
    return if (value == null || faults.isNotEmpty()) faults.left() else value.right()
}

private fun <T> readObject(
    path: String,
    element: JsonElement,
    faults: MutableList<JsonFault>,
    read: JsonObjectReader.() -> T,
): T? {
    if (element !is JsonObject) {
        faults += JsonFault(path, "is not an object", "use an object in braces")
        return null
    }
    val reader = JsonObjectReader(path, element, faults)
    return reader.read().also { reader.reportUnknownMembers() }
}

/*
 * Reads a JSON document against an expected shape and collects every fault, so that a refused file
 * names all of its mistakes at once. Faults carry a JSON path such as `$.priceTiers[0].name`.
 */
package io.jaybeam.core.json

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull

/** One mistake in a JSON document: where it stands, what is wrong and what mends it. */
public data class JsonFault(
    val path: String,
    val problem: String,
    val remedy: String,
) {
    override fun toString(): String = "$path: $problem; $remedy"
}

/**
 * Reads the members of one JSON object and records a fault for each that is missing, mistyped or unknown.
 *
 * Every getter returns a usable placeholder after recording a fault, so reading goes on to the next member.
 */
public class JsonShape internal constructor(
    private val path: String,
    private val members: JsonObject,
    private val faults: MutableList<JsonFault>,
) {
    private val known = mutableSetOf<String>()

    /** Returns the JSON path of member [name]. */
    public fun pathOf(name: String): String = "$path.$name"

    /** Records a fault at member [name]. */
    public fun fault(name: String, problem: String, remedy: String) {
        faults += JsonFault(pathOf(name), problem, remedy)
    }

    /** Returns the non-blank string [name], or [default] where the member is absent. */
    public fun string(name: String, default: String? = null): String {
        val element = member(name) ?: return default ?: missing(name, "a string").let { "" }
        val primitive = element as? JsonPrimitive
        if (primitive == null || !primitive.isString || primitive.content.isBlank()) {
            fault(name, "is not a non-blank string", "write a string in quotes")
            return ""
        }
        return primitive.content
    }

    /** Returns the whole number [name] if it lies within [range], or [default] where the member is absent. */
    public fun long(name: String, range: LongRange, default: Long? = null): Long {
        val element = member(name) ?: return default ?: missing(name, "a whole number").let { range.first }
        val value = (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
        if (value == null || value !in range) {
            fault(name, "is not a whole number from ${range.first} to ${range.last}", "write a number in that range")
            return range.first
        }
        return value
    }

    /** Returns the whole number [name] as an [Int]; see [long]. */
    public fun int(name: String, range: IntRange, default: Int? = null): Int =
        long(name, range.first.toLong()..range.last.toLong(), default?.toLong()).toInt()

    /** Returns the boolean [name], or [default] where the member is absent. */
    public fun boolean(name: String, default: Boolean): Boolean {
        val element = member(name) ?: return default
        val value = (element as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
        if (value == null) fault(name, "is not true or false", "write true or false without quotes")
        return value ?: default
    }

    /** Returns the object [name] read by [read], or null after recording a fault. */
    public fun <T> child(name: String, read: JsonShape.() -> T): T? {
        val element = member(name) ?: return null.also { missing(name, "an object") }
        return readObject(pathOf(name), element, faults, read)
    }

    /** Returns the objects of array [name], each read by [read]; an absent array is empty. */
    public fun <T> children(name: String, read: JsonShape.() -> T): List<T> =
        elements(name).mapIndexedNotNull { index, element ->
            readObject("${pathOf(name)}[$index]", element, faults, read)
        }

    /** Returns the strings of array [name]; an absent array is empty. */
    public fun strings(name: String): List<String> =
        elements(name).mapIndexedNotNull { index, element ->
            val text = (element as? JsonPrimitive)?.takeIf { it.isString && it.content.isNotBlank() }?.content
            if (text == null) fault("$name[$index]", "is not a non-blank string", "write a string in quotes")
            text
        }

    /** Records a fault for each member that no getter asked for. */
    internal fun refuseUnknown() {
        (members.keys - known).forEach { fault(it, "is not a known field", "remove it or correct its spelling; known: ${known.sorted()}") }
    }

    private fun elements(name: String): List<JsonElement> {
        val element = member(name) ?: return emptyList()
        if (element !is JsonArray) {
            fault(name, "is not an array", "write a list in square brackets")
            return emptyList()
        }
        return element
    }

    private fun member(name: String): JsonElement? {
        known += name
        return members[name]
    }

    private fun missing(name: String, kind: String) = fault(name, "is missing", "add $kind")
}

/**
 * Parses [text] as one JSON object and reads it with [read].
 *
 * Returns every fault found, or the value when there is none.
 */
public fun <T> readJson(text: String, read: JsonShape.() -> T): Either<List<JsonFault>, T> {
    val element =
        try {
            Json.parseToJsonElement(text)
        } catch (e: SerializationException) {
            val problem = "is not JSON: ${e.message?.lineSequence()?.first()}"
            return listOf(JsonFault("$", problem, "correct the syntax there")).left()
        }
    val faults = mutableListOf<JsonFault>()
    val value = readObject("$", element, faults, read)
    return if (value == null || faults.isNotEmpty()) faults.left() else value.right()
}

private fun <T> readObject(
    path: String,
    element: JsonElement,
    faults: MutableList<JsonFault>,
    read: JsonShape.() -> T,
): T? {
    if (element !is JsonObject) {
        faults += JsonFault(path, "is not an object", "write an object in braces")
        return null
    }
    val shape = JsonShape(path, element, faults)
    return shape.read().also { shape.refuseUnknown() }
}

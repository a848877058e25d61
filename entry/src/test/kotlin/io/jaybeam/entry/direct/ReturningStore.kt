/*
 * A stand-in for the platform's store that comes back from older copies of itself: offsets and generations are then given out again.
 */
package io.jaybeam.entry.direct

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.jaybeam.core.fleet.HostPort
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonArray
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.net.InetSocketAddress
import java.util.Base64
import java.util.concurrent.Executors

private const val HOST = "127.0.0.1"
private const val POLL_STEP_MILLIS = 10L

/** Serves keyed topics and groups without expiry; [hasEras] if its answers state the era. Thread-safe. */
internal class ReturningStore(
    private val hasEras: Boolean = true,
) : AutoCloseable {
    private class StoredRecord(
        val key: String,
        val value: ByteArray,
    )

    /** The content of the store at one time. */
    class Copy internal constructor(
        internal val topics: Map<String, List<Any>>,
        internal val members: Map<String, Set<String>>,
        internal val generations: Map<String, Long>,
    )

    private val topics = mutableMapOf<String, List<StoredRecord>>()
    private val members = mutableMapOf<String, Set<String>>()
    private val generations = mutableMapOf<String, Long>()
    private var era = 0L
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress(HOST, 0), 0)

    val address = HostPort(HOST, server.address.port)

    init {
        server.executor = executor
        server.createContext("/", ::handle)
        server.start()
    }

    override fun close() = server.stop(0)

    /** Writes the newest record of [key]; deletes the key if [value] is empty. */
    @Synchronized
    fun write(topic: String, key: String, value: String) {
        topics[topic] = topics[topic].orEmpty() + StoredRecord(key, value.encodeToByteArray())
    }

    @Synchronized
    fun copy() = Copy(topics.toMap(), members.toMap(), generations.toMap())

    /** Lets the store come back from [copy]. */
    @Synchronized
    @Suppress("UNCHECKED_CAST")
    fun comeBackFrom(copy: Copy) {
        topics.clear()
        topics += copy.topics as Map<String, List<StoredRecord>>
        members.clear()
        members += copy.members
        generations.clear()
        generations += copy.generations
        era++
    }

    private class Reply(
        val status: Int,
        val body: ByteArray,
        val era: Long,
    )

    private fun handle(exchange: HttpExchange) =
        exchange.use {
            val query =
                exchange.requestURI.query
                    .orEmpty()
                    .split('&')
                    .associate { it.substringBefore('=') to it.substringAfter('=') }
            val body = exchange.requestBody.readAllBytes().decodeToString()
            val reply =
                when (exchange.requestURI.path) {
                    "/v1/log-read" -> read(query)
                    "/v1/log-newest" -> newest(query.getValue("topic"))
                    else -> join(Json.parseToJsonElement(body) as JsonObject)
                }
            if (hasEras) exchange.responseHeaders.add("Store-Era", "${reply.era}")
            exchange.sendResponseHeaders(reply.status, reply.body.size.toLong())
            exchange.responseBody.write(reply.body)
        }

    private fun read(query: Map<String, String>): Reply {
        val from = query.getValue("from").toInt()
        val deadlineNanos = System.nanoTime() + query.getValue("waitMs").toLong() * NANOS_PER_MILLI
        while (true) {
            recordsFrom(query.getValue("topic"), from, mustAnswer = System.nanoTime() >= deadlineNanos)?.let { return it }
            Thread.sleep(POLL_STEP_MILLIS)
        }
    }

    @Synchronized
    private fun recordsFrom(topic: String, from: Int, mustAnswer: Boolean): Reply? {
        val records = topics[topic].orEmpty()
        if (from > records.size) return Reply(410, "{\"first\":0}".encodeToByteArray(), era)
        if (from == records.size && !mustAnswer) return null
        val bytes = ByteArrayOutputStream()
        val out = DataOutputStream(bytes)
        out.writeLong(records.size.toLong())
        out.writeLong(0)
        records.drop(from).forEach { record ->
            val key = record.key.encodeToByteArray()
            out.writeInt(1 + key.size + record.value.size)
            out.writeByte(key.size)
            out.write(key)
            out.write(record.value)
        }
        return Reply(200, bytes.toByteArray(), era)
    }

    @Synchronized
    private fun newest(topic: String): Reply {
        val records = topics[topic].orEmpty()
        val newest =
            records
                .withIndex()
                .associateBy { it.value.key }
                .values
                .filter { it.value.value.isNotEmpty() }
        val answer =
            buildJsonObject {
                putJsonArray("items") {
                    newest.forEach { (offset, record) ->
                        addJsonObject {
                            put("key", record.key)
                            put("value", Base64.getEncoder().encodeToString(record.value))
                            put("offset", offset)
                        }
                    }
                }
                put("hasMore", false)
                put("end", records.size)
            }
        return Reply(200, "$answer".encodeToByteArray(), era)
    }

    /** The first member of a group, by name, holds its partition. */
    @Synchronized
    private fun join(call: JsonObject): Reply {
        val group = call.getValue("group").jsonPrimitive.content
        val member = call.getValue("member").jsonPrimitive.content
        if (member !in members[group].orEmpty()) generations.merge(group, 1, Long::plus)
        members.merge(group, setOf(member)) { present, joined -> present + joined }
        val answer =
            buildJsonObject {
                put("generation", generations[group])
                putJsonArray("parts") {
                    if (members.getValue(group).min() == member) {
                        addJsonArray { listOf(group, "0", "0").forEachIndexed { index, part -> add(rowElement(index, part)) } }
                    }
                }
            }
        return Reply(200, "$answer".encodeToByteArray(), era)
    }

    private fun rowElement(index: Int, part: String) = if (index == 0) JsonPrimitive(part) else JsonPrimitive(part.toLong())
}

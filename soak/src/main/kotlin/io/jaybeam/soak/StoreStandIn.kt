/*
 * Stand-in for the platform's store: keyed topics whose records are written before the run, and groups of members.
 */
package io.jaybeam.soak

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonArray
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.net.InetSocketAddress
import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.Executors

internal class StoreStandIn : AutoCloseable {
    private class StoredRecord(
        val key: String,
        val value: ByteArray,
    )

    private class Group {
        var generation = 0L
        var owner: String? = null
        val expiryMillisByMember = TreeMap<String, Long>()
    }

    private val recordsByTopic = mutableMapOf<String, MutableList<StoredRecord>>()
    private val groups = mutableMapOf<String, Group>()
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), BACKLOG)

    val address: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.executor = executor
        server.createContext("/", ::handle)
        server.start()
    }

    /** Appends a record that is the newest of its key. Each key is written once. */
    @Synchronized
    fun write(topic: String, key: String, json: JsonObject) {
        recordsByTopic.getOrPut(topic) { mutableListOf() } += StoredRecord(key, "$json".toByteArray())
    }

    private fun handle(exchange: HttpExchange) {
        exchange.use {
            val query =
                exchange.requestURI.query
                    .orEmpty()
                    .split('&')
                    .associate { it.substringBefore('=') to it.substringAfter('=') }
            val body = exchange.requestBody.readAllBytes().decodeToString()
            val answer =
                when (exchange.requestURI.path) {
                    "/v1/log-read" -> read(query)
                    "/v1/log-newest" -> "${newest(query.getValue("topic"))}".toByteArray()
                    "/v1/log-join" -> "${join(Json.parseToJsonElement(body) as JsonObject)}".toByteArray()
                    "/v1/log-owners" -> "${owners(query.getValue("group"))}".toByteArray()
                    else -> null
                }
            exchange.sendResponseHeaders(if (answer == null) 404 else 200, answer?.size?.toLong() ?: -1)
            if (answer != null) exchange.responseBody.write(answer)
        }
    }

    /** Nothing is written while entries read, so a read at the end waits for as long as its caller allows. */
    private fun read(query: Map<String, String>): ByteArray {
        val from = query.getValue("from").toInt()
        val records = recordsOf(query.getValue("topic"))
        if (from >= records.size) Thread.sleep(query["waitMs"]?.toLong() ?: 0)
        val bytes = ByteArrayOutputStream()
        val out = DataOutputStream(bytes)
        out.writeLong(records.size.toLong())
        out.writeLong(0)
        records.drop(from).forEach { record ->
            val key = record.key.toByteArray()
            out.writeInt(1 + key.size + record.value.size)
            out.writeByte(key.size)
            out.write(key)
            out.write(record.value)
        }
        return bytes.toByteArray()
    }

    @Synchronized
    private fun recordsOf(topic: String): List<StoredRecord> = recordsByTopic[topic].orEmpty().toList()

    private fun newest(topic: String): JsonObject {
        val records = recordsOf(topic)
        return buildJsonObject {
            putJsonArray("items") {
                records.forEachIndexed { offset, record ->
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
    }

    @Synchronized
    private fun join(call: JsonObject): JsonObject {
        val member = call.getValue("member").jsonPrimitive.content
        val lifetimeMillis = call.getValue("ttlMs").jsonPrimitive.long
        val group = groupOf(call.getValue("group").jsonPrimitive.content)
        if (group.expiryMillisByMember.put(member, System.currentTimeMillis() + lifetimeMillis) == null) group.generation++
        if (group.owner == null) group.owner = group.expiryMillisByMember.firstKey()
        val topic = call.getValue("topics").jsonArray.first()
        return buildJsonObject {
            put("generation", group.generation)
            put("ttlMs", lifetimeMillis)
            putJsonArray("parts") {
                if (group.owner ==
                    member
                ) {
                    addJsonArray { listOf(topic, JsonPrimitive(0), JsonPrimitive(0)).forEach(::add) }
                }
            }
        }
    }

    @Synchronized
    private fun owners(name: String): JsonObject {
        val owner = groupOf(name).owner
        return buildJsonObject {
            putJsonArray("items") {
                if (owner != null) addJsonArray { listOf(name, 0, owner, 0).forEach { if (it is Int) add(it) else add("$it") } }
            }
        }
    }

    /** Returns the group called [name] without the members that have expired. */
    private fun groupOf(name: String): Group {
        val group = groups.getOrPut(name) { Group() }
        val nowMillis = System.currentTimeMillis()
        if (group.expiryMillisByMember.values.removeIf { it < nowMillis }) group.generation++
        if (group.owner !in group.expiryMillisByMember.keys) group.owner = null
        return group
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }
}

private const val BACKLOG = 256

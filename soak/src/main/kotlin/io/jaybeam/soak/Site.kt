/*
 * The configuration that entries read from the store.
 */
package io.jaybeam.soak

import kotlinx.serialization.json.JsonArrayBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

internal const val SITE_HOST = "shop.example"
internal const val API_KEY = "n2ctnfzs989anu6wsjnb"
internal const val HEALTH_PATH = "/health"
private const val SERVICE = "pool"
internal const val ATTEMPTS = 3
private const val MAX_CONNECTIONS = 1_000
private const val HEADER_BYTES = 16_384
private const val MAX_BODY_BYTES = 4_194_304
private const val HEADER_MILLIS = 3_000
private const val IDLE_MILLIS = 15_000
private const val ROUTE_TIMEOUT_MILLIS = 5_000
private const val GOAL_MILLIS = 500
private const val BATCH_SLOTS = 32

internal fun siteConfig() =
    buildJsonObject {
        put("version", 1)
        putJsonArray("routes") { SoakRoute.entries.forEach { addRoute(it) } }
        putJsonArray("services") {
            addJsonObject {
                put("name", SERVICE)
                put("healthPath", HEALTH_PATH)
                put("maxConns", MAX_CONNECTIONS)
                put("proto", "h1")
                put("tls", false)
                put("coldS", 0)
                put("coldPerS", 0)
            }
        }
        putJsonObject("limits") {
            put("headerBytes", HEADER_BYTES)
            put("bodyBytes", MAX_BODY_BYTES)
            put("headerMs", HEADER_MILLIS)
            put("idleMs", IDLE_MILLIS)
        }
        putJsonArray("tenants") {
            addJsonObject {
                put("name", "t1")
                putJsonArray("keys") { add(API_KEY) }
                put("priority", 1)
            }
        }
    }

private fun JsonArrayBuilder.addRoute(route: SoakRoute) =
    addJsonObject {
        put("name", route.name)
        put("host", SITE_HOST)
        put("pathPrefix", route.prefix)
        put("type", route.type)
        put("timeoutMs", ROUTE_TIMEOUT_MILLIS)
        put("goalMs", GOAL_MILLIS)
        put("priority", 1)
        put("service", SERVICE)
        put("attempts", ATTEMPTS)
        put("public", false)
        put("canResume", false)
        put("gapGoalMs", GOAL_MILLIS)
    }

internal fun targetRecord(address: String) =
    buildJsonObject {
        put("service", SERVICE)
        put("addr", address)
        put("zone", ZONE)
        put("version", "v1")
        put("batchSlots", BATCH_SLOTS)
        put("state", "ready")
        put("coldMs", 0)
        put("seq", 1)
        put("born", System.currentTimeMillis())
    }

internal const val ZONE = "a"

/*
 * Stand-in for the platform's instance list, which lags behind the state of the instances.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import io.javalin.http.Context
import kotlinx.serialization.Serializable

/** One instance on the list. */
@Serializable
internal data class ListedInstance(
    val instance: String,
    val role: String,
    val dataCentre: String,
    val host: String,
    val port: Int,
    val service: String? = null,
    val phase: String = "LIVE",
)

@Serializable
private data class InstanceList(
    val instances: List<ListedInstance>,
)

/**
 * Faults that the instance list injects.
 *
 * @property lagMillis age of the list that is served.
 * @property slowMillis additional latency of each read.
 * @property outage whether every read is refused with status 503.
 */
@Serializable
private data class InstanceListFaults(
    val lagMillis: Long = 0,
    val slowMillis: Long = 0,
    val outage: Boolean = false,
)

private class ListVersion(
    val publishedAtNanos: Long,
    val list: InstanceList,
)

/** Serves the list as it was a configurable time ago. */
internal class InstanceListStandIn {
    private val versions = ArrayDeque<ListVersion>()

    @Volatile
    private var faults = InstanceListFaults()

    fun start(port: Int) {
        startStandInServer(port) {
            ApiBuilder.post("/control") { faults = it.bodyAsJson(InstanceListFaults.serializer()) }
            ApiBuilder.put("/instances") { publish(it.bodyAsJson(InstanceList.serializer())) }
            ApiBuilder.get("/instances") {
                if (faults.outage) it.status(503) else serveList(it)
            }
        }
    }

    private fun serveList(context: Context) {
        Thread.sleep(faults.slowMillis)
        val version = visibleVersion()
        val etag = "\"${version?.publishedAtNanos ?: 0}\""
        context.header("ETag", etag)
        if (context.header("If-None-Match") == etag) {
            context.status(304)
        } else {
            context.respondJson(InstanceList.serializer(), version?.list ?: InstanceList(emptyList()))
        }
    }

    @Synchronized
    private fun publish(list: InstanceList) {
        versions.addLast(ListVersion(System.nanoTime(), list))
        while (versions.size > MAX_VERSIONS) versions.removeFirst()
    }

    @Synchronized
    private fun visibleVersion(): ListVersion? {
        val visibleNanos = System.nanoTime() - faults.lagMillis * 1_000_000
        return versions.lastOrNull { it.publishedAtNanos <= visibleNanos } ?: versions.firstOrNull()
    }
}

private const val MAX_VERSIONS = 1_000

/*
 * Stand-in for the platform's lagging instance list.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import io.javalin.http.Context
import kotlinx.serialization.Serializable

/** One listed instance. */
@Serializable
internal data class Listed(
    val instance: String,
    val role: String,
    val dataCentre: String,
    val host: String,
    val port: Int,
    val service: String? = null,
    val phase: String = "LIVE",
)

@Serializable
private data class Listing(
    val instances: List<Listed>,
)

@Serializable
private data class ListFaults(
    val lagMillis: Long = 0,
    val slowMillis: Long = 0,
    val outage: Boolean = false,
)

private class Version(
    val atNanos: Long,
    val listing: Listing,
)

/** Serves the list as it was some time ago. */
internal class InstanceListStandIn {
    private val versions = ArrayDeque<Version>()

    @Volatile
    private var faults = ListFaults()

    fun start(port: Int) {
        serveStandIn(port) {
            ApiBuilder.post("/control") { faults = it.read(ListFaults.serializer()) }
            ApiBuilder.put("/instances") { put(it.read(Listing.serializer())) }
            ApiBuilder.get("/instances") {
                if (faults.outage) it.status(503) else answer(it)
            }
        }
    }

    private fun answer(context: Context) {
        Thread.sleep(faults.slowMillis)
        val version = current()
        val tag = "\"${version?.atNanos ?: 0}\""
        context.header("ETag", tag)
        if (context.header("If-None-Match") == tag) {
            context.status(304)
        } else {
            context.answer(Listing.serializer(), version?.listing ?: Listing(emptyList()))
        }
    }

    @Synchronized
    private fun put(listing: Listing) {
        versions.addLast(Version(System.nanoTime(), listing))
        while (versions.size > MAX_VERSIONS) versions.removeFirst()
    }

    @Synchronized
    private fun current(): Version? {
        val asOf = System.nanoTime() - faults.lagMillis * 1_000_000
        return versions.lastOrNull { it.atNanos <= asOf } ?: versions.firstOrNull()
    }
}

private const val MAX_VERSIONS = 1_000

/*
 * What all stand-ins share: an HTTP server, JSON, and the abrupt end of a connection.
 */
package io.jaybeam.standins

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.util.thread.QueuedThreadPool

private const val THREADS = 512

internal val standInJson =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }

/** Starts a server with [routes] on loopback. */
internal fun serveStandIn(port: Int, routes: () -> Unit): Javalin =
    Javalin
        .create { config ->
            config.startup.showJavalinBanner = false
            config.http.compressionStrategy = CompressionStrategy.NONE
            config.jetty.threadPool = QueuedThreadPool(THREADS)
            config.routes.apiBuilder(routes)
        }.start("127.0.0.1", port)

/** Answers with [value] as JSON. */
internal fun <T> Context.answer(serializer: KSerializer<T>, value: T) {
    contentType("application/json")
    result(standInJson.encodeToString(serializer, value))
}

/** Reads the body as JSON. */
internal fun <T> Context.read(serializer: KSerializer<T>): T = standInJson.decodeFromString(serializer, body())

/** Closes the caller's connection without an answer. */
internal fun Context.cutConnection() {
    ServletContextRequest
        .getServletContextRequest(req())
        ?.connectionMetaData
        ?.connection
        ?.endPoint
        ?.close()
}

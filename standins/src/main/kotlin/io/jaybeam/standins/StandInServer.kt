/*
 * HTTP server, JSON encoding and abrupt closing of connections, shared by all stand-ins.
 */
package io.jaybeam.standins

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.util.thread.QueuedThreadPool

private const val MAX_THREADS = 512

internal val standInJson =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }

/** Starts an HTTP server with [routes] on [port] of the loopback interface. */
internal fun startStandInServer(port: Int, routes: () -> Unit): Javalin =
    Javalin
        .create { config ->
            config.startup.showJavalinBanner = false
            config.http.compressionStrategy = CompressionStrategy.NONE
            config.jetty.threadPool = QueuedThreadPool(MAX_THREADS)
            config.routes.apiBuilder(routes)
        }.start("127.0.0.1", port)

/** Sends [value] as a JSON response. */
internal fun <T> Context.respondJson(serializer: KSerializer<T>, value: T) {
    contentType("application/json")
    result(standInJson.encodeToString(serializer, value))
}

/** Decodes the request body as JSON. */
internal fun <T> Context.bodyAsJson(serializer: KSerializer<T>): T = standInJson.decodeFromString(serializer, body())

/** Closes the caller's connection without completing the response. */
internal fun Context.closeConnection() {
    ServletContextRequest
        .getServletContextRequest(req())
        ?.connectionMetaData
        ?.connection
        ?.endPoint
        ?.close()
}

/*
 * HTTP server of a process for operators: /healthz, /readyz, /metrics and /dump.
 */
package io.jaybeam.runtime.observe

import io.javalin.Javalin
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.json.JsonObject
import org.eclipse.jetty.util.thread.QueuedThreadPool

private const val ADMIN_THREADS = 8

/** Returns a registry, with the JVM's memory metrics, for [AdminServer] to serve at /metrics. */
public fun metricsRegistry(): PrometheusMeterRegistry =
    PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also { JvmMemoryMetrics().bindTo(it) }

/** Serves health, readiness, metrics and a state dump of one process to operators. */
public class AdminServer(
    host: String,
    port: Int,
    registry: PrometheusMeterRegistry,
    isReady: () -> Boolean,
    dump: () -> JsonObject,
) : AutoCloseable {
    private val server =
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.jetty.threadPool = QueuedThreadPool(ADMIN_THREADS)
                config.routes.apiBuilder {
                    io.javalin.apibuilder.ApiBuilder
                        .get("/healthz") { it.result("ok\n") }
                    io.javalin.apibuilder.ApiBuilder
                        .get("/readyz") { it.status(if (isReady()) 200 else 503).result(if (isReady()) "ready\n" else "not ready\n") }
                    io.javalin.apibuilder.ApiBuilder
                        .get("/metrics") { it.contentType("text/plain; version=0.0.4").result(registry.scrape()) }
                    io.javalin.apibuilder.ApiBuilder
                        .get("/dump") { it.contentType("application/json").result(dump().toString()) }
                }
            }.start(host, port)

    /** The bound port. */
    public val port: Int get() = server.port()

    override fun close() {
        server.stop()
    }
}

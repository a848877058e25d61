/*
 * Builds the call that an entry forwards from a request that it has read.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.cost.CostEstimator
import io.jaybeam.core.fleet.RouteMatch
import io.jaybeam.core.fleet.RouteTable
import io.jaybeam.core.fleet.selectService
import io.jaybeam.platform.CallerRequest
import io.jaybeam.platform.Header
import jakarta.servlet.http.HttpServletRequest
import kotlin.random.Random

/** Headers and body of a request as they were read. */
internal class ReceivedContent(
    val headers: List<Header>,
    val body: ByteArray,
)

/** Builds calls whose cost [costs] estimates. */
internal class CallFactory(
    private val costs: CostEstimator,
) {
    /** Returns the call of [request], which [match] allows under the configuration of [routes]. */
    fun newCall(
        request: HttpServletRequest,
        caller: CallerRequest,
        match: RouteMatch.Allowed,
        routes: RouteTable,
        content: ReceivedContent,
        arrivedNanos: Long,
    ): DirectCall {
        val service = selectService(match.route, Random.nextDouble())
        val engine = routes.service(service)?.engine
        val limitMillis = minOf(caller.deadlineMillis ?: Long.MAX_VALUE, match.route.timeoutMillis)
        return DirectCall(
            method = request.method,
            pathAndQuery = request.requestURI + request.queryString?.let { "?$it" }.orEmpty(),
            headers = content.headers,
            connectionHeader = request.getHeader("Connection"),
            body = content.body.takeIf { it.isNotEmpty() },
            caller = caller,
            route = match.route,
            service = service,
            organisation = match.organisation,
            urgency = match.urgency,
            configVersion = routes.config.version,
            arrivedNanos = arrivedNanos,
            deadlineNanos = arrivedNanos + limitMillis * NANOS_PER_MILLI,
            engine = engine,
            estimator = costs,
            targetUrgency = match.urgency.takeIf { engine != null && routes.urgenciesOf(service).size > 1 },
        )
    }
}

/** Returns the body of [request], or null if it is longer than [limitBytes]. */
internal fun readBodyOrNull(request: HttpServletRequest, limitBytes: Int): ByteArray? {
    val body = request.inputStream.readNBytes(limitBytes)
    return body.takeIf { it.size < limitBytes || request.inputStream.read() < 0 }
}

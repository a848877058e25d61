/*
 * Finds the route of a request and checks whether its caller may use the route.
 */
package io.jaybeam.core.fleet

import io.jaybeam.core.admission.Urgency
import io.jaybeam.core.admission.urgencyOf
import io.jaybeam.core.admission.urgencyRangeOrNull

/** Result of looking up the route of a request. */
public sealed class RouteMatch {
    /** The request may be sent to a target; [organisation] is null if its key identifies none. */
    public data class Allowed(
        val route: Route,
        val organisation: String?,
        val urgency: Urgency,
    ) : RouteMatch()

    /** No route matches the host and path. */
    public data object NoRoute : RouteMatch()

    /** The route requires a key, and the request's key is missing or belongs to no organisation. */
    public data object UnknownKey : RouteMatch()
}

/** Looks up routes in one version of the configuration. Immutable. */
public class RouteTable(
    /** The configuration whose routes are searched. */
    public val config: FleetConfig,
) {
    /** The most and the least urgent that a request can be; null if all are equally urgent. */
    public val urgencyRange: ClosedRange<Urgency>? = config.urgencyRangeOrNull()

    private val routesByHost =
        config.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val organisationByKey =
        config.organisations.flatMap { organisation -> organisation.keys.map { it to organisation } }.toMap()
    private val servicesByName = config.services.associateBy { it.name }
    private val urgenciesByService by lazy { urgenciesByService(config) }

    /** Returns the route of [host] with the longest prefix of [path], if the caller with [key] may use it. */
    public fun match(host: String, path: String, key: String?): RouteMatch {
        val route =
            routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
                ?: return RouteMatch.NoRoute
        val organisation = key?.let(organisationByKey::get)
        if (organisation == null && !route.isPublic && config.organisations.isNotEmpty()) return RouteMatch.UnknownKey
        return RouteMatch.Allowed(route, organisation?.name, urgencyOf(route, organisation?.priority))
    }

    /** Returns the urgencies that requests to the service with [name] may have. */
    public fun urgenciesOf(name: String): Set<Urgency> = urgenciesByService[name].orEmpty()

    /** Returns the policy of the service with [name], or null if the configuration has none. */
    public fun service(name: String): ServicePolicy? = servicesByName[name]
}

private fun urgenciesByService(config: FleetConfig): Map<String, Set<Urgency>> {
    val organisationPriorities = config.organisations.mapTo(HashSet()) { it.priority }.ifEmpty { setOf(null) }
    val urgencies = HashMap<String, MutableSet<Urgency>>()
    config.routes.forEach { route ->
        val ofRoute = (if (route.isPublic) organisationPriorities + null else organisationPriorities).map { urgencyOf(route, it) }
        route.services.forEach { urgencies.getOrPut(it.service) { HashSet() } += ofRoute }
    }
    return urgencies
}

/** Returns a service of [route] by weight, for a random number [draw] from 0 (inclusive) to 1 (exclusive). */
public fun selectService(route: Route, draw: Double): String {
    var remaining = draw * route.services.sumOf { it.weight }
    route.services.forEach {
        remaining -= it.weight
        if (remaining < 0) return it.service
    }
    return route.services.last().service
}

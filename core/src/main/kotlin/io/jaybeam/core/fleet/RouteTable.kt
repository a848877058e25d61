/*
 * Finds the route of a request and decides whether its caller may use it.
 */
package io.jaybeam.core.fleet

/** What became of looking a request up. */
public sealed class RouteMatch {
    /** The request may go to a target; [organisation] is null on a public route without a key. */
    public data class Allowed(
        val route: Route,
        val organisation: String?,
    ) : RouteMatch()

    /** No route has this host and path. */
    public data object NoRoute : RouteMatch()

    /** The route needs a key and the request's key belongs to nobody. */
    public data object UnknownKey : RouteMatch()
}

/** Looks requests up in one version of the configuration. Immutable. */
public class RouteTable(
    /** The configuration that is looked up in. */
    public val config: FleetConfig,
) {
    private val routesByHost =
        config.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val organisationByKey =
        config.organisations.flatMap { organisation -> organisation.keys.map { it to organisation.name } }.toMap()
    private val servicesByName = config.services.associateBy { it.name }

    /** Returns the route with the longest prefix of [path] at [host], if the caller with [key] may use it. */
    public fun match(host: String, path: String, key: String?): RouteMatch {
        val route =
            routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
                ?: return RouteMatch.NoRoute
        val organisation = key?.let(organisationByKey::get)
        if (organisation == null && !route.isPublic && config.organisations.isNotEmpty()) return RouteMatch.UnknownKey
        return RouteMatch.Allowed(route, organisation)
    }

    /** Returns the policy of the service called [name], or null where the configuration has none. */
    public fun service(name: String): ServicePolicy? = servicesByName[name]
}

/** Returns the service of [route] for a draw from 0 (inclusive) to 1 (exclusive), by weight. */
public fun serviceFor(route: Route, draw: Double): String {
    var left = draw * route.services.sumOf { it.weight }
    route.services.forEach {
        left -= it.weight
        if (left < 0) return it.service
    }
    return route.services.last().service
}

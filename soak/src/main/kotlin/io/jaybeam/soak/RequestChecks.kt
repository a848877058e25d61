/*
 * Checks of what targets got against what callers sent, after a run.
 *
 * A rule that allows some cases is broken by the first one beyond them.
 */
package io.jaybeam.soak

/** Returns the rules broken by the [arrivals] of [requests]. */
internal fun brokenByArrivals(requests: List<SentRequest>, arrivals: List<Arrival>): List<BrokenRule> {
    val requestById = requests.associateBy { it.id }
    val arrivalsById = arrivals.groupBy { it.id }
    return changedRequests(requestById, arrivals) + refusedAfterRun(requests, arrivalsById) + repeatedRuns(requestById, arrivalsById) +
        excessTargets(arrivalsById).drop(EXCESS_TARGETS_ALLOWED) + excessTime(arrivals)
}

private fun changedRequests(requestById: Map<String, SentRequest>, arrivals: List<Arrival>) =
    arrivals.mapNotNull { arrival ->
        val sent = requestById[arrival.id]
        when {
            sent == null -> BrokenRule("UNASKED", arrival.id, "${arrival.target} got a request that no caller sent")
            arrival.requestLine != sent.requestLine -> BrokenRule("UNASKED", arrival.id, "\"${arrival.requestLine}\" was not sent")
            !arrival.body.contentEquals(sent.body) ->
                BrokenRule("UNASKED", arrival.id, "${arrival.body.size} bytes of body, not the ${sent.body.size} sent")
            else -> null
        }
    }

private fun refusedAfterRun(requests: List<SentRequest>, arrivalsById: Map<String, List<Arrival>>) =
    requests
        .filter { it.route != SoakRoute.SAFE && it.status in refusals && arrivalsById[it.id].orEmpty().any(Arrival::isRun) }
        .map { BrokenRule("REFUSED", it.id, "answered ${it.status} and run") }

private fun repeatedRuns(requestById: Map<String, SentRequest>, arrivalsById: Map<String, List<Arrival>>) =
    arrivalsById
        .mapValues { (_, arrivals) -> arrivals.count(Arrival::isRun) }
        .filter { (id, runs) -> runs > 1 && requestById[id]?.route != SoakRoute.SAFE }
        .map { (id, runs) -> BrokenRule("TWICE", id, "$runs runs of a request that may run once") }

private fun excessTargets(arrivalsById: Map<String, List<Arrival>>) =
    arrivalsById
        .filterValues { arrivals -> arrivals.filter(Arrival::isRun).distinctBy { it.target }.size > ATTEMPTS }
        .map { (id, _) -> BrokenRule("BUDGET", id, "ran at more than $ATTEMPTS targets") }

private fun excessTime(arrivals: List<Arrival>): List<BrokenRule> {
    val excessive = arrivals.filter { (it.remainingMillis ?: Long.MAX_VALUE) > DEADLINE_MILLIS + EXCESS_TIME_MILLIS }
    val isBroken = excessive.size > EXCESS_TIMES_ALLOWED && excessive.size > arrivals.size / EXCESS_TIMES_ONE_IN
    return if (isBroken) {
        excessive.take(1).map {
            BrokenRule("BUDGET", it.id, "Deadline-Ms ${it.remainingMillis} of $DEADLINE_MILLIS")
        }
    } else {
        emptyList()
    }
}

private val refusals = setOf(408, 421, 429, 503)
private const val EXCESS_TARGETS_ALLOWED = 3
private const val EXCESS_TIME_MILLIS = 500
private const val EXCESS_TIMES_ALLOWED = 20
private const val EXCESS_TIMES_ONE_IN = 5

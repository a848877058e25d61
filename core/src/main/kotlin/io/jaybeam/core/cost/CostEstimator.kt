/*
 * Estimates what a request will cost from what its caller states and from what earlier requests have cost.
 *
 * Stated lengths are right at the median but often far off, and some callers err in the same direction each time. An estimate
 * therefore starts from the stated length and is corrected by the ratio of actual to stated length that was seen: by route,
 * then by organisation, then by stated size, each the more the more requests it has seen. Without a stated length the same is
 * done with the length itself.
 *
 * The load for which it is made: organisations whose answers are many times longer than those of others, callers that state
 * too little, and few large requests among many small ones.
 */
package io.jaybeam.core.cost

import io.jaybeam.core.fleet.EngineModel
import kotlin.math.ln

/** What an estimate is based on. */
public enum class CostBasis {
    /** What the caller states. */
    STATED,

    /** What earlier requests have cost. */
    LEARNED,

    /** What the caller states, corrected by what earlier requests have cost. */
    BOTH,
}

/**
 * A request whose cost is to be estimated.
 *
 * @property organisation null if the request's key identifies none.
 * @property engine null for a plain service.
 */
public data class CostQuery(
    val service: String,
    val route: String,
    val organisation: String?,
    val size: RequestSize,
    val engine: EngineModel?,
)

/** Estimates costs for one entry, and forgets after a few minutes. Thread-safe; [nowMillis] is monotonic. */
public class CostEstimator(
    private val nowMillis: () -> Long,
    private val basis: CostBasis = CostBasis.BOTH,
    maxClasses: Int = MAX_CLASSES,
) {
    private val answers = RecentMap<RequestClass, DecayingHistogram>(maxClasses)
    private val plainWork = RecentMap<RequestClass, DecayingHistogram>(maxClasses)

    /** Number of classes of requests of which something is kept. */
    public val classCount: Int get() = synchronized(this) { answers.size + plainWork.size }

    /** Returns the expected cost of a request that has not run. */
    public fun expected(query: CostQuery): RequestCost {
        val engine = query.engine
        return when {
            engine == null -> plainCost(query)
            engine.hasRequestCost -> generationCost(query, engine)
            else -> RequestCost.UNKNOWN
        }
    }

    /** Returns the expected number of tokens that an answer still lacks of which [writtenTokens] were seen; more than 0. */
    public fun expectedRestTokens(query: CostQuery, writtenTokens: Double): Double {
        val stated = if (basis == CostBasis.LEARNED) null else query.size.hintedAnswerTokens?.toDouble()
        val unit = stated ?: 1.0
        val typical = stated ?: typicalAnswerTokens(query)
        var rest = maxOf(typical - writtenTokens, typical * MIN_REST_SHARE)
        if (basis != CostBasis.STATED) {
            val millis = nowMillis()
            synchronized(this) {
                for (requestClass in classesOf(query)) {
                    val seen = answers[requestClass]?.meanBeyond(writtenTokens / unit, millis) ?: break
                    rest = mixed(rest, seen.mean * unit, seen.weight)
                }
            }
        }
        val most = query.size.maxAnswerTokens?.let { it - writtenTokens } ?: Double.MAX_VALUE
        return rest.coerceAtMost(most).coerceAtLeast(1.0)
    }

    /** Records a stream that has ended complete with [writtenTokens]. */
    public fun onStreamEnd(query: CostQuery, writtenTokens: Double) {
        if (query.engine?.hasRequestCost != true || writtenTokens <= 0) return
        val unit =
            query.size.hintedAnswerTokens
                ?.takeIf { basis != CostBasis.LEARNED }
                ?.toDouble() ?: 1.0
        record(answers, classesOf(query), writtenTokens / unit)
    }

    /** Records a complete answer of a plain service that took [workMillis] at its target, without waiting there. */
    public fun onPlainAnswer(query: CostQuery, workMillis: Double) {
        if (query.engine != null || workMillis <= 0) return
        record(plainWork, plainClassesOf(query), workMillis)
    }

    private fun record(map: RecentMap<RequestClass, DecayingHistogram>, classes: List<RequestClass>, value: Double) {
        val millis = nowMillis()
        synchronized(this) {
            classes.forEach { map.getOrPut(it) { DecayingHistogram(HALF_LIFE_MILLIS) }.add(value, millis) }
        }
    }

    private fun generationCost(query: CostQuery, engine: EngineModel): RequestCost {
        val promptTokens = query.size.promptTokens ?: engine.meanPromptTokens
        val answerTokens = expectedRestTokens(query, 0.0)
        return RequestCost(engine.readMillis(promptTokens), answerTokens, promptTokens + answerTokens)
    }

    private fun plainCost(query: CostQuery): RequestCost {
        if (basis == CostBasis.STATED) return RequestCost.UNKNOWN
        val millis = nowMillis()
        synchronized(this) {
            val classes = plainClassesOf(query)
            val ofService = plainWork[classes.first()]?.meanBeyond(0.0, millis) ?: return RequestCost.UNKNOWN
            if (ofService.weight < MIN_PLAIN_WEIGHT) return RequestCost.UNKNOWN
            var workMillis = ofService.mean
            for (requestClass in classes.drop(1)) {
                val seen = plainWork[requestClass]?.meanBeyond(0.0, millis) ?: break
                workMillis = mixed(workMillis, seen.mean, seen.weight)
            }
            val ratio = workMillis / ofService.mean
            val isAlike = ratio in 1 / ALIKE_RATIO..ALIKE_RATIO
            return RequestCost(workMillis, 0.0, 0.0, if (isAlike) 1.0 else ratio)
        }
    }

    private fun typicalAnswerTokens(query: CostQuery): Double {
        val usual = query.engine?.meanAnswerTokens ?: 0
        return (if (usual > 0) usual else query.size.maxAnswerTokens ?: 1).toDouble()
    }

    /** Returns the classes that tell about [query], the widest first. */
    private fun classesOf(query: CostQuery): List<RequestClass> {
        val hint = query.size.hintedAnswerTokens?.takeIf { basis != CostBasis.LEARNED }
        val isStated = hint != null
        val route = RequestClass(query.service, query.route, null, isStated, null)
        val organisation = query.organisation?.let { route.copy(organisation = it) }
        val size = hint?.let { (organisation ?: route).copy(sizeClass = ln(it.toDouble()).toInt()) }
        return listOfNotNull(route, organisation, size)
    }

    private fun plainClassesOf(query: CostQuery): List<RequestClass> {
        val service = RequestClass(query.service, null, null, isStated = false, sizeClass = null)
        val route = service.copy(route = query.route)
        return listOfNotNull(service, route, query.organisation?.let { route.copy(organisation = it) })
    }

    private fun mixed(wider: Double, narrower: Double, weight: Double) =
        (wider * PRIOR_WEIGHT + narrower * weight) / (PRIOR_WEIGHT + weight)

    private companion object {
        const val MAX_CLASSES = 4_096
        const val HALF_LIFE_MILLIS = 60_000L

        /** Number of observations of a class that count as much as all wider classes. */
        const val PRIOR_WEIGHT = 8.0

        /** Share of the typical length that is expected of a longer answer as long as nothing is learned. */
        const val MIN_REST_SHARE = 0.25

        /** Requests of a plain service differ if their work differs by more than this factor. */
        const val ALIKE_RATIO = 1.5
        const val MIN_PLAIN_WEIGHT = 20.0
    }
}

/** Requests that are expected to resemble each other; the null fields do not matter. */
private data class RequestClass(
    val service: String,
    val route: String?,
    val organisation: String?,
    val isStated: Boolean,
    val sizeClass: Int?,
)

/** Keeps the [maxSize] entries that were used last. */
private class RecentMap<K, V>(
    private val maxSize: Int,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>) = size > maxSize

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}

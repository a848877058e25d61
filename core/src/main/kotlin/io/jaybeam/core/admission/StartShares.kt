/*
 * Shares of the recent starts at one service: by organisation, by session and by urgency.
 *
 * Answers load patterns in which one kind of work never ends: a large organisation among small ones, a session that is asked for
 * again and again, and urgent work that alone fills the service. An organisation's fair share grows with the square root of what
 * it sends: in proportion to it, a large organisation would crowd out the small ones; in equal parts, its callers would hardly be
 * served. Work that is passed over keeps a floor, [FLOOR_SHARE] of the share of starts that it has of the arrivals.
 */
package io.jaybeam.core.admission

import kotlin.math.ln
import kotlin.math.sqrt

/** Part of its share of the arrivals that work of each urgency is started with, whatever precedes it. */
internal const val FLOOR_SHARE = 0.3

/** Part of the starts for which callers that return precede all others. */
internal const val RETURNING_SHARE = 0.2

// Several times as long as a caller waits, so that a burst of starts is still remembered when its turn is decided.
private const val SHARE_HALF_LIFE_MILLIS = 4_000L

// Short enough to follow a jump of the load within the time for which callers wait.
private const val RATE_HALF_LIFE_MILLIS = 1_000L

// Twice as long as a caller waits: a session whose requests were all refused for this time precedes the others.
private const val SESSION_TURN_MILLIS = 4_000L
private const val MAX_SESSIONS = 10_000

private const val MIN_WORK_MILLIS = 1.0

/** Work of a request, for shares of it; only proportions matter. */
internal fun workOf(request: WaitingRequest<*>): Double = maxOf(request.cost.readMillis + request.cost.answerTokens, MIN_WORK_MILLIS)

/** Shares of one service. Not thread-safe; times are monotonic milliseconds. */
internal class StartShares {
    private val arrivedByOrganisation = DecayingSums<String?>(SHARE_HALF_LIFE_MILLIS)
    private val startedByOrganisation = DecayingSums<String?>(SHARE_HALF_LIFE_MILLIS)
    private val lastStartMillisBySession =
        object : LinkedHashMap<String, Long>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Long>) = size > MAX_SESSIONS
        }
    private val arrivedByUrgency = DecayingSums<Urgency>(SHARE_HALF_LIFE_MILLIS)
    private val arrivalsByUrgency = DecayingSums<Urgency>(RATE_HALF_LIFE_MILLIS)

    /** Work that each urgency is owed by its floor; negative after a start. */
    private val owedWork = DoubleArray(LEAST_URGENT_RANK + 1)

    /** Work that callers who return are owed by [RETURNING_SHARE]. */
    private var owedToReturning = 0.0

    /** Whether a caller that returns is to be started next. */
    val isOwedToReturning: Boolean get() = owedToReturning > 0

    fun onArrival(request: WaitingRequest<*>, nowMillis: Long) {
        val work = workOf(request)
        arrivedByOrganisation.add(request.organisation, work, nowMillis)
        arrivedByUrgency.add(request.urgency, work, nowMillis)
        arrivalsByUrgency.add(request.urgency, 1.0, nowMillis)
    }

    /** Records the start of [request] while [stillWaiting] wait. */
    fun onStart(request: WaitingRequest<*>, stillWaiting: List<WaitingRequest<*>>, nowMillis: Long) {
        val work = workOf(request)
        startedByOrganisation.add(request.organisation, work, nowMillis)
        request.session?.let {
            lastStartMillisBySession.remove(it)
            lastStartMillisBySession[it] = nowMillis
        }
        owedToReturning =
            when {
                request.isReturning -> maxOf(owedToReturning - work, -work)
                stillWaiting.any { it.isReturning } -> owedToReturning + work * RETURNING_SHARE / (1 - RETURNING_SHARE)
                else -> minOf(owedToReturning, 0.0)
            }
        val waitingUrgencies = stillWaiting.mapTo(HashSet()) { it.urgency }
        for (rank in owedWork.indices) {
            val urgency = Urgency(rank)
            when {
                urgency == request.urgency -> owedWork[rank] = maxOf(owedWork[rank] - work, -work)
                urgency in waitingUrgencies -> owedWork[rank] += work * floorOf(urgency, nowMillis)
                else -> owedWork[rank] = minOf(owedWork[rank], 0.0)
            }
        }
    }

    /** Returns the urgency among [waiting] whose floor is owed most; null if none is. */
    fun owedUrgency(waiting: Set<Urgency>): Urgency? = waiting.maxByOrNull { owedWork[it.rank] }?.takeIf { owedWork[it.rank] > 0 }

    /** Returns the share of the starts that work of [urgency] has whatever precedes it. */
    fun floorOf(urgency: Urgency, nowMillis: Long): Double {
        val total = arrivedByUrgency.sumOf(nowMillis) { true }
        return if (total > 0) FLOOR_SHARE * arrivedByUrgency.valueOf(urgency, nowMillis) / total else FLOOR_SHARE
    }

    /** Returns recent arrivals per millisecond that are more urgent than [urgency]. */
    fun moreUrgentArrivalsPerMilli(urgency: Urgency, nowMillis: Long): Double =
        arrivalsByUrgency.sumOf(nowMillis) { it < urgency } * ln(2.0) / RATE_HALF_LIFE_MILLIS

    /** Returns the started work of [organisation] relative to its fair share. */
    fun servedOf(organisation: String?, nowMillis: Long): Double {
        val arrived = maxOf(arrivedByOrganisation.valueOf(organisation, nowMillis), MIN_WORK_MILLIS)
        return startedByOrganisation.valueOf(organisation, nowMillis) / sqrt(arrived)
    }

    /** Whether a request of [session] was started lately; true for requests without a session. */
    fun isSessionServed(session: String?, nowMillis: Long): Boolean {
        if (session == null) return true
        val lastStartMillis = lastStartMillisBySession[session] ?: return false
        return nowMillis - lastStartMillis < SESSION_TURN_MILLIS
    }
}

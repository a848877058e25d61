/*
 * What callers and targets saw, and whether it keeps the rules.
 */
package io.jaybeam.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** A rule that was broken at [requestId], or at no request in particular. */
public data class BrokenRule(
    val rule: String,
    val requestId: String,
    val detail: String,
) {
    override fun toString(): String = "$detail; $rule broken: request=$requestId"
}

/** Thread-safe. */
internal class SoakRecord {
    private val requests = ConcurrentLinkedQueue<SentRequest>()
    private val arrivals = ConcurrentLinkedQueue<Arrival>()
    private val sealsMade: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val countByOutcome = ConcurrentHashMap<String, Int>()
    private val brokenWhileRunning = ConcurrentLinkedQueue<BrokenRule>()

    fun onRequest(request: SentRequest) {
        requests += request
    }

    fun onArrival(arrival: Arrival) {
        arrivals += arrival
    }

    /** Records an answer that a target sends as the one to its request. */
    fun onAnswerMade(answer: Answer) {
        sealsMade += sealKey(answer.requestId, answer.status, answer.seal)
    }

    fun onOutcome(outcome: String) {
        countByOutcome.merge(outcome, 1, Int::plus)
    }

    /** Checks the complete answer that a caller got to [request]. */
    fun onAnswer(
        request: SentRequest,
        status: Int,
        headers: Map<String, String>,
        body: ByteArray,
    ) {
        onOutcome("$status")
        request.status = status
        val id = request.id
        val seal = headers["response-seal"]
        val answeredId = headers["request-id"]
        when {
            answeredId != null && answeredId != id -> onBroken("MIXED", id, "answer $status to request $answeredId")
            seal == null -> if (status in successes) onBroken("MIXED", id, "success $status without a seal")
            sealKey(id, status, seal) !in sealsMade -> onBroken("MIXED", id, "status $status with a seal that no target gave it")
            seal != sealOf(id, status, body) -> onBroken("MIXED", id, "body of ${body.size} bytes is not the target's")
        }
    }

    fun onBroken(rule: String, id: String, detail: String) {
        brokenWhileRunning += BrokenRule(rule, id, detail)
    }

    /** Returns the broken rules, at most one line of each, and the figures of the run. */
    fun result(disruptions: Map<Disruption, Int>): SoakResult {
        val sent = requests.toList()
        val got = arrivals.toList()
        val worst = worstWindowOrNull(sent, got)
        val budget = worst?.takeIf { it.shareOfAllowed > 1 }?.let { BrokenRule("BUDGET", it.lastRepeatId, "$it") }
        val brokenInAll = brokenWhileRunning + listOfNotNull(budget) + brokenByArrivals(sent, got) + lostRequests(sent, got)
        val broken = brokenInAll.groupBy { it.rule }
        val counts = broken.map { (rule, cases) -> "$rule=${cases.size}" }
        val answers = countByOutcome.toSortedMap().map { (outcome, count) -> "$outcome:$count" }.joinToString(",")
        val repeatCount = got.size - got.distinctBy { it.id }.size
        val done = disruptions.map { (disruption, count) -> "$disruption:$count" }.joinToString(",")
        val figures =
            "requests=${sent.size} answers=$answers repeats=$repeatCount disruptions=$done worstWindow=[${worst ?: "no repeat"}] " +
                "broken=[${counts.joinToString(" ")}]"
        return SoakResult(figures, broken.map { (_, cases) -> cases.first() })
    }

    private fun sealKey(id: String, status: Int, seal: String) = "$id $status $seal"
}

private val successes = 200..299

/*
 * Chooses the target to which an entry sends a request: the target whose cache holds the request's prefix while its load is
 * within a bound of the mean, otherwise the less loaded of two random targets. A slow target counts as more loaded.
 */
package io.jaybeam.core.routing

import io.jaybeam.core.ticket.TargetIncarnation
import kotlin.random.Random

/**
 * Load and state of one target as last received by an entry.
 *
 * @property reportedInFlight requests in flight in the target's last report, from all entries.
 * @property sentSinceReport requests of this entry that the report does not include yet.
 * @property reportAgeMillis age of the report.
 * @property stepMillis typical time between tokens of one answer at the target; 0 if unknown.
 */
public data class TargetSnapshot(
    val identity: TargetIncarnation,
    val service: String,
    val dataCentre: String,
    val limit: Int,
    val reportedInFlight: Int,
    val sentSinceReport: Int,
    val reportAgeMillis: Long,
    val stepMillis: Double = 0.0,
) {
    /** Load per slot. The older a report is, the more a low load is raised towards a medium one. */
    internal val load: Double
        get() {
            val reported = (reportedInFlight + sentSinceReport).toDouble() / maxOf(limit, 1)
            val reportWeight = REPORT_HALF_LIFE_MILLIS / (REPORT_HALF_LIFE_MILLIS + reportAgeMillis)
            return reportWeight * reported + (1 - reportWeight) * maxOf(reported, MEDIUM_LOAD)
        }
}

private const val REPORT_HALF_LIFE_MILLIS = 2_000.0
private const val MEDIUM_LOAD = 0.5
private const val BASE_LOAD = 0.5
private const val AFFINITY_LOAD_FACTOR = 1.25
private const val AFFINITY_LOAD_SLACK = 0.25

/** Picks targets. Not thread-safe: each router must be confined to one thread. */
public class Router(
    private val random: Random,
) {
    /** Returns the target for a request whose prompt prefix has [prefixHash], or null if there is no candidate. */
    public fun pick(candidates: List<TargetSnapshot>, prefixHash: Long?): TargetSnapshot? {
        if (candidates.isEmpty()) return null
        return affinityTargetOrNull(candidates, prefixHash) ?: lessLoadedOfTwo(candidates)
    }

    /** Returns up to [count] targets in the order in which to try them. */
    public fun pickOrdered(candidates: List<TargetSnapshot>, count: Int, prefixHash: Long? = null): List<TargetSnapshot> {
        val remaining = candidates.toMutableList()
        val picked = mutableListOf<TargetSnapshot>()
        while (picked.size < count) {
            val next = pick(remaining, prefixHash) ?: break
            picked += next
            remaining -= next
        }
        return picked
    }

    private fun affinityTargetOrNull(candidates: List<TargetSnapshot>, prefixHash: Long?): TargetSnapshot? {
        if (prefixHash == null) return null
        val medianStepMillis = medianStepMillis(candidates)
        val meanCost = candidates.sumOf { cost(it, medianStepMillis) } / candidates.size
        val preferred = candidates.maxBy { rendezvousScore(prefixHash, it.identity.instance) }
        return preferred.takeIf { cost(it, medianStepMillis) <= meanCost * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK }
    }

    private fun lessLoadedOfTwo(candidates: List<TargetSnapshot>): TargetSnapshot {
        val first = candidates[random.nextInt(candidates.size)]
        val second = candidates[random.nextInt(candidates.size)]
        val medianStepMillis = medianStepMillis(candidates)
        return if (cost(second, medianStepMillis) < cost(first, medianStepMillis)) second else first
    }

    /**
     * Load multiplied by the ratio of the target's step time to the median, if that is above 1. A constant added to the load
     * makes an idle straggler cost more than other idle targets.
     */
    private fun cost(target: TargetSnapshot, medianStepMillis: Double): Double {
        if (target.stepMillis <= 0.0 || medianStepMillis <= 0.0) return target.load + BASE_LOAD
        return (target.load + BASE_LOAD) * maxOf(target.stepMillis / medianStepMillis, 1.0)
    }

    private fun medianStepMillis(candidates: List<TargetSnapshot>): Double {
        val stepTimes = candidates.map { it.stepMillis }.filter { it > 0.0 }.sorted()
        return if (stepTimes.isEmpty()) 0.0 else stepTimes[stepTimes.size / 2]
    }
}

/** Returns up to [count] of the [names]: the same in every process for the same [owner], and evenly spread over owners. */
public fun subsetFor(owner: String, names: Collection<String>, count: Int): List<String> {
    val ownerHash = hash64(owner)
    return names.sortedByDescending { rendezvousScore(ownerHash, it) }.take(count)
}

/** Returns the weight of [name] for [key] in rendezvous hashing; the name with the highest weight owns the key. */
public fun rendezvousScore(key: Long, name: String): Long = mix64(key xor hash64(name))

/** Returns a 64-bit hash of [text]. */
public fun hash64(text: String): Long = text.fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }.let(::mix64)

private fun mix64(value: Long): Long {
    val first = (value xor (value ushr MIX_SHIFT_FIRST)) * MIX_FACTOR_FIRST
    val second = (first xor (first ushr MIX_SHIFT_SECOND)) * MIX_FACTOR_SECOND
    return second xor (second ushr MIX_SHIFT_LAST)
}

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_SHIFT_FIRST = 30
private const val MIX_SHIFT_SECOND = 27
private const val MIX_SHIFT_LAST = 31
private const val MIX_FACTOR_FIRST = -4658895280553007687L
private const val MIX_FACTOR_SECOND = -7723592293110705685L

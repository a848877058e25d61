/*
 * Which target an entry sends a request to: the target that caches the request's prefix while its load
 * is within a bound of the mean, else the less loaded of two drawn at random. A slow target counts as more loaded.
 */
package io.jaybeam.core.routing

import io.jaybeam.core.ticket.TargetIncarnation
import kotlin.random.Random

/**
 * What an entry knows of one target.
 *
 * @property reportedInFlight the target's load at its last report, work of all entries.
 * @property sentSinceReport requests of this entry that the report does not count yet.
 * @property reportAgeMillis age of the report.
 * @property stepMillis usual time between tokens of one answer at the target; 0 where it is not known.
 */
public data class TargetView(
    val identity: TargetIncarnation,
    val service: String,
    val dataCentre: String,
    val limit: Int,
    val reportedInFlight: Int,
    val sentSinceReport: Int,
    val reportAgeMillis: Long,
    val stepMillis: Double = 0.0,
) {
    /** Load per place, aged: an old report counts towards a middling load. */
    internal val load: Double
        get() {
            val known = (reportedInFlight + sentSinceReport).toDouble() / maxOf(limit, 1)
            val trust = REPORT_HALF_LIFE_MILLIS / (REPORT_HALF_LIFE_MILLIS + reportAgeMillis)
            return trust * known + (1 - trust) * maxOf(known, MIDDLING_LOAD)
        }
}

private const val REPORT_HALF_LIFE_MILLIS = 2_000.0
private const val MIDDLING_LOAD = 0.5
private const val IDLE_LOAD = 0.5
private const val AFFINITY_LOAD_BOUND = 1.25
private const val AFFINITY_LOAD_SLACK = 0.25

/** Picks targets. Not thread-safe: one thread owns it, or each thread has its own. */
public class Router(
    private val random: Random,
) {
    /** Returns the target for a request whose prompt prefix hashes to [prefixHash], or null when there is no candidate. */
    public fun pick(candidates: List<TargetView>, prefixHash: Long?): TargetView? {
        if (candidates.isEmpty()) return null
        return affineOrNull(candidates, prefixHash) ?: lessLoadedOfTwo(candidates)
    }

    /** Returns up to [count] targets in the order in which they should be tried. */
    public fun pickOrdered(candidates: List<TargetView>, count: Int, prefixHash: Long? = null): List<TargetView> {
        val left = candidates.toMutableList()
        val picked = mutableListOf<TargetView>()
        while (picked.size < count) {
            val next = pick(left, prefixHash) ?: break
            picked += next
            left -= next
        }
        return picked
    }

    private fun affineOrNull(candidates: List<TargetView>, prefixHash: Long?): TargetView? {
        if (prefixHash == null) return null
        val typicalStepMillis = typicalStepMillis(candidates)
        val mean = candidates.sumOf { cost(it, typicalStepMillis) } / candidates.size
        val home = candidates.maxBy { rendezvousScore(prefixHash, it.identity.instance) }
        return home.takeIf { cost(it, typicalStepMillis) <= mean * AFFINITY_LOAD_BOUND + AFFINITY_LOAD_SLACK }
    }

    private fun lessLoadedOfTwo(candidates: List<TargetView>): TargetView {
        val first = candidates[random.nextInt(candidates.size)]
        val second = candidates[random.nextInt(candidates.size)]
        val typicalStepMillis = typicalStepMillis(candidates)
        return if (cost(second, typicalStepMillis) < cost(first, typicalStepMillis)) second else first
    }

    /** Load weighted by how much slower than usual the target steps, so that a straggler is avoided even when idle. */
    private fun cost(view: TargetView, typicalStepMillis: Double): Double {
        if (view.stepMillis <= 0.0 || typicalStepMillis <= 0.0) return view.load + IDLE_LOAD
        return (view.load + IDLE_LOAD) * maxOf(view.stepMillis / typicalStepMillis, 1.0)
    }

    private fun typicalStepMillis(candidates: List<TargetView>): Double {
        val known = candidates.map { it.stepMillis }.filter { it > 0.0 }.sorted()
        return if (known.isEmpty()) 0.0 else known[known.size / 2]
    }
}

/** Returns up to [count] of the [names], the same for the same [owner] everywhere and spread evenly over owners. */
public fun subsetFor(owner: String, names: Collection<String>, count: Int): List<String> {
    val ownerHash = hash64(owner)
    return names.sortedByDescending { rendezvousScore(ownerHash, it) }.take(count)
}

/** Returns the weight of [name] for [key] in rendezvous hashing. */
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

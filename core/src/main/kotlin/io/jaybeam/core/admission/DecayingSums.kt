/*
 * Sums of recent amounts by key. Older amounts count less, so that a share of recent work is known without storing each request.
 */
package io.jaybeam.core.admission

import kotlin.math.pow

/**
 * Sums that halve every [halfLifeMillis] for at most [maxKeys] keys; the key that was used longest ago is dropped first. Not
 * thread-safe; times are monotonic milliseconds.
 */
internal class DecayingSums<K>(
    private val halfLifeMillis: Long,
    private val maxKeys: Int = DEFAULT_MAX_KEYS,
) {
    private class Sum(
        var value: Double,
        var atMillis: Long,
    )

    private val sums =
        object : LinkedHashMap<K, Sum>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, Sum>) = size > maxKeys
        }

    fun add(key: K, amount: Double, nowMillis: Long) {
        val sum = sums.getOrPut(key) { Sum(0.0, nowMillis) }
        sum.value = valueAt(sum, nowMillis) + amount
        sum.atMillis = nowMillis
    }

    fun valueOf(key: K, nowMillis: Long): Double = sums[key]?.let { valueAt(it, nowMillis) } ?: 0.0

    /** Returns the sum over the keys that [matches]. */
    fun sumOf(nowMillis: Long, matches: (K) -> Boolean): Double =
        sums.entries.sumOf { (key, sum) -> if (matches(key)) valueAt(sum, nowMillis) else 0.0 }

    private fun valueAt(sum: Sum, nowMillis: Long) = sum.value * 0.5.pow((nowMillis - sum.atMillis).toDouble() / halfLifeMillis)

    private companion object {
        const val DEFAULT_MAX_KEYS = 2_000
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}

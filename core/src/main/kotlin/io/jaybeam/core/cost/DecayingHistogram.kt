/*
 * Distribution of a positive quantity in which older observations count less. It answers what is left of a quantity of which
 * a part has been seen: answers have a long tail, so one that has outlasted most others is expected to go on for longer.
 */
package io.jaybeam.core.cost

import kotlin.math.floor
import kotlin.math.log2
import kotlin.math.pow

/** Histogram with buckets of geometrically growing width whose counts halve every [halfLifeMillis]. Not thread-safe. */
internal class DecayingHistogram(
    private val halfLifeMillis: Long,
) {
    private val counts = FloatArray(BUCKETS)
    private val sums = FloatArray(BUCKETS)
    private var decayedAtMillis = Long.MIN_VALUE

    /** Adds an observation of [value]. */
    fun add(value: Double, nowMillis: Long) {
        decay(nowMillis)
        val bucket = bucketOf(value)
        counts[bucket] += 1f
        sums[bucket] += value.toFloat()
    }

    /** Returns the decayed number of observations. */
    fun weight(nowMillis: Long): Double {
        decay(nowMillis)
        return counts.sum().toDouble()
    }

    /**
     * Returns the mean of what observations have beyond [seen], over those that are larger; and their decayed number.
     *
     * The mean is 0 if no observation is larger.
     */
    fun meanBeyond(seen: Double, nowMillis: Long): WeightedMean {
        decay(nowMillis)
        var count = 0.0
        var rest = 0.0
        for (bucket in counts.indices) {
            val bucketMean = if (counts[bucket] > 0f) sums[bucket].toDouble() / counts[bucket] else continue
            if (bucketMean <= seen) continue
            count += counts[bucket]
            rest += counts[bucket] * (bucketMean - seen)
        }
        return WeightedMean(if (count > 0) rest / count else 0.0, count)
    }

    private fun decay(nowMillis: Long) {
        val elapsedMillis = if (decayedAtMillis == Long.MIN_VALUE) 0 else nowMillis - decayedAtMillis
        if (elapsedMillis < MIN_DECAY_MILLIS && decayedAtMillis != Long.MIN_VALUE) return
        val factor = 0.5.pow(elapsedMillis.toDouble() / halfLifeMillis).toFloat()
        for (bucket in counts.indices) {
            counts[bucket] *= factor
            sums[bucket] *= factor
        }
        decayedAtMillis = nowMillis
    }

    private fun bucketOf(value: Double): Int =
        (floor(log2(maxOf(value, Double.MIN_VALUE)) * BUCKETS_PER_DOUBLING).toInt() + BUCKET_OF_ONE).coerceIn(0, BUCKETS - 1)

    private companion object {
        const val BUCKETS = 48
        const val BUCKETS_PER_DOUBLING = 2
        const val BUCKET_OF_ONE = 16
        const val MIN_DECAY_MILLIS = 100L
    }
}

/** A mean and the number of observations behind it. */
internal data class WeightedMean(
    val mean: Double,
    val weight: Double,
)

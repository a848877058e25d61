package io.jaybeam.side.rank

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.placement.GroupMap
import io.jaybeam.core.rankgroup.ExpertCounts
import io.jaybeam.core.rankgroup.FencedOrder
import io.jaybeam.core.rankgroup.OrderOutcome
import io.jaybeam.core.rankgroup.RankFault
import io.jaybeam.core.rankgroup.RankPort
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

// A group of this size reports the demand of so many experts less than once a second.
private const val LARGE_GROUP = 129
private const val EXPERTS = 4_128
private const val SHIFT_MILLIS = 3_300L
private const val TICK_MILLIS = 30L

internal class DemandSamplerTest {
    private var nowMillis = 0L
    private var isReadable = true
    private var reads = 0

    /** A rank on which only one expert is used, another one after each shift. */
    private val rank =
        object : RankPort {
            override fun counts(): Either<RankFault, ExpertCounts> {
                reads += 1
                return if (isReadable) ExpertCounts(1, nowMillis, List(EXPERTS) { countOf(it) }).right() else RankFault("test").left()
            }

            override fun status() = RankFault("not read here").left()

            override fun experts() = RankFault("not read here").left()

            override fun sendOrder(order: FencedOrder, map: GroupMap?) = OrderOutcome.CONFLICT
        }
    private val sampler = DemandSampler(rank) { nowMillis * NANOS_PER_MILLI }

    private fun countOf(expert: Int): Long = (nowMillis - expert * SHIFT_MILLIS).coerceIn(0, SHIFT_MILLIS)

    /** Returns the reports of [groupSize] ranks: their time and the demand by expert. */
    private fun reports(groupSize: Int, untilMillis: Long): List<Pair<Long, List<Int>>> {
        val reports = mutableListOf<Pair<Long, List<Int>>>()
        while (nowMillis < untilMillis) {
            sampler.onTick()
            sampler.takeIfDue(groupSize)?.let { reports += nowMillis to it.toList() }
            nowMillis += TICK_MILLIS
        }
        return reports
    }

    @Test
    fun `a report of a large group half a second after a shift describes only the new demand`() {
        val reports = reports(LARGE_GROUP, untilMillis = 10 * SHIFT_MILLIS)
        assertTrue(reports.size > 10, "${reports.size} reports")
        reports.filter { (atMillis, _) -> atMillis % SHIFT_MILLIS >= 500 && atMillis > SHIFT_MILLIS }.forEach { (atMillis, demand) ->
            val used = demand.indices.filter { demand[it] > 0 }
            assertEquals(listOf((atMillis / SHIFT_MILLIS).toInt()), used, "at $atMillis ms")
        }
    }

    @Test
    fun `a rank whose counts cannot be read is not read in each tick`() {
        isReadable = false
        assertEquals(emptyList(), reports(LARGE_GROUP, untilMillis = 4_000))
        assertTrue(reads <= 11, "$reads reads")
    }

    @Test
    fun `the demand of a group that reports often is counted without gaps`() {
        val reports = reports(groupSize = 12, untilMillis = 3_000)
        assertTrue(reports.sumOf { it.second.sum() } > 2_500, "${reports.sumOf { it.second.sum() }} of 3,000 uses were reported")
    }
}

/*
 * Replays the moment at which an empty rank group takes requests again: callers have waited at the entry for up to 1.2 s, few streams run
 * yet, and the gate lets the others through at the pace at which the group fills.
 */
package io.jaybeam.core.admission

import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.recovery.GroupGate
import io.jaybeam.core.recovery.GroupShare
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val GAP_LIMIT_MILLIS = 120L
private const val RANKS = 64
private const val ENTRIES = 6
private const val SLOTS = 10
private const val CALLER_PATIENCE_MILLIS = 2_000L
private const val PASSES_UNTIL_EVENT = 3

// Load of the most loaded rank divided by the mean.
private const val SKEW = 1.5

private val engine =
    EngineModel(
        batchSlots = SLOTS,
        stepsPerPass = 4,
        stepMillis = 8.0,
        stepMillisPerRequest = 0.75,
        expertSets = 4,
        experts = 256,
        slotsPerRank = 8,
        newExpertsPerChange = 3,
        expertMegabytes = 300.0,
        expertShare = 0.85,
        meanAnswerTokens = 97,
        weightMegabitsPerSecond = 180_000.0,
        reportLagMillis = 0,
    )

internal class FillingGroupTest {
    private val admission = StreamAdmission(engine, GAP_LIMIT_MILLIS, RANKS, ENTRIES)

    private data class End(
        val startedMillis: List<Long>,
        val refusedMillis: List<Long>,
    )

    /** All entries of the group have as many streams as this one. */
    private fun passMillis(running: Int) =
        (engine.stepsPerPass * (engine.stepMillis + engine.stepMillisPerRequest * SKEW * running * ENTRIES / RANKS)).toLong()

    private fun request(id: Int, arrivedAtMillis: Long) =
        WaitingRequest(
            value = id,
            urgency = Urgency(1 + id % 3),
            organisation = "org",
            session = null,
            cost = RequestCost(1.0, 100.0, 0.0),
            arrivedAtMillis = arrivedAtMillis,
            startOnTimeUntilMillis = arrivedAtMillis + 300,
            deadlineMillis = arrivedAtMillis + CALLER_PATIENCE_MILLIS,
            isReturning = false,
        )

    /** Plays an entry at which [callers] wait when the group opens at time 0, and at which [runningAtOpening] trials have been answered. */
    private fun play(callers: Int, runningAtOpening: Int): End {
        val gate = GroupGate { GroupShare(ENTRIES, RANKS * SLOTS) }
        gate.onTurnedAway("a", -1_200)
        gate.onTurnedAway("b", -1_200)
        gate.onAnswer(0)
        val room = WaitingRoom<Int>(256)
        repeat(callers) { room.offer(request(it, -1_200L + it * 1_200L / callers), 0) }
        val started = mutableListOf<Long>()
        val refused = mutableListOf<Long>()
        var now = 0L
        while (room.size > 0 && now < CALLER_PATIENCE_MILLIS) {
            val running = runningAtOpening + started.count { it + PASSES_UNTIL_EVENT * passMillis(runningAtOpening) <= now }
            val load = { StreamLoad(runningAtOpening + started.size, running, passMillis(running), now - (started.lastOrNull() ?: -1_000)) }
            while (true) {
                val next = room.next(now) ?: break
                if (!admission.canStart(load()) || !gate.tryPass(now)) break
                room.start(next, now)
                started += now
            }
            val forecast = admission.forecast(load())
            room.expectedWaits(now) { forecast }.filter { isHopeless(it, forecast, now) }.forEach {
                room.remove(it.request)
                refused += now
            }
            now += 5
        }
        return End(started, refused)
    }

    @Test
    fun `callers that waited for an empty group are not refused as it fills`() {
        for (running in 1..5) {
            val end = play(callers = 60, runningAtOpening = running)
            assertEquals(emptyList(), end.refusedMillis, "$running running: ${end.refusedMillis.size} of 60 refused")
            assertTrue(
                end.startedMillis.size == 60 && end.startedMillis.last() <= 600,
                "$running running: last at ${end.startedMillis.last()}",
            )
        }
    }

    @Test
    fun `callers for whom a group has no place in time are refused as it fills`() {
        val end = play(callers = 250, runningAtOpening = 3)
        assertTrue(end.refusedMillis.isNotEmpty() && end.refusedMillis.first() <= 100, "$end")
        assertTrue(end.startedMillis.size >= RANKS * SLOTS / ENTRIES / 2, "${end.startedMillis.size} started")
    }
}

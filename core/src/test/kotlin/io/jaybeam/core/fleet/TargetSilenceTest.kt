package io.jaybeam.core.fleet

import io.jaybeam.core.cost.Backlog
import io.jaybeam.core.cost.PlacedRequest
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.cost.TargetBacklog
import io.jaybeam.core.cost.costEngine
import io.jaybeam.core.cost.rank
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val BOUND_MILLIS = 500L
private const val TRIAL_MILLIS = 2_000L

internal class TargetSilenceTest {
    private var nowMillis = 1_000L
    private val silence = TargetSilence { nowMillis }
    private val small = RequestCost(readMillis = 5.0, answerTokens = 50.0, memoryTokens = 350.0)

    private fun send(): PlacedRequest = TargetBacklog { nowMillis }.start(small).also { silence.onSent(it, BOUND_MILLIS) }

    private fun pass(millis: Long) {
        nowMillis += millis
    }

    // Load: requests go on while the machine of one target is suspended.
    @Test
    fun `a target is avoided once it has sent nothing for longer than its requests accept, while they still wait`() {
        send()
        pass(BOUND_MILLIS - 1)
        assertFalse(silence.isAvoided)
        pass(1)
        assertTrue(silence.isAvoided)
    }

    // Load: a long queue at a target that works.
    @Test
    fun `a target that sends output of any request is not silent towards the others`() {
        repeat(8) { send() }
        repeat(20) {
            pass(BOUND_MILLIS - 1)
            assertFalse(silence.isAvoided)
            silence.onSign()
        }
    }

    @Test
    fun `a target without requests is not silent`() {
        val request = send()
        pass(BOUND_MILLIS / 2)
        silence.onEnd(request)
        pass(60_000)
        assertFalse(silence.isAvoided)
    }

    @Test
    fun `a request that is sent after a pause gets its whole bound`() {
        silence.onEnd(send().also { silence.onSign() })
        pass(60_000)
        send()
        assertFalse(silence.isAvoided)
        pass(BOUND_MILLIS)
        assertTrue(silence.isAvoided)
    }

    @Test
    fun `a silent target whose callers left gets one trial from time to time until it gives a sign`() {
        val requests = List(3) { send() }
        pass(BOUND_MILLIS)
        requests.forEach(silence::onEnd)
        repeat(3) {
            pass(TRIAL_MILLIS - 1)
            assertTrue(silence.isAvoided)
            pass(1)
            assertFalse(silence.isAvoided)
            val trial = send()
            assertTrue(silence.isAvoided, "a second request beside the trial")
            pass(1)
            silence.onEnd(trial)
        }
        pass(TRIAL_MILLIS)
        send()
        silence.onSign()
        assertFalse(silence.isAvoided)
    }

    @Test
    fun `the bound is what callers accept and the time for the prompt`() {
        val route =
            Route("chat", "x", "/", RouteKind.STREAM, 8_000, 900, 1, listOf(WeightedService("pool", 1)), 2, true, true, 1_200)
        assertEquals(1_200, silenceBoundMillis(route, readMillis = 0.0))
        assertEquals(1_600, silenceBoundMillis(route.copy(objectiveMillis = 1_500), readMillis = 100.0))
        // A packet may be lost on the way to a target that works.
        assertEquals(500, silenceBoundMillis(route.copy(objectiveMillis = 40, maxEventGapMillis = 0), readMillis = 0.0))
    }

    @Test
    fun `a silent target is not chosen however idle it is`() {
        val silent = load(0).copy(isSilent = true)
        val busy = List(3) { load(it + 1, Backlog(9, answerTokens = 900.0)) }
        for (engine in listOf(null, costEngine())) {
            repeat(50) {
                val chosen = chooseTarget(busy + silent, "north", Random(it), PlacementRequest(small, engine))
                assertTrue(chosen != silent.target)
            }
        }
    }

    // Load: a group in lock-step stalls while its map changes; ranks without requests have nothing to answer.
    @Test
    fun `a group that stalls as a whole is used as before`() {
        val idle = load(0, Backlog(12, answerTokens = 900.0))
        val stalled = List(7) { load(it + 1).copy(isSilent = true) }
        val chosen = List(50) { chooseTarget(stalled + idle, "north", Random(it), PlacementRequest(small, costEngine())) }
        assertTrue(chosen.none { it == idle.target })
        assertTrue(chosen.distinct().size > 3, "${chosen.distinct()}")
        assertTrue(chooseTarget(stalled, "north", Random(1), PlacementRequest(small, costEngine())) != null)
    }

    private fun load(index: Int, backlog: Backlog = Backlog()) = TargetLoad(rank(index), backlog.requests, 0, backlog)
}

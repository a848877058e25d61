/*
 * Trials of a part that crashes each target, at many instances that learn of each other's crashes some ms later.
 */
package io.jaybeam.core.quarantine

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

private const val COUNTED_AFTER_MILLIS = 3_000L
private const val MAX_NEWS_DELAY_MILLIS = 20L

/** Requests with a crashing part that come at any of [size] instances; each crashes its target [crashMillis] later on average. */
private class CrashingTraffic(
    size: Int,
    private val crashMillis: Long,
    private val random: Random,
) {
    private class Event(
        val atMillis: Long,
        val number: Int,
        val action: (Long) -> Unit,
    )

    private val crashing = RequestTrait.PromptPart("crashing")
    private val instances = List(size) { CrashQuarantine(capacity = 1_000, Random(random.nextInt())) }
    private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.number }))
    private var eventCount = 0
    private val sentMillis = mutableListOf<Long>()
    private val crashesMillis = mutableListOf<Long>()

    /** Returns how many requests were sent to targets in [durationMillis], later than 3 s after the fifth crash. */
    fun run(intervalMillis: Long, durationMillis: Long): Int {
        for (atMillis in 1_000L..durationMillis step intervalMillis) schedule(atMillis + random.nextLong(intervalMillis), ::onRequest)
        while (true) events.poll()?.let { it.action(it.atMillis) } ?: break
        val fifthMillis = crashesMillis.sorted().getOrNull(4) ?: return 0
        return sentMillis.count { it > fifthMillis + COUNTED_AFTER_MILLIS }
    }

    private fun schedule(atMillis: Long, action: (Long) -> Unit) {
        events += Event(atMillis, eventCount++, action)
    }

    private fun onRequest(nowMillis: Long) {
        val instance = instances.random(random)
        val traits = listOf(crashing, RequestTrait.Content("$eventCount"))
        val decision = instance.admit(traits, nowMillis)
        if (decision is QuarantineDecision.Refuse) return
        sentMillis += nowMillis
        schedule(nowMillis + random.nextLong(crashMillis / 2, crashMillis * 3 / 2)) { crashedMillis ->
            crashesMillis += crashedMillis
            instance.onCrash(traits, nowMillis, crashedMillis)
            if (decision is QuarantineDecision.Try) instance.endTrial(decision.traits)
            val news = instance.blamedTraits(crashedMillis)
            (instances - instance).forEach { other ->
                schedule(crashedMillis + random.nextLong(1, MAX_NEWS_DELAY_MILLIS)) { other.onBlamedElsewhere(news, it) }
            }
        }
    }
}

internal class CrashTrialTest {
    @Test
    fun `trials at many instances send no more than three requests once five targets have crashed`() {
        for (seed in 1..10) {
            val sent = CrashingTraffic(12, crashMillis = 1_000, Random(seed)).run(intervalMillis = 250, durationMillis = 600_000)
            assertTrue(sent <= 3, "seed $seed: $sent requests")
        }
    }

    @Test
    fun `trials in a large fleet send no more than three requests once five targets have crashed`() {
        for (seed in 1..10) {
            val sent = CrashingTraffic(100, crashMillis = 1_500, Random(seed)).run(intervalMillis = 100, durationMillis = 600_000)
            assertTrue(sent <= 3, "seed $seed: $sent requests")
        }
    }
}

package io.jaybeam.core.quarantine

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class CrashQuarantineTest {
    private val quarantine = CrashQuarantine(capacity = 1_000)
    private val shared = RequestTrait.PromptPart("shared")
    private val crashing = RequestTrait.PromptPart("crashing")

    private fun content(number: Int) = RequestTrait.Content("$number")

    @Test
    fun `a part that no target has answered is kept from targets after one crash, and its neighbours are not`() {
        quarantine.onShownSound(listOf(shared), 0)
        assertEquals(listOf(crashing, content(1)), quarantine.onCrash(listOf(shared, crashing, content(1)), 90, 100))
        assertEquals(QuarantineDecision.Admit, quarantine.admit(listOf(shared, content(2)), 101))
        val refusal = assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(shared, crashing, content(3)), 101))
        assertEquals(crashing, refusal.trait)
        assertEquals(100 + UNPROVEN_TRIAL_DELAY_MILLIS - 101, refusal.retryAfterMillis)
    }

    @Test
    fun `a blamed part is tried with one request at a time, and output clears it`() {
        quarantine.onCrash(listOf(crashing), 0, 100)
        val later = 100 + UNPROVEN_TRIAL_DELAY_MILLIS
        val trial = assertIs<QuarantineDecision.Try>(quarantine.admit(listOf(crashing), later))
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(crashing), later))
        quarantine.endTrial(trial.traits)
        assertIs<QuarantineDecision.Try>(quarantine.admit(listOf(crashing), later + 1))
        assertEquals(listOf<RequestTrait>(crashing), quarantine.onShownSound(listOf(crashing), later + 2))
        assertEquals(QuarantineDecision.Admit, quarantine.admit(listOf(crashing), later + 3))
        assertTrue(quarantine.isEmpty)
    }

    @Test
    fun `a part whose trial crashes a target too is quarantined`() {
        quarantine.onCrash(listOf(crashing), 0, 100)
        val later = 100 + UNPROVEN_TRIAL_DELAY_MILLIS
        quarantine.admit(listOf(crashing), later)
        quarantine.onCrash(listOf(crashing), later, later + 50)
        quarantine.endTrial(listOf(crashing))
        val refusal = assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(crashing), later + QUARANTINE_MILLIS))
        assertEquals(50, refusal.retryAfterMillis)
    }

    @Test
    fun `a part that alone explains its first crash is quarantined by a second one, whatever parts are new beside it`() {
        quarantine.onCrash(listOf(crashing), 0, 100)
        val later = 100 + UNPROVEN_TRIAL_DELAY_MILLIS
        quarantine.admit(listOf(RequestTrait.PromptPart("new"), crashing), later)
        quarantine.onCrash(listOf(RequestTrait.PromptPart("new"), crashing), later, later + 50)
        quarantine.endTrial(listOf(crashing))
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(crashing), later + QUARANTINE_MILLIS))
        assertIs<QuarantineDecision.Try>(quarantine.admit(listOf(RequestTrait.PromptPart("new")), later + 51))
    }

    @Test
    fun `requests that were sent before a crash was known do not count as further crashes`() {
        quarantine.onCrash(listOf(crashing), 10, 100)
        assertEquals(emptyList(), quarantine.onCrash(listOf(crashing), 50, 101))
        assertEquals(1, quarantine.blamedTraits(102).single().crashes)
    }

    @Test
    fun `parts that are blamed together are told apart by requests with only one of them`() {
        quarantine.onCrash(listOf(shared, crashing), 0, 100)
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(shared, crashing), 101))
        assertIs<QuarantineDecision.Try>(quarantine.admit(listOf(shared), 101))
        quarantine.onShownSound(listOf(shared), 102)
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(shared, crashing), 103))
        val later = 100 + UNPROVEN_TRIAL_DELAY_MILLIS
        assertIs<QuarantineDecision.Try>(quarantine.admit(listOf(shared, crashing), later))
        assertEquals(listOf<RequestTrait>(crashing), quarantine.onCrash(listOf(shared, crashing), later, later + 10))
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(crashing), later + QUARANTINE_MILLIS))
        assertEquals(QuarantineDecision.Admit, quarantine.admit(listOf(shared), later + 11))
    }

    @Test
    fun `a part that begins to crash targets after it was answered is quarantined`() {
        quarantine.onShownSound(listOf(shared, crashing), 0)
        quarantine.onCrash(listOf(shared, crashing), 50, 100)
        quarantine.admit(listOf(shared), 101)
        quarantine.onShownSound(listOf(shared), 102)
        quarantine.admit(listOf(shared, crashing), 103)
        quarantine.onCrash(listOf(shared, crashing), 103, 110)
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(crashing), 110 + QUARANTINE_MILLIS - 1))
    }

    @Test
    fun `a request whose repetition crashes a target too is quarantined, whatever its prompt`() {
        quarantine.onCrash(listOf(content(1)), 0, 100)
        assertIs<QuarantineDecision.Try>(quarantine.admit(listOf(content(1)), 101))
        quarantine.onCrash(listOf(content(1)), 101, 102)
        quarantine.endTrial(listOf(content(1)))
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(content(1)), 103))
    }

    @Test
    fun `an instance that is told of a blamed trait refuses it, and output seen elsewhere clears it`() {
        quarantine.onCrash(listOf(crashing), 0, 100)
        val other = CrashQuarantine(capacity = 10)
        val news = quarantine.blamedTraits(110)
        assertEquals(news, other.onBlamedElsewhere(news, 5_000).accepted)
        assertEquals(emptyList(), other.onBlamedElsewhere(news, 5_001).accepted)
        assertIs<QuarantineDecision.Refuse>(other.admit(listOf(crashing), 5_002))
        assertEquals(listOf<RequestTrait>(crashing), other.onShownSoundElsewhere(listOf(crashing, shared), 5_003))
        assertEquals(emptyList(), other.onBlamedElsewhere(quarantine.blamedTraits(120), 5_004).accepted)
        assertEquals(QuarantineDecision.Admit, other.admit(listOf(crashing), 5_005))
    }

    @Test
    fun `an instance that has seen output of one of two blamed parts refutes the blame of that part`() {
        quarantine.onCrash(listOf(shared, crashing), 0, 100)
        val other = CrashQuarantine(capacity = 10)
        other.onShownSound(listOf(shared), 4_000)
        val review = other.onBlamedElsewhere(quarantine.blamedTraits(110), 5_000)
        assertEquals(listOf<RequestTrait>(shared), review.refuted)
        assertEquals(listOf<RequestTrait>(crashing), review.accepted.map { it.trait })
        assertEquals(QuarantineDecision.Admit, other.admit(listOf(shared), 5_001))
        quarantine.onShownSoundElsewhere(review.refuted, 120)
        val refusal = assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(shared, crashing), 130))
        assertEquals(100 + UNPROVEN_TRIAL_DELAY_MILLIS - 130, refusal.retryAfterMillis)
    }

    @Test
    fun `a flood of new parts does not end a quarantine`() {
        quarantine.onCrash(listOf(crashing), 0, 100)
        repeat(5_000) { quarantine.onShownSound(listOf(RequestTrait.PromptPart("other-$it")), 200) }
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(crashing), 201))
    }

    @Test
    fun `a crashing part is quarantined although each request with it has another part that was never answered`() {
        var nowMillis = 0L
        val crashes =
            (1..100).count { number ->
                nowMillis += 1_000
                val traits = listOf(shared, crashing, RequestTrait.PromptPart("rare-$number"), content(number))
                val decision = quarantine.admit(traits, nowMillis)
                if (decision !is QuarantineDecision.Refuse) quarantine.onCrash(traits, nowMillis, nowMillis + 5)
                if (decision is QuarantineDecision.Try) quarantine.endTrial(decision.traits)
                quarantine.onShownSound(listOf(shared), nowMillis + 10)
                decision !is QuarantineDecision.Refuse
            }
        assertTrue(crashes < 4, "$crashes crashes")
    }

    @Test
    fun `requests that were in flight at many crashes do not push out what is known of parts`() {
        quarantine.onShownSound(listOf(shared), 0)
        repeat(2_000) { quarantine.onCrash(listOf(content(it)), 10, 20) }
        quarantine.onCrash(listOf(crashing), 25, 30)
        repeat(2_000) { quarantine.onCrash(listOf(content(2_000 + it)), 35, 40) }
        assertEquals(
            listOf<RequestTrait>(RequestTrait.PromptPart("new")),
            quarantine.onCrash(listOf(shared, RequestTrait.PromptPart("new")), 45, 50),
        )
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(crashing), 60))
    }

    /** Replays crashing requests among sound ones that share their first part, at a group that each crash takes down for 3.2 s. */
    @Test
    fun `requests with a crashing part crash fewer than five targets in ten minutes, and sound ones are served`() {
        repeat(50) { seed -> replay(Random(seed)) }
    }

    private fun replay(random: Random) {
        val instances = List(5) { CrashQuarantine(capacity = 1_000) }
        var groupUpMillis = 0L
        var crashes = 0
        var sound = 0
        var refusedSound = 0
        var nowMillis = 0L
        while (nowMillis < QUARANTINE_MILLIS) {
            nowMillis += random.nextLong(1, 60)
            if (nowMillis < groupUpMillis) continue
            val instance = instances.random(random)
            val first = RequestTrait.PromptPart("first-${random.nextInt(60)}")
            val isCrashing = nowMillis > 1_000 && random.nextInt(20) == 0
            val traits = if (isCrashing) listOf(RequestTrait.PromptPart("first-3"), crashing) else listOf(first)
            val decision = instance.admit(traits, nowMillis)
            if (!isCrashing) sound += 1
            if (decision is QuarantineDecision.Refuse) {
                if (!isCrashing) refusedSound += 1
                continue
            }
            if (isCrashing) {
                crashes += 1
                groupUpMillis = nowMillis + 3_200
                instance.onCrash(traits, nowMillis, nowMillis + 5)
                tellAll(instances, instance.blamedTraits(nowMillis + 6), nowMillis + 6)
            } else {
                val cleared = instance.onShownSound(traits, nowMillis + 150)
                instances.forEach { it.onShownSoundElsewhere(cleared, nowMillis + 151) }
            }
            if (decision is QuarantineDecision.Try) instance.endTrial(decision.traits)
        }
        assertTrue(crashes < 5, "$crashes crashes")
        assertTrue(refusedSound <= sound / 100, "$refusedSound of $sound sound requests were refused")
    }

    private fun tellAll(instances: List<CrashQuarantine>, blamed: List<BlamedTrait>, nowMillis: Long) {
        val refuted = instances.flatMap { it.onBlamedElsewhere(blamed, nowMillis).refuted }
        instances.forEach { it.onShownSoundElsewhere(refuted, nowMillis + 1) }
    }

    // Guards against blame that goes round between instances without end after the trait was cleared.
    @Test
    fun `blame that arrives after it was cleared is not taken over again`() {
        val other = CrashQuarantine(capacity = 1_000)
        other.onCrashAfterOutput(content(1), 50, 100)
        val blame = other.blamedTraits(100)
        assertEquals(blame, quarantine.onBlamedElsewhere(blame, 100).accepted)
        assertEquals(listOf<RequestTrait>(content(1)), quarantine.onShownSoundElsewhere(listOf(content(1)), 101))
        assertEquals(emptyList(), quarantine.onBlamedElsewhere(blame, 102).accepted)
        other.onCrashAfterOutput(content(1), 150, 200)
        assertEquals(1, quarantine.onBlamedElsewhere(other.blamedTraits(200), 201).accepted.size)
    }

    @Test
    fun `a request that had output at each crash is refused after three of them, and a complete answer clears it`() {
        quarantine.onCrashAfterOutput(content(1), 0, 100)
        assertIs<QuarantineDecision.Try>(quarantine.admit(listOf(content(1)), 100))
        quarantine.endTrial(listOf(content(1)))
        // The trial was sent in the millisecond of the crash.
        quarantine.onCrashAfterOutput(content(1), 100, 120)
        assertIs<QuarantineDecision.Try>(quarantine.admit(listOf(content(1)), 120))
        quarantine.endTrial(listOf(content(1)))
        quarantine.onCrashAfterOutput(content(1), 120, 140)
        assertIs<QuarantineDecision.Refuse>(quarantine.admit(listOf(content(1)), 141))
        quarantine.onShownSound(listOf(content(1)), 142)
        assertTrue(quarantine.isEmpty)
    }
}

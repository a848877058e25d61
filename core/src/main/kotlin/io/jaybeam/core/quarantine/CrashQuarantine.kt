/*
 * Decides which requests are kept from targets because requests like them have crashed targets.
 *
 * The targets of a group run in lock-step, so a crash ends the requests at all of them, and most of those are sound. Blame is
 * therefore narrow: only the requests that the crashed target had begun to answer and that had no output yet are blamed, and of
 * the parts of their prompts only those that no other request has shown to be sound. Output of a request shows that the parts of
 * its prompt are sound, until one of them is blamed again.
 *
 * Output does not show that the whole request is sound, as it may crash its target later; only a complete answer does. Of the requests
 * that had output when their target crashed, only the content is blamed, and more crashes are needed to refuse it, because most of
 * these requests are sound and their callers send them again.
 *
 * Blame may be wrong, as a target may crash for another reason in that moment. So a blamed trait is tried again, with one request
 * at a time; if that crashes its target too, requests with the trait are refused for [QUARANTINE_MILLIS]. After a long refusal, the
 * instance whose target crashed tries first, and the others one by one if they hear of no outcome. If several parts of one prompt are
 * to blame, they are told apart by requests with only one of them, and by instances that have seen output of some; a part that two
 * crashes have in common, and no other, is quarantined.
 *
 * The load for which it is made: requests that share one part of their prompt and crash every target that answers them come at any
 * instance several times a second, among sound requests that share their organisation and all their other parts.
 */
package io.jaybeam.core.quarantine

import kotlinx.serialization.Serializable
import kotlin.random.Random

/** Time for which requests with a trait are refused after its trial has crashed a target, in milliseconds. */
public const val QUARANTINE_MILLIS: Long = 600_000L

/**
 * Time before the trial of a part that alone is to blame and of which this instance has never seen output, in milliseconds. A trial
 * that crashes a target costs all requests of its group several seconds, and nothing speaks for such a part yet.
 */
public const val UNPROVEN_TRIAL_DELAY_MILLIS: Long = 60_000L

// A request that had output at each crash is refused after this many.
private const val MAX_CRASHES_AFTER_OUTPUT = 3

// Time before the trial of a request with several blamed parts; doubles with each crash.
private const val JOINT_TRIAL_DELAY_MILLIS = 10_000L

// Time by which an instance that was told of a crash tries later than the one whose target crashed, which tells it the outcome.
private const val MIN_TURN_DELAY_MILLIS = 5_000L
private const val MAX_TURN_DELAY_MILLIS = 60_000L

// Time after which no instance passes on blame that it received before the trait was cleared.
private const val ECHO_MILLIS = 5_000L

// Time in which a trial has usually ended.
private const val TRIAL_RETRY_AFTER_MILLIS = 1_000L
private const val MAX_DELAY_DOUBLINGS = 6

/** Decision on a request. */
public sealed class QuarantineDecision {
    /** No trait of the request is blamed. */
    public data object Admit : QuarantineDecision()

    /** The request is the trial of [traits]; [CrashQuarantine.endTrial] must be called when it has ended. */
    public data class Try(
        val traits: List<RequestTrait>,
    ) : QuarantineDecision()

    /** The request is kept from targets because of [trait], which may be tried again in [retryAfterMillis]. */
    public data class Refuse(
        val trait: RequestTrait,
        val retryAfterMillis: Long,
    ) : QuarantineDecision()
}

/**
 * A trait that is blamed for crashes, as instances tell each other of it.
 *
 * @property crashes number of crashes for which it is blamed, each but the first after a trial.
 * @property lastCrashAgeMillis time from the last of them to the moment of sending.
 * @property isQuarantined whether a trial of it alone crashed a target.
 * @property crashesAfterOutput the [crashes] before which the request had output.
 * @property jointParts other parts of the same prompts that may be the cause of all these crashes instead.
 */
@Serializable
public data class BlamedTrait(
    val trait: RequestTrait,
    val crashes: Int,
    val lastCrashAgeMillis: Long,
    val isQuarantined: Boolean = false,
    val jointParts: List<RequestTrait> = emptyList(),
    val crashesAfterOutput: Int = 0,
)

/**
 * What an instance makes of the blame that another one told it of.
 *
 * @property accepted traits that it did not blame before.
 * @property refuted parts of which it has seen output, unlike of others that are blamed with them.
 */
public data class BlameReview(
    val accepted: List<BlamedTrait>,
    val refuted: List<RequestTrait>,
)

/**
 * Keeps what is known of up to [capacity] traits. Thread-safe; times are monotonic milliseconds. [random] decides in which order
 * instances try a trait.
 */
public class CrashQuarantine(
    private val capacity: Int,
    private val random: Random = Random.Default,
) {
    private data class Record(
        val hasOutput: Boolean = false,
        val lastOutputMillis: Long = 0,
        val crashes: Int = 0,
        val crashesAfterOutput: Int = 0,
        val lastCrashMillis: Long = 0,
        val isQuarantined: Boolean = false,
        val jointParts: List<RequestTrait> = emptyList(),
        val isOnTrial: Boolean = false,
        val turnDelayMillis: Long = 0,
        val clearedCrashes: Int = 0,
        val clearedMillis: Long = 0,
    ) {
        val isBlamed: Boolean get() = crashes > 0
        val isProven: Boolean get() = hasOutput && !isBlamed
    }

    private val recordByTrait = LinkedHashMap<RequestTrait, Record>()
    private var blamedCount = 0

    /** Whether no trait is blamed, so that every request is admitted. */
    public val isEmpty: Boolean
        @Synchronized get() = blamedCount == 0

    /** Decides on a request with [traits] that is about to be sent to a target. */
    @Synchronized
    public fun admit(traits: Collection<RequestTrait>, nowMillis: Long): QuarantineDecision {
        val blamed = traits.filter { recordByTrait[it]?.isBlamed == true }
        if (blamed.isEmpty()) return QuarantineDecision.Admit
        refusalOf(traits, nowMillis)?.let { return it }
        blamed.forEach { trait -> update(trait) { it.copy(isOnTrial = true) } }
        return QuarantineDecision.Try(blamed)
    }

    /** Returns the refusal of a request with [traits], or null if [admit] would not refuse it; begins no trial. */
    @Synchronized
    public fun refusalOf(traits: Collection<RequestTrait>, nowMillis: Long): QuarantineDecision.Refuse? {
        val blamed = traits.mapNotNull { trait -> recordByTrait[trait]?.takeIf { it.isBlamed }?.let { trait to it } }
        val isJoint = blamed.count { (trait, _) -> trait is RequestTrait.PromptPart } > 1
        return blamed.mapNotNull { (trait, record) -> refusalOf(trait, record, isJoint, nowMillis) }.maxByOrNull { it.retryAfterMillis }
    }

    private fun refusalOf(
        trait: RequestTrait,
        record: Record,
        isJoint: Boolean,
        nowMillis: Long,
    ): QuarantineDecision.Refuse? {
        val trialMillis = record.lastCrashMillis + trialDelayMillis(trait, record, isJoint)
        return when {
            nowMillis < trialMillis -> QuarantineDecision.Refuse(trait, trialMillis - nowMillis)
            record.isOnTrial -> QuarantineDecision.Refuse(trait, TRIAL_RETRY_AFTER_MILLIS)
            else -> null
        }
    }

    /** Returns the time from the last crash to the next trial of [trait]; [isJoint] if the request has several blamed parts. */
    private fun trialDelayMillis(trait: RequestTrait, record: Record, isJoint: Boolean): Long {
        val isAloneToBlame = record.jointParts.none { recordByTrait[it]?.isBlamed == true }
        return when {
            record.isQuarantined -> QUARANTINE_MILLIS + record.turnDelayMillis
            isJoint -> JOINT_TRIAL_DELAY_MILLIS shl minOf(record.crashes - 1, MAX_DELAY_DOUBLINGS)
            trait is RequestTrait.PromptPart && isAloneToBlame && !record.hasOutput -> UNPROVEN_TRIAL_DELAY_MILLIS + record.turnDelayMillis
            else -> 0
        }
    }

    /** Ends the trial of [traits], whatever its outcome. */
    @Synchronized
    public fun endTrial(traits: Collection<RequestTrait>): Unit =
        traits.forEach { trait -> if (trait in recordByTrait) update(trait) { it.copy(isOnTrial = false) } }

    /**
     * Records that a request has shown [traits] to be sound, by output for the parts of its prompt and by a complete answer for its
     * content; returns those that are not blamed any more because of it.
     */
    @Synchronized
    public fun onShownSound(traits: Collection<RequestTrait>, nowMillis: Long): List<RequestTrait> {
        val cleared = traits.filter { recordByTrait[it]?.isBlamed == true }
        // Content is rarely repeated, so it is not kept unless it was blamed.
        val kept = traits.filter { it is RequestTrait.PromptPart || it in cleared }
        kept.forEach { trait -> update(trait) { it.shownSound(nowMillis) } }
        return cleared
    }

    private fun Record.shownSound(nowMillis: Long) =
        Record(
            hasOutput = true,
            lastOutputMillis = nowMillis,
            clearedCrashes = if (isBlamed) crashes else clearedCrashes,
            clearedMillis = if (isBlamed) nowMillis else clearedMillis,
        )

    /**
     * Records that a request with [traits], sent at [sentMillis], crashed its target before it had output; returns the traits that
     * are blamed for it.
     */
    @Synchronized
    public fun onCrash(traits: Collection<RequestTrait>, sentMillis: Long, nowMillis: Long): List<RequestTrait> {
        val parts = traits.filterIsInstance<RequestTrait.PromptPart>()
        val unprovenParts = parts.filterNot(::isProven)
        val suspectParts = unprovenParts.ifEmpty { parts }
        val suspects = suspectParts + traits.filterIsInstance<RequestTrait.Content>()
        return suspects.filter { trait ->
            val record = recordByTrait[trait] ?: Record()
            // A request that was sent before the last crash of its trait was no trial of it.
            val isNews = !record.isBlamed || sentMillis > record.lastCrashMillis
            if (isNews) update(trait) { it.blamed(if (trait in suspectParts) suspectParts - trait else emptyList(), nowMillis) }
            isNews
        }
    }

    /**
     * Records that a request with [content], sent at [sentMillis], crashed its target after it had output; returns whether it is
     * blamed for it.
     */
    @Synchronized
    public fun onCrashAfterOutput(content: RequestTrait, sentMillis: Long, nowMillis: Long): Boolean {
        val record = recordByTrait[content] ?: Record()
        // A resumed stream may be sent in the same millisecond.
        if (record.isBlamed && sentMillis < record.lastCrashMillis) return false
        update(content) {
            it.copy(
                crashes = it.crashes + 1,
                crashesAfterOutput = it.crashesAfterOutput + 1,
                lastCrashMillis = nowMillis,
                isQuarantined = it.isQuarantined || it.crashes + 1 >= MAX_CRASHES_AFTER_OUTPUT,
                turnDelayMillis = 0,
            )
        }
        return true
    }

    private fun Record.blamed(otherParts: List<RequestTrait>, nowMillis: Long): Record {
        // What explains all crashes of this trait must have been there at each of them.
        val commonParts = if (isBlamed) jointParts.intersect(otherParts.toSet()).toList() else otherParts
        val hasCrashedBeforeOutput = crashes > crashesAfterOutput
        return copy(
            crashes = crashes + 1,
            lastCrashMillis = nowMillis,
            isQuarantined = (hasCrashedBeforeOutput && commonParts.isEmpty()) || (crashesAfterOutput > 0 && isQuarantined),
            jointParts = commonParts,
            turnDelayMillis = 0,
        )
    }

    /** Returns the blamed traits, for other instances. */
    @Synchronized
    public fun blamedTraits(nowMillis: Long): List<BlamedTrait> =
        recordByTrait.filterValues { it.isBlamed }.map { (trait, record) ->
            BlamedTrait(
                trait,
                record.crashes,
                nowMillis - record.lastCrashMillis,
                record.isQuarantined,
                record.jointParts,
                record.crashesAfterOutput,
            )
        }

    /** Takes over what another instance has [blamed], as far as this one does not know better. */
    @Synchronized
    public fun onBlamedElsewhere(blamed: Collection<BlamedTrait>, nowMillis: Long): BlameReview {
        val refuted = blamed.filter { other -> isProven(other.trait) && other.jointParts.any { !isProven(it) } }
        val accepted = (blamed - refuted.toSet()).filter { isNews(it, nowMillis) }
        accepted.forEach { other ->
            update(other.trait) {
                it.copy(
                    crashes = other.crashes,
                    crashesAfterOutput = other.crashesAfterOutput,
                    lastCrashMillis = nowMillis - other.lastCrashAgeMillis,
                    isQuarantined = other.isQuarantined,
                    jointParts = other.jointParts,
                    turnDelayMillis = random.nextLong(MIN_TURN_DELAY_MILLIS, MAX_TURN_DELAY_MILLIS),
                )
            }
        }
        return BlameReview(accepted, refuted.map { it.trait })
    }

    private fun isProven(trait: RequestTrait): Boolean = recordByTrait[trait]?.isProven == true

    private fun isNews(other: BlamedTrait, nowMillis: Long): Boolean {
        val record = recordByTrait[other.trait] ?: return true
        // Blame that was on its way when the trait was cleared would go round between instances for ever.
        val isEcho = other.crashes <= record.clearedCrashes && nowMillis - record.clearedMillis < ECHO_MILLIS
        if (isEcho) return false
        val hasOutputSince = record.hasOutput && record.lastOutputMillis >= nowMillis - other.lastCrashAgeMillis
        return other.crashes > record.crashes && !hasOutputSince
    }

    /** Clears [traits], which another instance has seen to be sound; returns those that were blamed. */
    @Synchronized
    public fun onShownSoundElsewhere(traits: Collection<RequestTrait>, nowMillis: Long): List<RequestTrait> =
        onShownSound(traits.filter { recordByTrait[it]?.isBlamed == true }, nowMillis)

    private fun update(trait: RequestTrait, change: (Record) -> Record) {
        val previous = recordByTrait.remove(trait)
        val updated = change(previous ?: Record())
        recordByTrait[trait] = updated
        blamedCount += (if (updated.isBlamed) 1 else 0) - (if (previous?.isBlamed == true) 1 else 0)
        while (recordByTrait.size > capacity) forgetEldest()
    }

    /**
     * Prefers traits that are not blamed, so that a flood of new traits does not end a quarantine. Half of the records are kept for
     * them all the same, as the content of each request that was in flight at a crash is blamed, and most never comes again.
     */
    private fun forgetEldest() {
        val records = recordByTrait.entries
        val eldest =
            if (blamedCount > capacity / 2) {
                records.firstOrNull { it.value.isBlamed && it.key is RequestTrait.Content } ?: records.first { it.value.isBlamed }
            } else {
                records.first { !it.value.isBlamed }
            }
        if (eldest.value.isBlamed) blamedCount -= 1
        recordByTrait.remove(eldest.key)
    }
}

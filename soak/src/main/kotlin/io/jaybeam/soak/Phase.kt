/*
 * The schedule of a run: phases in which targets fail in other ways and entries are killed more or less often.
 */
package io.jaybeam.soak

import kotlin.random.Random

/** How a target answers a request. */
internal enum class Behaviour {
    SOUND,

    /** Sound, in two parts with a pause between them. */
    SLOW,
    ERROR,
    NOT_RUN,
    ERROR_WITH_TWO_STATUS_LINES,
    SUCCESS_WITH_TWO_STATUS_LINES,
    SECOND_ANSWER_AT_ONCE,
    SECOND_ANSWER_LATE,
    HEAD_CUT,
    BODY_CUT,

    /** The rest of the body is the beginning of a second answer. */
    BODY_JOINED,
    HANG,
    CLOSE,
    RESET,
}

/** What is done to entries. */
internal enum class Disruption {
    /** SIGKILL to one, which is started again. */
    KILL,

    /** SIGKILL to all, which are started again. */
    KILL_ALL,

    /** SIGTERM to one, which is started again when it has ended. */
    STOP,

    /** SIGSTOP to one, and SIGCONT later. */
    PAUSE,
}

/** A part of a run. The behaviour of a target is drawn from [behaviours], and a [disruption] follows every [intervalMillis]. */
internal class Phase(
    val name: String,
    val disruption: Disruption,
    val intervalMillis: Long,
    val behaviours: List<Behaviour>,
)

/** The phases of the run with [seed], of [PHASE_SECONDS] each, in the order of play. */
internal fun phasesOf(seed: Long, seconds: Int): List<Phase> {
    val random = Random(seed)
    val signalRandom = Random(seed.inv())
    val kinds = mutableListOf<(Random) -> Phase>()
    while (kinds.size * PHASE_SECONDS < seconds) {
        kinds += listOf(::stutteringPhase, ::failingPhase, ::variedPhase).shuffled(random)
        kinds += listOf(::stoppingPhase, ::pausingPhase, ::fallingPhase).shuffled(signalRandom)
    }
    return kinds.take((seconds + PHASE_SECONDS - 1) / PHASE_SECONDS).map { it(random) }
}

internal const val PHASE_SECONDS = 15

private const val SLOW_KILLS_MILLIS = 1_500L
private const val FAST_KILLS_MILLIS = 150L
private const val FALLS_MILLIS = 4_000L

/** Targets that begin an answer twice, or send one more than was asked for. */
private fun stutteringPhase(random: Random): Phase {
    val faults = Behaviour.entries.filter { "TWO_STATUS" in it.name || "SECOND" in it.name } + Behaviour.HEAD_CUT
    return Phase(
        "stuttering",
        Disruption.KILL,
        SLOW_KILLS_MILLIS + random.nextLong(SLOW_KILLS_MILLIS),
        List(faults.size) { Behaviour.SOUND } + faults,
    )
}

/** Targets that answer with errors while the entries are killed one right after the other. */
private fun failingPhase(random: Random): Phase {
    val errors = List(FAILING_SHARE) { Behaviour.ERROR }
    return Phase(
        "failing",
        Disruption.KILL,
        FAST_KILLS_MILLIS + random.nextLong(FAST_KILLS_MILLIS),
        errors + Behaviour.SOUND + Behaviour.NOT_RUN,
    )
}

/** Each fault, among sound answers. */
private fun variedPhase(random: Random): Phase =
    Phase(
        "varied",
        Disruption.KILL,
        SLOW_KILLS_MILLIS + random.nextLong(SLOW_KILLS_MILLIS),
        mostlySound,
    )

/** Entries that are stopped while they serve, most of what they serve being sound. */
private fun stoppingPhase(random: Random): Phase =
    Phase("stopping", Disruption.STOP, SLOW_KILLS_MILLIS + random.nextLong(SLOW_KILLS_MILLIS), longAnswers)

private fun pausingPhase(random: Random): Phase =
    Phase("pausing", Disruption.PAUSE, SLOW_KILLS_MILLIS + random.nextLong(SLOW_KILLS_MILLIS), longAnswers)

/** All entries killed at once, again and again. */
private fun fallingPhase(random: Random): Phase =
    Phase("falling", Disruption.KILL_ALL, FALLS_MILLIS + random.nextLong(FALLS_MILLIS), mostlySound)

private val mostlySound =
    (Behaviour.entries - setOf(Behaviour.SLOW, Behaviour.BODY_JOINED)).let { all ->
        List(all.size) { Behaviour.SOUND } +
            all
    }
private val longAnswers = mostlySound + Behaviour.BODY_JOINED + List(mostlySound.size) { Behaviour.SLOW }

private const val FAILING_SHARE = 18

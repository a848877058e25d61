/*
 * Keeps requests from targets if requests like them have crashed targets, and tells the other entries of such requests.
 *
 * A target has crashed if it ends a connection on which it had not ended its answer, and then refuses connections. A target that only
 * lost one answer, or that cannot be reached, still listens or does not refuse.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.quarantine.BlamedTrait
import io.jaybeam.core.quarantine.CrashQuarantine
import io.jaybeam.core.quarantine.QuarantineDecision
import io.jaybeam.core.quarantine.RequestTrait
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

// A few traits for each request in flight at the targets of a large fleet, at about 200 bytes each.
private const val MAX_TRAITS = 4_096

// A target on the same network accepts or refuses a connection within a few ms.
internal const val PROBE_TIMEOUT_MILLIS = 300

// A process that ends may accept a connection for a moment after its others have ended.
private const val PROBE_REPEAT_MILLIS = 20L
private const val MAX_TRAITS_PER_FRAME = 256

/** What a target had sent when it ended an attempt. */
internal enum class AttemptProgress {
    /** Nothing, so it may not have begun to answer. */
    NOTHING,

    /** The head of its answer, but no output. */
    HEAD,

    /** Output, but not the end of its answer. */
    OUTPUT,
}

/** Checks whether a target accepts connections. */
internal fun interface TargetProbe {
    /** Whether [target] refuses connections because no process listens at its address; blocks for the time of two attempts at most. */
    fun isRefusing(target: FleetTarget): Boolean
}

/** Opens a connection to the target and closes it again; a second time if it was accepted, as a process closes its port last. */
internal val connectionProbe =
    TargetProbe { target ->
        when (connectTo(target)) {
            ConnectResult.REFUSED -> true
            ConnectResult.UNREACHABLE -> false
            ConnectResult.ACCEPTED -> {
                Thread.sleep(PROBE_REPEAT_MILLIS)
                connectTo(target) == ConnectResult.REFUSED
            }
        }
    }

private enum class ConnectResult { ACCEPTED, REFUSED, UNREACHABLE }

private fun connectTo(target: FleetTarget): ConnectResult =
    try {
        Socket().use { it.connect(InetSocketAddress(target.host, target.port), PROBE_TIMEOUT_MILLIS) }
        ConnectResult.ACCEPTED
    } catch (e: ConnectException) {
        ConnectResult.REFUSED
    } catch (e: IOException) {
        // A timeout or an unreachable network does not show that the process has ended.
        ConnectResult.UNREACHABLE
    }

/** Crash quarantine of one entry. Thread-safe. */
internal class CrashGuard(
    private val events: EventLog,
    probe: TargetProbe = connectionProbe,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) {
    private val probe = SharedProbe(probe)
    private val quarantine = CrashQuarantine(MAX_TRAITS)
    private val listeners = CopyOnWriteArrayList<(Frame.QuarantineNews) -> Unit>()

    /** Number of traits that are blamed for crashes. */
    val blamedCount: Int get() = if (quarantine.isEmpty) 0 else quarantine.blamedTraits(nowMillis()).size

    /** Calls [listener] with what other entries have to know. */
    fun addListener(listener: (Frame.QuarantineNews) -> Unit) {
        listeners += listener
    }

    /** Returns the refusal of [call], or null if it may be sent to a target now. */
    fun refusalOf(call: DirectCall): QuarantineDecision.Refuse? =
        if (quarantine.isEmpty) null else quarantine.refusalOf(call.traits, nowMillis())

    /** Decides whether [call] may be sent to a target. */
    fun admit(call: DirectCall): QuarantineDecision =
        if (quarantine.isEmpty) QuarantineDecision.Admit else quarantine.admit(call.traits, nowMillis())

    /** Ends an attempt that was admitted by [decision]. */
    fun endAttempt(decision: QuarantineDecision) {
        if (decision is QuarantineDecision.Try) quarantine.endTrial(decision.traits)
    }

    /** Records output of [call], the first of an attempt: its prompt has not crashed the target. */
    fun onOutput(call: DirectCall) = clear(call.promptParts, "output of request ${call.caller.requestId}")

    /** Records that a target has answered [call] completely. */
    fun onAnswered(call: DirectCall) {
        if (!quarantine.isEmpty) clear(listOf(call.content), "answer to request ${call.caller.requestId}")
    }

    private fun clear(traits: List<RequestTrait>, source: String) {
        val cleared = quarantine.onShownSound(traits, nowMillis())
        if (cleared.isEmpty()) return
        logCleared(cleared, source)
        publish(Frame.QuarantineNews(emptyList(), cleared))
    }

    /** Records that [target] cut an attempt of [call], sent at [sentMillis], before the end of its answer; checks whether it crashed. */
    fun onAttemptLost(
        call: DirectCall,
        target: FleetTarget,
        progress: AttemptProgress,
        sentMillis: Long,
    ) {
        if (!probe.isRefusing(target)) return
        val now = nowMillis()
        val blamed =
            when (progress) {
                AttemptProgress.HEAD -> quarantine.onCrash(call.traits, sentMillis, now)
                // Most requests that a crashed target had not begun to answer are sound, but a repeated one may be the cause.
                AttemptProgress.NOTHING -> quarantine.onCrash(listOf(call.content), sentMillis, now)
                AttemptProgress.OUTPUT -> listOf(call.content).filter { quarantine.onCrashAfterOutput(it, sentMillis, now) }
            }.toSet()
        if (blamed.isEmpty()) return
        val news = quarantine.blamedTraits(now).filter { it.trait in blamed }
        logBlamed(news, "crash of ${target.id} by request ${call.caller.requestId}")
        publish(Frame.QuarantineNews(news, emptyList()))
    }

    /** Takes over [news] of another entry, and publishes what of it is refuted by output that this entry has seen; returns what was new. */
    fun onNews(news: Frame.QuarantineNews, peer: String): Frame.QuarantineNews? {
        val now = nowMillis()
        val review = quarantine.onBlamedElsewhere(news.blamed.take(MAX_TRAITS_PER_FRAME), now)
        val cleared = quarantine.onShownSoundElsewhere(news.cleared.take(MAX_TRAITS_PER_FRAME), now)
        logBlamed(review.accepted, "peer $peer")
        logCleared(cleared, "peer $peer")
        if (review.refuted.isNotEmpty()) publish(Frame.QuarantineNews(emptyList(), review.refuted))
        return if (review.accepted.isEmpty() && cleared.isEmpty()) null else Frame.QuarantineNews(review.accepted, cleared)
    }

    /**
     * Returns the traits that are blamed now, for an entry that has just connected; null if there is none. If there are too many, the
     * content of requests that were in flight at a crash is left out first.
     */
    fun currentNews(): Frame.QuarantineNews? =
        quarantine
            .blamedTraits(nowMillis())
            .sortedBy { it.trait is RequestTrait.PromptPart || it.isQuarantined }
            .takeLast(MAX_TRAITS_PER_FRAME)
            .takeIf { it.isNotEmpty() }
            ?.let { Frame.QuarantineNews(it, emptyList()) }

    private fun publish(news: Frame.QuarantineNews) = listeners.forEach { it(news) }

    private fun logBlamed(blamed: List<BlamedTrait>, source: String) =
        blamed.forEach {
            events.write(
                LogEvent.TRAIT_BLAMED,
                LogField("trait", "${it.trait}"),
                LogField("crashes", "${it.crashes}"),
                LogField("isQuarantined", "${it.isQuarantined}"),
                LogField("jointParts", it.jointParts.joinToString(",")),
                LogField("source", source),
            )
        }

    private fun logCleared(cleared: List<RequestTrait>, source: String) =
        cleared.forEach { events.write(LogEvent.TRAIT_CLEARED, LogField("trait", "$it"), LogField("source", source)) }
}

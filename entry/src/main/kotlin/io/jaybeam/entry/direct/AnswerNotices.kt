/*
 * Records what targets state in their answers about the work that they take, and tells other entries of targets that leave.
 *
 * Another entry takes such news as a reason to read the store soon: only the store and the target itself withdraw a target.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.TargetNotices
import io.jaybeam.platform.TargetAnswer
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import java.util.concurrent.CopyOnWriteArrayList

/** Records the answers of targets in [notices]. Thread-safe. */
internal class AnswerNotices(
    private val notices: TargetNotices,
    private val cache: FleetCache,
    private val events: EventLog,
) {
    private val listeners = CopyOnWriteArrayList<(Frame.LeavingTargets) -> Unit>()

    /** Calls [listener] with what other entries have to know. */
    fun addListener(listener: (Frame.LeavingTargets) -> Unit) {
        listeners += listener
    }

    /** Records what [answer] of [target] to [call] states. */
    fun onAnswer(call: DirectCall, target: FleetTarget, answer: TargetAnswer) {
        if (answer.isLeaving && notices.onLeaving(target)) onLeaving(call, target)
        val retryAfter = answer.retryAfter ?: return
        if (!notices.onPause(target, retryAfter.delayMillis) && retryAfter.fault == null) return
        events.write(
            LogEvent.TARGET_PAUSED,
            LogField("target", target.id),
            LogField("request", call.caller.requestId.orEmpty()),
            LogField("millis", "${retryAfter.delayMillis}"),
            LogField("fault", retryAfter.fault.orEmpty()),
        )
    }

    /** Reads the store soon if [news] of another entry names a target that is in use here. */
    fun onNews(news: Frame.LeavingTargets) {
        val targets = cache.snapshot.targets.byId
        val isInUse = news.targetIds.any { id -> targets[id]?.let { !it.isDraining && !notices.isLeaving(it) } == true }
        if (isInUse) cache.requestTargetsRead()
    }

    private fun onLeaving(call: DirectCall, target: FleetTarget) {
        events.write(
            LogEvent.TARGET_LEAVING,
            LogField("target", target.id),
            LogField("startedAt", "${target.startedAtEpochMillis}"),
            LogField("request", call.caller.requestId.orEmpty()),
        )
        cache.requestTargetsRead()
        listeners.forEach { it(Frame.LeavingTargets(listOf(target.id))) }
    }
}

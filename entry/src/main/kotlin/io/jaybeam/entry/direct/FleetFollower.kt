/*
 * Follows the operator's records and the targets' notices in the platform's store, a thread for each. Entries tell one
 * another what they read, so an entry reads the targets itself only when no other has done so for a while.
 */
package io.jaybeam.entry.direct

import arrow.core.Either
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import kotlin.concurrent.thread
import kotlin.random.Random

// A leaving target is known well within the two seconds that it goes on serving.
private const val TARGETS_EVERY_MILLIS = 600L

// Spreads the entries, so that mostly one of them reads.
private const val TARGETS_SPREAD_MILLIS = 200L
private const val TARGETS_CHECK_MILLIS = 50L

// A read that waits costs one call however long it waits, but a connection that has gone silent is noticed only at its
// end, and a change must be in force two seconds after it.
private const val OPERATOR_WAIT_MILLIS = 2_000L
private const val RETRY_MILLIS = 250L

/** Keeps [knowledge] up to date from [store]. */
internal class FleetFollower(
    private val store: FleetStore,
    private val knowledge: FleetKnowledge,
    private val events: EventLog,
) {
    fun start() {
        thread(name = "follow-operator", isDaemon = true) { Duty("operator", ::readOperator).run() }
        thread(name = "follow-targets", isDaemon = true) { Duty("targets") { mustReadAll, _ -> readTargets(mustReadAll) }.run() }
    }

    private fun readOperator(mustReadAll: Boolean, isLost: Boolean): Either<StoreFault, Unit> {
        val from = if (mustReadAll) UNREAD else knowledge.view.operatorPosition
        // A call that begins while the store is away gets no answer even after its return, so it must end soon.
        val waitMillis = if (isLost) 0 else OPERATOR_WAIT_MILLIS
        val page = if (from == UNREAD) store.readLatestOperatorUpdates() else store.readOperatorUpdatesFrom(from, waitMillis)
        return page.map { knowledge.onOperatorPage(from, it) }
    }

    private fun readTargets(mustReadAll: Boolean): Either<StoreFault, Unit> {
        awaitTargetsDue()
        val from = if (mustReadAll) UNREAD else knowledge.view.targetsPosition
        val page = if (from == UNREAD) store.readLatestTargets() else store.readTargetsFrom(from)
        return page.map { knowledge.onTargetsPage(from, it) }
    }

    private fun awaitTargetsDue() {
        val dueMillis = TARGETS_EVERY_MILLIS + Random.nextLong(TARGETS_SPREAD_MILLIS)
        while (knowledge.view.targetsPosition != UNREAD) {
            val ageMillis = (System.nanoTime() - knowledge.view.targetsReadAtNanos) / NANOS_PER_MILLI
            if (ageMillis >= dueMillis) return
            Thread.sleep(minOf(TARGETS_CHECK_MILLIS, dueMillis - ageMillis))
        }
    }

    /** Reads for ever; logs when the store is lost and regained. */
    private inner class Duty(
        private val name: String,
        private val read: (mustReadAll: Boolean, isLost: Boolean) -> Either<StoreFault, Unit>,
    ) {
        private var isLost = false
        private var mustReadAll = false

        fun run() {
            while (true) read(mustReadAll, isLost).fold(::failed) { succeeded() }
        }

        private fun failed(fault: StoreFault) {
            mustReadAll = mustReadAll || fault is StoreFault.Expired
            if (!isLost) events.write(LogEvent.STORE_LOST, LogField("follower", name), LogField("detail", fault.detail))
            isLost = true
            Thread.sleep(RETRY_MILLIS)
        }

        private fun succeeded() {
            if (isLost) events.write(LogEvent.STORE_REGAINED, LogField("follower", name))
            isLost = false
            mustReadAll = false
        }
    }
}

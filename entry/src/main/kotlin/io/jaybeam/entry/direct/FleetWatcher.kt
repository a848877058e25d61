/*
 * Reads the operator's updates and the targets' updates from the platform's store, with one thread for each. Entries exchange
 * what they read, so an entry reads the targets only if no other entry has done so recently.
 */
package io.jaybeam.entry.direct

import arrow.core.Either
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.runtime.repeatStep
import kotlin.concurrent.thread
import kotlin.random.Random

// A draining target serves for another two seconds, so its state must be read well within that time.
private const val TARGETS_READ_INTERVAL_MILLIS = 600L

// Spreads the reads of the entries, so that usually only one of them reads.
private const val TARGETS_READ_JITTER_MILLIS = 200L
private const val TARGETS_AGE_CHECK_INTERVAL_MILLIS = 50L

// Entries that learn of the same leaving target read the store at different times, so that usually only the first one reads.
private const val REQUESTED_READ_JITTER_MILLIS = 200L

// A long poll costs one call regardless of its length. However, a dead connection is detected only at the end of the poll,
// and a change must be in force within two seconds.
private const val OPERATOR_LONG_POLL_MILLIS = 2_000L
private const val RETRY_DELAY_MILLIS = 250L

/** Updates [cache] from [store]. */
internal class FleetWatcher(
    private val store: FleetStore,
    private val cache: FleetCache,
    private val events: EventLog,
) {
    fun start() {
        thread(name = "follow-operator", isDaemon = true) { ReadLoop("operator", ::readOperator).run() }
        thread(name = "follow-targets", isDaemon = true) { ReadLoop("targets") { mustReadAll, _ -> readTargets(mustReadAll) }.run() }
    }

    private fun readOperator(mustReadAll: Boolean, isStoreLost: Boolean): Either<StoreFault, Unit> {
        val from = if (mustReadAll) UNREAD else cache.snapshot.operatorPosition
        // A call that starts during an outage of the store gets no answer even after the outage, so it must time out soon.
        val waitMillis = if (isStoreLost) 0 else OPERATOR_LONG_POLL_MILLIS
        val page = if (from == UNREAD) store.readLatestOperatorUpdates() else store.readOperatorUpdatesFrom(from, waitMillis)
        return page.map { cache.onOperatorPage(from, it) }
    }

    private fun readTargets(mustReadAll: Boolean): Either<StoreFault, Unit> {
        awaitTargetsReadTime()
        val from = if (mustReadAll) UNREAD else cache.snapshot.targetsPosition
        val page = if (from == UNREAD) store.readLatestTargets() else store.readTargetsFrom(from)
        return page.map { cache.onTargetsPage(from, it) }
    }

    private fun awaitTargetsReadTime() {
        val maxAgeMillis = TARGETS_READ_INTERVAL_MILLIS + Random.nextLong(TARGETS_READ_JITTER_MILLIS)
        val requestedReadDelayMillis = Random.nextLong(REQUESTED_READ_JITTER_MILLIS)
        while (cache.snapshot.targetsPosition != UNREAD) {
            cache.endRetention()
            val ageMillis = (System.nanoTime() - cache.snapshot.targetsReadAtNanos) / NANOS_PER_MILLI
            if (ageMillis >= maxAgeMillis) return
            if ((cache.requestedReadAgeMillis() ?: -1) >= requestedReadDelayMillis) return
            Thread.sleep(minOf(TARGETS_AGE_CHECK_INTERVAL_MILLIS, maxAgeMillis - ageMillis))
        }
    }

    /** Loop that calls [read] forever, and logs when the store stops answering and when it answers again. */
    private inner class ReadLoop(
        private val name: String,
        private val read: (mustReadAll: Boolean, isStoreLost: Boolean) -> Either<StoreFault, Unit>,
    ) {
        private var isStoreLost = false
        private var mustReadAll = false

        fun run() = repeatStep("follow-$name", events, step = ::readOnce)

        private fun readOnce() {
            val readsAll = mustReadAll
            // In force if the read throws: the latest records may lack the one that causes it.
            mustReadAll = true
            read(readsAll, isStoreLost).fold({ onFailure(it, readsAll) }) { onSuccess() }
        }

        private fun onFailure(fault: StoreFault, readsAll: Boolean) {
            mustReadAll = readsAll || fault is StoreFault.Expired
            if (!isStoreLost) events.write(LogEvent.STORE_LOST, LogField("follower", name), LogField("detail", fault.detail))
            isStoreLost = true
            // The latest records can be read at once, unless that is what failed.
            if (readsAll || fault !is StoreFault.Expired) Thread.sleep(RETRY_DELAY_MILLIS)
        }

        private fun onSuccess() {
            if (isStoreLost) events.write(LogEvent.STORE_REGAINED, LogField("follower", name))
            isStoreLost = false
            mustReadAll = false
        }
    }
}

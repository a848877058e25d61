package io.jaybeam.entry.direct

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.fleet.CallerLimits
import io.jaybeam.core.fleet.CoordinatorTerm
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetStore
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.runtime.observe.EventLog
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val CALL_TIMEOUT_MILLIS = 900L

// Time within which a new configuration must be in force.
private const val MAX_CONFIG_DELAY_MILLIS = 2_000L

/** A store whose reads of the targets throw [failure] until it is null. */
private class ThrowingStore(
    private val store: FleetStore,
) : FleetStore by store {
    @Volatile
    var failure: Throwable? = null

    override fun readTargetsFrom(position: Long) = failure?.let { throw it } ?: store.readTargetsFrom(position + 1)

    override fun readLatestTargets() = failure?.let { throw it } ?: store.readLatestTargets()
}

/** A store that can stop answering. A call that starts during an outage gets no answer even after it, and times out. */
private class UnresponsiveStore : FleetStore {
    @Volatile
    var isUnresponsive = false

    @Volatile
    var version = 1L

    private fun config() = FleetConfig(version, emptyList(), emptyList(), emptyList(), CallerLimits(1, 1, 1, 1))

    private fun <T> answer(waitMillis: Long = 0, result: () -> LogPage<T>): Either<StoreFault, LogPage<T>> {
        if (isUnresponsive) {
            Thread.sleep(waitMillis + CALL_TIMEOUT_MILLIS)
            return StoreFault.Unreachable("no answer").left()
        }
        return result().right()
    }

    override fun readLatestTargets() = answer { LogPage(emptyList<TargetUpdate>(), 1, emptyList()) }

    override fun readTargetsFrom(position: Long) = answer { LogPage(emptyList<TargetUpdate>(), position, emptyList()) }

    override fun readLatestOperatorUpdates() = answer { LogPage(listOf(OperatorUpdate.Published(config())), version, emptyList()) }

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>> {
        val deadlineNanos = System.nanoTime() + waitMillis * NANOS_PER_MILLI
        while (!isUnresponsive && version <= position && System.nanoTime() < deadlineNanos) Thread.sleep(5)
        val remainingMillis = maxOf((deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI, 0)
        return answer(remainingMillis) {
            LogPage(if (version > position) listOf(OperatorUpdate.Published(config())) else emptyList(), version, emptyList())
        }
    }

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> = StoreFault.Refused("not supported by this store").left()

    override fun nextTermNumber(group: String, generation: Long): Either<StoreFault, Long> =
        StoreFault.Refused("not supported by this store").left()

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = null.right()
}

internal class FleetWatcherTest {
    @Test
    fun `a configuration published right after an outage of the store is in force within two seconds`() {
        val events = EventLog("test", Clock.System)
        val cache = FleetCache(events)
        val store = UnresponsiveStore()
        FleetWatcher(store, cache, events).start()
        await(MAX_CONFIG_DELAY_MILLIS) { cache.snapshot.configVersion == 1L }
        store.isUnresponsive = true
        Thread.sleep(OUTAGE_MILLIS)
        store.isUnresponsive = false
        store.version = 2
        await(MAX_CONFIG_DELAY_MILLIS) { cache.snapshot.configVersion == 2L }
    }

    @Test
    fun `the targets are followed again after a read that threw an error`() {
        val events = EventLog("test", Clock.System)
        val cache = FleetCache(events)
        val store = ThrowingStore(UnresponsiveStore())
        FleetWatcher(store, cache, events).start()
        for (failure in listOf(IllegalArgumentException("unexpected"), StackOverflowError(), OutOfMemoryError("test"))) {
            store.failure = failure
            Thread.sleep(MAX_CONFIG_DELAY_MILLIS)
            store.failure = null
            val readAtNanos = cache.snapshot.targetsReadAtNanos
            await(MAX_CONFIG_DELAY_MILLIS) { cache.snapshot.targetsReadAtNanos > readAtNanos }
        }
    }

    private fun await(timeoutMillis: Long, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI
        while (!condition() && System.nanoTime() < deadlineNanos) Thread.sleep(5)
        assertTrue(condition(), "not within $timeoutMillis ms")
    }

    private companion object {
        /** Longer than the long poll in progress at the start of the outage, so that further calls start during the outage. */
        const val OUTAGE_MILLIS = 6_200L
    }
}

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

private const val CALL_LIMIT_MILLIS = 900L

// The operator's bound for a new configuration.
private const val BOUND_MILLIS = 2_000L

/** A store that can fall silent. A call that begins in silence never gets an answer and fails at its limit. */
private class SilentStore : FleetStore {
    @Volatile
    var isSilent = false

    @Volatile
    var version = 1L

    private fun config() = FleetConfig(version, emptyList(), emptyList(), emptyList(), CallerLimits(1, 1, 1, 1))

    private fun <T> answer(waitMillis: Long = 0, result: () -> LogPage<T>): Either<StoreFault, LogPage<T>> {
        if (isSilent) {
            Thread.sleep(waitMillis + CALL_LIMIT_MILLIS)
            return StoreFault.Unreachable("no answer").left()
        }
        return result().right()
    }

    override fun readLatestTargets() = answer { LogPage(emptyList<TargetUpdate>(), 1, emptyList()) }

    override fun readTargetsFrom(position: Long) = answer { LogPage(emptyList<TargetUpdate>(), position, emptyList()) }

    override fun readLatestOperatorUpdates() = answer { LogPage(listOf(OperatorUpdate.Published(config())), version, emptyList()) }

    override fun readOperatorUpdatesFrom(position: Long, waitMillis: Long): Either<StoreFault, LogPage<OperatorUpdate>> {
        val until = System.nanoTime() + waitMillis * NANOS_PER_MILLI
        while (!isSilent && version <= position && System.nanoTime() < until) Thread.sleep(5)
        val leftMillis = maxOf((until - System.nanoTime()) / NANOS_PER_MILLI, 0)
        return answer(leftMillis) {
            LogPage(if (version > position) listOf(OperatorUpdate.Published(config())) else emptyList(), version, emptyList())
        }
    }

    override fun joinCandidates(
        group: String,
        address: HostPort,
        generation: Long,
        lifetimeMillis: Long,
    ): Either<StoreFault, CoordinatorTerm> = StoreFault.Refused("not asked here").left()

    override fun coordinator(group: String): Either<StoreFault, HostPort?> = null.right()
}

internal class FleetFollowerTest {
    @Test
    fun `a configuration that is published right after the store was silent is in force within the bound`() {
        val events = EventLog("test", Clock.System)
        val knowledge = FleetKnowledge(events)
        val store = SilentStore()
        FleetFollower(store, knowledge, events).start()
        await(BOUND_MILLIS) { knowledge.view.configVersion == 1L }
        store.isSilent = true
        Thread.sleep(SILENCE_MILLIS)
        store.isSilent = false
        store.version = 2
        await(BOUND_MILLIS) { knowledge.view.configVersion == 2L }
    }

    private fun await(limitMillis: Long, isThere: () -> Boolean) {
        val until = System.nanoTime() + limitMillis * NANOS_PER_MILLI
        while (!isThere() && System.nanoTime() < until) Thread.sleep(5)
        assertTrue(isThere(), "not within $limitMillis ms")
    }

    private companion object {
        /** Longer than the long poll that was under way, so that calls begin in the silence. */
        const val SILENCE_MILLIS = 6_200L
    }
}

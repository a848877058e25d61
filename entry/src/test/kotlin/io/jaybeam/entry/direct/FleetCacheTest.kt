package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.CallerLimits
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.core.fleet.logPosition
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.wire.Frame
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Clock

internal class FleetCacheTest {
    private var nowNanos = 0L
    private val cache = newCache()
    private val peerCache = newCache()

    @Test
    fun `a configuration older than the current one is ignored from store and peer`() {
        cache.onOperatorPage(UNREAD, published(9, position = 4))
        cache.onOperatorPage(UNREAD, published(7, position = 5))
        cache.onPeerState(Frame.FleetState(config(8), emptyList(), 6, null, UNREAD))
        assertEquals(9, cache.snapshot.configVersion)
    }

    @Test
    fun `an entry that the store refuses gets the complete state from a peer`() {
        peerCache.onOperatorPage(UNREAD, published(9, position = 4))
        peerCache.onOperatorPage(4, LogPage(listOf(OperatorUpdate.DataCentreChanged("north", isOutOfService = true)), 5, emptyList()))
        peerCache.onTargetsPage(UNREAD, announced(position = 12, "a", "b"))
        val request = assertNotNull(cache.requestFor(newsOf(peerCache)))
        cache.onPeerState(peerCache.stateFor(request))
        assertEquals(9, cache.snapshot.configVersion)
        assertEquals(setOf("north"), cache.snapshot.dataCentresOut)
        assertEquals(setOf("a", "b"), cache.snapshot.targets.byId.keys)
        assertNull(cache.requestFor(newsOf(peerCache)))
    }

    @Test
    fun `a page older than the state received from a peer changes nothing`() {
        cache.onTargetsPage(UNREAD, announced(position = 12, "a"))
        cache.onPeerState(Frame.FleetState(null, emptyList(), UNREAD, listOf(target("b")), 14))
        cache.onTargetsPage(12, LogPage(listOf(TargetUpdate.Announced(target("c"))), 13, emptyList()))
        assertEquals(setOf("b"), cache.snapshot.targets.byId.keys)
        assertEquals(14, cache.snapshot.targetsPosition)
    }

    @Test
    fun `an entry that has restarted uses no target and no configuration again that left before its start`() {
        // The peer was cut off from the store before target b left and version 9 was published.
        peerCache.onOperatorPage(UNREAD, published(8, position = 4))
        peerCache.onTargetsPage(UNREAD, announced(position = 12, "a", "b"))
        val restarted = newCache()
        val request = assertNotNull(restarted.requestFor(newsOf(peerCache)))
        restarted.onTargetsPage(UNREAD, announced(position = 14, "a"))
        restarted.onOperatorPage(UNREAD, published(9, position = 6))
        restarted.onPeerState(peerCache.stateFor(request))
        assertEquals(setOf("a"), restarted.snapshot.targets.byId.keys)
        assertEquals(9, restarted.snapshot.configVersion)
        val other = newCache()
        other.onPeerState(peerCache.stateFor(request))
        other.onTargetsPage(UNREAD, announced(position = 14, "a"))
        other.onOperatorPage(UNREAD, published(9, position = 6))
        assertEquals(setOf("a"), other.snapshot.targets.byId.keys)
        assertEquals(9, other.snapshot.configVersion)
    }

    @Test
    fun `a peer that read the same position renews the age of the targets`() {
        cache.onTargetsPage(UNREAD, announced(position = 12, "a"))
        nowNanos = 900 * NANOS_PER_MILLI
        cache.requestFor(Frame.FleetNews(UNREAD, UNREAD, 12, 100))
        assertEquals(800 * NANOS_PER_MILLI, cache.snapshot.targetsReadAtNanos)
        cache.requestFor(Frame.FleetNews(UNREAD, UNREAD, 11, 0))
        assertEquals(800 * NANOS_PER_MILLI, cache.snapshot.targetsReadAtNanos)
    }

    @Test
    fun `the age that a peer states never moves the last read into the future`() {
        // Entries wait until the last read is old enough, so they would read no targets until then.
        cache.onTargetsPage(UNREAD, announced(position = 12, "a"))
        nowNanos = 900 * NANOS_PER_MILLI
        listOf(-1, -60_000, Long.MIN_VALUE, Long.MAX_VALUE, Long.MAX_VALUE / NANOS_PER_MILLI + 1).forEach { ageMillis ->
            cache.requestFor(Frame.FleetNews(UNREAD, UNREAD, 12, ageMillis))
            assertEquals(0, cache.snapshot.targetsReadAtNanos, "$ageMillis ms")
        }
    }

    @Test
    fun `a read of all targets replaces the previous targets`() {
        cache.onTargetsPage(UNREAD, announced(position = 12, "a", "b"))
        cache.onTargetsPage(UNREAD, announced(position = 20, "b"))
        assertEquals(setOf("b"), cache.snapshot.targets.byId.keys)
    }

    @Test
    fun `an announcement that changes only its position does not prolong a cold start`() {
        val cold = target("a").copy(remainingColdStartMillis = 1_000, announcedPosition = 11)
        cache.onTargetsPage(UNREAD, LogPage(listOf(TargetUpdate.Announced(cold)), 12, emptyList()))
        nowNanos = 600 * NANOS_PER_MILLI
        cache.onTargetsPage(12, LogPage(listOf(TargetUpdate.Announced(cold.copy(announcedPosition = 12))), 13, emptyList()))
        assertEquals(
            12,
            cache.snapshot.targets.byId["a"]
                ?.announcedPosition,
        )
        assertEquals(1_000 * NANOS_PER_MILLI, cache.snapshot.coldStartEndNanosById["a"])
    }

    @Test
    fun `an unusable target of a peer costs only itself`() {
        val unusable =
            listOf(target("\u0001"), target("b").copy(port = 65_536), target("c").copy(remainingColdStartMillis = Long.MAX_VALUE))
        cache.onPeerState(Frame.FleetState(null, emptyList(), UNREAD, unusable + target("a"), 14))
        assertEquals(setOf("a"), cache.snapshot.targets.byId.keys)
        assertEquals(14, cache.snapshot.targetsPosition)
    }

    @Test
    fun `of several configurations in a page only the newest comes into force`() {
        val updates = listOf(8L, 10L, 9L).map { OperatorUpdate.Published(config(it)) }
        cache.onOperatorPage(UNREAD, LogPage(updates, 5, emptyList()))
        assertEquals(10, cache.snapshot.configVersion)
        assertEquals(5, cache.snapshot.operatorPosition)
    }

    @Test
    fun `a peer that has an older configuration than another one changes nothing`() {
        cache.onPeerState(Frame.FleetState(config(9), emptyList(), 6, null, UNREAD))
        cache.onPeerState(Frame.FleetState(config(8), listOf("north"), 5, null, UNREAD))
        assertEquals(9, cache.snapshot.configVersion)
        assertEquals(emptySet(), cache.snapshot.dataCentresOut)
    }

    @Test
    fun `targets that come without the configuration leave the operator's log to be read`() {
        peerCache.onOperatorPage(UNREAD, published(9, position = 4))
        peerCache.onTargetsPage(UNREAD, announced(position = 12, "a"))
        cache.onPeerState(peerCache.stateFor(Frame.FleetRequest(UNREAD, UNREAD, UNREAD, isTargetsOnly = true)))
        assertEquals(setOf("a"), cache.snapshot.targets.byId.keys)
        assertEquals(UNREAD, cache.snapshot.operatorPosition)
        assertEquals(UNREAD, cache.snapshot.configVersion)
    }

    // Guards against a data centre that is back because its own log is read later than the other one.
    @Test
    fun `data centres stay out from the moment at which either log shows that the store came back`() {
        val isOut = OperatorUpdate.DataCentreChanged("north", isOutOfService = true)
        cache.onOperatorPage(UNREAD, LogPage(listOf(isOut), logPosition(era = 0, offset = 5), emptyList()))
        cache.onTargetsPage(UNREAD, announced(logPosition(era = 0, offset = 12), "a"))
        cache.onOperatorPage(UNREAD, LogPage(emptyList(), logPosition(era = 1, offset = 3), emptyList()))
        nowNanos += 1_900 * NANOS_PER_MILLI
        cache.onTargetsPage(UNREAD, announced(logPosition(era = 2, offset = 1), "a"))
        nowNanos += 200 * NANOS_PER_MILLI
        cache.endRetention()
        assertEquals(setOf("north"), cache.snapshot.dataCentresOut)
    }

    // Guards against dropping what was written again in time and has not been read.
    @Test
    fun `what was known before a return is dropped only by a read after the time for it`() {
        val isOut = OperatorUpdate.DataCentreChanged("north", isOutOfService = true)
        cache.onOperatorPage(UNREAD, LogPage(listOf(isOut), logPosition(era = 0, offset = 5), emptyList()))
        cache.onTargetsPage(UNREAD, announced(logPosition(era = 0, offset = 12), "a", "b"))
        val operatorPosition = logPosition(era = 1, offset = 3)
        val targetsPosition = logPosition(era = 1, offset = 7)
        cache.onOperatorPage(UNREAD, LogPage(emptyList(), operatorPosition, emptyList()))
        cache.onTargetsPage(UNREAD, announced(targetsPosition, "a"))
        nowNanos += 2_100 * NANOS_PER_MILLI
        cache.endRetention()
        assertEquals(setOf("north") to setOf("a", "b"), cache.snapshot.run { dataCentresOut to targets.byId.keys })
        cache.onOperatorPage(operatorPosition, LogPage(emptyList(), operatorPosition, emptyList()))
        cache.onTargetsPage(targetsPosition, LogPage(emptyList(), targetsPosition, emptyList()))
        cache.endRetention()
        assertEquals(emptySet<String>() to setOf("a"), cache.snapshot.run { dataCentresOut to targets.byId.keys })
    }

    @Test
    fun `a target that was withdrawn after a return does not come back by the copy of the next one`() {
        cache.onTargetsPage(UNREAD, announced(logPosition(era = 0, offset = 12), "a", "b"))
        cache.onTargetsPage(UNREAD, announced(logPosition(era = 1, offset = 3), "a"))
        assertEquals(setOf("a", "b"), cache.snapshot.targets.byId.keys)
        val withdrawal = LogPage(listOf(TargetUpdate.Withdrawn("b")), logPosition(era = 1, offset = 4), emptyList())
        cache.onTargetsPage(logPosition(era = 1, offset = 3), withdrawal)
        cache.onTargetsPage(UNREAD, announced(logPosition(era = 2, offset = 1), "a", "b"))
        assertEquals(setOf("a"), cache.snapshot.targets.byId.keys)
    }

    private fun newCache() = FleetCache(EventLog("test", Clock.System)) { nowNanos }

    private fun config(version: Long) = FleetConfig(version, emptyList(), emptyList(), emptyList(), CallerLimits(1, 1, 1, 1))

    private fun published(version: Long, position: Long) = LogPage(listOf(OperatorUpdate.Published(config(version))), position, emptyList())

    private fun announced(position: Long, vararg ids: String) =
        LogPage(ids.map { TargetUpdate.Announced(target(it)) }, position, emptyList())

    private fun target(id: String) =
        FleetTarget(id, "plain", "127.0.0.1", 1, "north", 8, isDraining = false, remainingColdStartMillis = 0, startedAtEpochMillis = 0)

    private fun newsOf(cache: FleetCache) =
        cache.snapshot.let { Frame.FleetNews(it.configVersion, it.operatorPosition, it.targetsPosition, 0) }
}

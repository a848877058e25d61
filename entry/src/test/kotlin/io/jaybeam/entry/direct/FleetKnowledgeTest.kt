package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.CallerLimits
import io.jaybeam.core.fleet.FleetConfig
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.LogPage
import io.jaybeam.core.fleet.OperatorUpdate
import io.jaybeam.core.fleet.TargetUpdate
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.wire.Frame
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Clock

internal class FleetKnowledgeTest {
    private var nowNanos = 0L
    private val behind = knowledge()
    private val ahead = knowledge()

    @Test
    fun `a configuration below the one in force is not taken from store or peer`() {
        behind.onOperatorPage(UNREAD, published(9, position = 4))
        behind.onOperatorPage(UNREAD, published(7, position = 5))
        behind.onPeerState(Frame.FleetState(config(8), emptyList(), 6, null, UNREAD))
        assertEquals(9, behind.view.configVersion)
    }

    @Test
    fun `an entry that the store turns away learns all from a peer`() {
        ahead.onOperatorPage(UNREAD, published(9, position = 4))
        ahead.onOperatorPage(4, LogPage(listOf(OperatorUpdate.DataCentreChanged("north", isOutOfService = true)), 5, emptyList()))
        ahead.onTargetsPage(UNREAD, announced(position = 12, "a", "b"))
        val request = assertNotNull(behind.requestFor(newsOf(ahead)))
        behind.onPeerState(ahead.stateFor(request))
        assertEquals(9, behind.view.configVersion)
        assertEquals(setOf("north"), behind.view.dataCentresOut)
        assertEquals(setOf("a", "b"), behind.view.targets.byId.keys)
        assertNull(behind.requestFor(newsOf(ahead)))
    }

    @Test
    fun `a page that a peer has overtaken changes nothing`() {
        behind.onTargetsPage(UNREAD, announced(position = 12, "a"))
        behind.onPeerState(Frame.FleetState(null, emptyList(), UNREAD, listOf(target("b")), 14))
        behind.onTargetsPage(12, LogPage(listOf(TargetUpdate.Announced(target("c"))), 13, emptyList()))
        assertEquals(setOf("b"), behind.view.targets.byId.keys)
        assertEquals(14, behind.view.targetsPosition)
    }

    @Test
    fun `a peer that read the same position makes the targets fresh`() {
        behind.onTargetsPage(UNREAD, announced(position = 12, "a"))
        nowNanos = 900 * NANOS_PER_MILLI
        behind.requestFor(Frame.FleetNews(UNREAD, UNREAD, 12, 100))
        assertEquals(800 * NANOS_PER_MILLI, behind.view.targetsReadAtNanos)
        behind.requestFor(Frame.FleetNews(UNREAD, UNREAD, 11, 0))
        assertEquals(800 * NANOS_PER_MILLI, behind.view.targetsReadAtNanos)
    }

    @Test
    fun `all targets read anew replace those that were known`() {
        behind.onTargetsPage(UNREAD, announced(position = 12, "a", "b"))
        behind.onTargetsPage(UNREAD, announced(position = 20, "b"))
        assertEquals(setOf("b"), behind.view.targets.byId.keys)
    }

    private fun knowledge() = FleetKnowledge(EventLog("test", Clock.System)) { nowNanos }

    private fun config(version: Long) = FleetConfig(version, emptyList(), emptyList(), emptyList(), CallerLimits(1, 1, 1, 1))

    private fun published(version: Long, position: Long) = LogPage(listOf(OperatorUpdate.Published(config(version))), position, emptyList())

    private fun announced(position: Long, vararg ids: String) =
        LogPage(ids.map { TargetUpdate.Announced(target(it)) }, position, emptyList())

    private fun target(id: String) =
        FleetTarget(id, "plain", "127.0.0.1", 1, "north", 8, isDraining = false, remainingColdStartMillis = 0, startedAtEpochMillis = 0)

    private fun newsOf(knowledge: FleetKnowledge) =
        knowledge.view.let { Frame.FleetNews(it.configVersion, it.operatorPosition, it.targetsPosition, 0) }
}

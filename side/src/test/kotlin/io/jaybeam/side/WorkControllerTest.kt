package io.jaybeam.side

import io.jaybeam.core.config.ConfigState
import io.jaybeam.core.config.ServiceKind
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.settings.CommonSettings
import io.jaybeam.runtime.settings.PlatformSettings
import io.jaybeam.wire.Frame
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Clock

private const val WAIT_SECONDS = 5L
private const val QUIET_MILLIS = 100L
private const val NOWHERE = "http://127.0.0.1:9"

internal class WorkControllerTest {
    private val common = CommonSettings("model-1", "pdx", "127.0.0.1", 0, PlatformSettings(NOWHERE, NOWHERE), emptyMap())
    private val settings =
        SideSettings(common, 0, TargetSettings(NOWHERE, "chat", ServiceKind.MODEL), 600_000, 100, 10, 1_000)
    private val reports = LinkedBlockingQueue<Frame.Load>()
    private val work =
        WorkController(
            settings,
            TargetIncarnation("model-1", "first"),
            TargetClient(NOWHERE),
            Clock.System,
            EventLog("model-1", Clock.System),
        ) { if (it is Frame.Load) reports += it }

    @BeforeTest
    fun start() = work.start()

    @AfterTest
    fun stop() = work.close()

    private fun nextReport() = reports.poll(WAIT_SECONDS, TimeUnit.SECONDS)

    @Test
    fun `entries are told at once that the target begins to take work`() {
        work.tell(WorkMessage.Configured(ConfigState()))
        work.tell(WorkMessage.Health(TargetHealth("life-1")))
        assertEquals(false, nextReport()?.isDraining)
    }

    @Test
    fun `entries are told at once that the target no longer takes work`() {
        work.tell(WorkMessage.Configured(ConfigState()))
        work.tell(WorkMessage.Health(TargetHealth("life-1")))
        nextReport()
        work.tell(WorkMessage.Health(null))
        assertEquals(true, nextReport()?.isDraining)
    }

    @Test
    fun `nothing is reported out of turn while the target's standing is the same`() {
        work.tell(WorkMessage.Configured(ConfigState()))
        work.tell(WorkMessage.Health(TargetHealth("life-1")))
        nextReport()
        work.tell(WorkMessage.Health(TargetHealth("life-1")))
        assertNull(reports.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS))
    }
}

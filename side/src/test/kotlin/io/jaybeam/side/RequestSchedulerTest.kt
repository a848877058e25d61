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

private const val REPORT_TIMEOUT_SECONDS = 5L
private const val NO_REPORT_WAIT_MILLIS = 100L
private const val UNREACHABLE_URL = "http://127.0.0.1:9"

internal class RequestSchedulerTest {
    private val common = CommonSettings("model-1", "pdx", "127.0.0.1", 0, PlatformSettings(UNREACHABLE_URL, UNREACHABLE_URL), emptyMap())
    private val settings =
        SideSettings(common, 0, TargetSettings(UNREACHABLE_URL, "chat", ServiceKind.MODEL), 600_000, 100, 10, 1_000)
    private val loadReports = LinkedBlockingQueue<Frame.Load>()
    private val scheduler =
        RequestScheduler(
            settings,
            TargetIncarnation("model-1", "first"),
            TargetClient(UNREACHABLE_URL),
            Clock.System,
            EventLog("model-1", Clock.System),
        ) { if (it is Frame.Load) loadReports += it }

    @BeforeTest
    fun start() = scheduler.start()

    @AfterTest
    fun stop() = scheduler.close()

    private fun nextLoadReport() = loadReports.poll(REPORT_TIMEOUT_SECONDS, TimeUnit.SECONDS)

    @Test
    fun `a load report is sent immediately when the target starts to accept requests`() {
        scheduler.submit(SchedulerMessage.ConfigChanged(ConfigState()))
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-1")))
        assertEquals(false, nextLoadReport()?.isDraining)
    }

    @Test
    fun `a load report is sent immediately when the target stops accepting requests`() {
        scheduler.submit(SchedulerMessage.ConfigChanged(ConfigState()))
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-1")))
        nextLoadReport()
        scheduler.submit(SchedulerMessage.HealthChecked(null))
        assertEquals(true, nextLoadReport()?.isDraining)
    }

    @Test
    fun `no load report is sent outside heartbeats while the target's availability is unchanged`() {
        scheduler.submit(SchedulerMessage.ConfigChanged(ConfigState()))
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-1")))
        nextLoadReport()
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-1")))
        assertNull(loadReports.poll(NO_REPORT_WAIT_MILLIS, TimeUnit.MILLISECONDS))
    }
}

package io.jaybeam.side

import io.jaybeam.core.config.ConfigState
import io.jaybeam.core.config.ServiceKind
import io.jaybeam.core.fleet.RetryAfter
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.settings.CommonSettings
import io.jaybeam.runtime.settings.PlatformSettings
import io.jaybeam.wire.Frame
import io.jaybeam.wire.HeaderField
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val REPORT_TIMEOUT_SECONDS = 5L
private const val PAUSE_MILLIS = 600L
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
    fun `entries are told at once that the target pauses and that it takes requests again`() {
        startTarget()
        state(WorkStatement(isLeaving = false, RetryAfter(PAUSE_MILLIS)))
        assertEquals(true, nextLoadReport()?.isDraining)
        val pausedAtNanos = System.nanoTime()
        assertEquals(false, nextLoadReport()?.isDraining)
        val pausedMillis = (System.nanoTime() - pausedAtNanos) / 1_000_000
        assertTrue(pausedMillis in PAUSE_MILLIS - 100..PAUSE_MILLIS + 400, "$pausedMillis ms")
    }

    @Test
    fun `a target that leaves takes no request until another incarnation has started`() {
        startTarget()
        state(WorkStatement(isLeaving = true, retryAfter = null))
        assertEquals(true, nextLoadReport()?.isDraining)
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-1")))
        assertNull(loadReports.poll(NO_REPORT_WAIT_MILLIS, TimeUnit.MILLISECONDS))
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-2")))
        assertEquals(false, nextLoadReport()?.isDraining)
    }

    @Test
    fun `a statement of an incarnation that was replaced changes nothing`() {
        startTarget()
        scheduler.submit(SchedulerMessage.WorkStated("incarnation-0", WorkStatement(isLeaving = true, RetryAfter(PAUSE_MILLIS))))
        assertNull(loadReports.poll(NO_REPORT_WAIT_MILLIS, TimeUnit.MILLISECONDS))
    }

    @Test
    fun `a statement is read from the head of an answer`() {
        assertNull(workStatementOrNull(200, listOf(HeaderField("Retry-After", "3"))))
        assertEquals(WorkStatement(false, RetryAfter(3_000)), workStatementOrNull(503, listOf(HeaderField("retry-after", "3"))))
        assertEquals(WorkStatement(true, null), workStatementOrNull(200, listOf(HeaderField("jaybeam-leaving", "1"))))
    }

    private fun startTarget() {
        scheduler.submit(SchedulerMessage.ConfigChanged(ConfigState()))
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-1")))
        assertEquals(false, nextLoadReport()?.isDraining)
    }

    private fun state(statement: WorkStatement) = scheduler.submit(SchedulerMessage.WorkStated("incarnation-1", statement))

    @Test
    fun `no load report is sent outside heartbeats while the target's availability is unchanged`() {
        scheduler.submit(SchedulerMessage.ConfigChanged(ConfigState()))
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-1")))
        nextLoadReport()
        scheduler.submit(SchedulerMessage.HealthChecked(TargetHealth("incarnation-1")))
        assertNull(loadReports.poll(NO_REPORT_WAIT_MILLIS, TimeUnit.MILLISECONDS))
    }
}

package io.jaybeam.core.rankgroup

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TestTimeSource

internal class LeaseTest {
    private val monotonic = TestTimeSource()
    private var timeOfDay = Instant.fromEpochMilliseconds(1_700_000_000_000)
    private val lease =
        Lease(
            1.seconds,
            object : Clock {
                override fun now() = timeOfDay
            },
            monotonic,
        )

    private fun pass(duration: Duration) {
        monotonic += duration
        timeOfDay += duration
    }

    @Test
    fun `a lease is not held before it is renewed and not after it was given up`() {
        assertFalse(lease.isValid)
        lease.renew(lease.now())
        assertTrue(lease.isValid)
        lease.end()
        assertFalse(lease.isValid)
    }

    @Test
    fun `a lease counts from the moment before its renewal was requested`() {
        val start = lease.now()
        pass(400.milliseconds)
        lease.renew(start)
        pass(599.milliseconds)
        assertTrue(lease.isValid)
        pass(1.milliseconds)
        assertFalse(lease.isValid)
    }

    @Test
    fun `a process that was paused for some seconds does not hold its lease any more`() {
        lease.renew(lease.now())
        pass(4.seconds)
        assertFalse(lease.isValid)
    }

    @Test
    fun `a machine that was suspended does not hold its lease any more though its monotonic clock stood still`() {
        lease.renew(lease.now())
        timeOfDay += 4.seconds
        assertFalse(lease.isValid)
    }

    @Test
    fun `a time of day that jumps back does not lengthen the lease`() {
        lease.renew(lease.now())
        timeOfDay -= 5.seconds
        assertFalse(lease.isValid)
        lease.renew(lease.now())
        monotonic += 1.seconds
        assertFalse(lease.isValid)
    }
}

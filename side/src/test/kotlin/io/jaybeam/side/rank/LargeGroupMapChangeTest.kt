package io.jaybeam.side.rank

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

// Time from a shift of demand in which a new map has to be in use.
private const val MAX_CHANGE_MILLIS = 2_000L

// Time in which the maps follow the first demand.
private const val SETTLING_MILLIS = 4_000L
private const val CALL_TIMEOUT_MILLIS = 150L
private const val MEASURED_MILLIS = 2_000L
private const val POLL_MILLIS = 5L

/** Map changes of a group of 63 ranks, whose coordinator has a network link of 5.6 Mbit/s. */
internal class LargeGroupMapChangeTest {
    private val shape = EmulatedGroupShape(ranks = 63, sets = 8, experts = 252, slotsPerRank = 5, linkBytesPerSecond = 700_000)
    private val group = EmulatedGroup(shape)
    private val sides = EmulatedSides(group, shape)

    @AfterTest
    fun close() {
        sides.close()
        group.close()
        assertEquals(emptyList(), synchronized(group) { group.mapVersionsByPass.filter { it.size > 1 } })
    }

    @Test
    fun `map changes are not abandoned because the link of the coordinator is full`() {
        sides.start()
        Thread.sleep(SETTLING_MILLIS)
        val previousVersion = checkNotNull(group.mapVersion)
        group.firstPopularExpert = shape.ranks / 2
        val tookMillis = awaitMapNewerThan(previousVersion)
        assertTrue(tookMillis <= MAX_CHANGE_MILLIS, "no new map was in use $MAX_CHANGE_MILLIS ms after demand shifted")
    }

    @Test
    fun `reports of all ranks take less than half of the link of the coordinator`() {
        sides.start()
        Thread.sleep(SETTLING_MILLIS)
        val receivedBytes = sides.toCoordinator.totalBytes
        Thread.sleep(MEASURED_MILLIS)
        val bytesPerSecond = (sides.toCoordinator.totalBytes - receivedBytes) * 1_000 / MEASURED_MILLIS
        assertTrue(bytesPerSecond < shape.linkBytesPerSecond / 2, "$bytesPerSecond bytes per second")
    }

    @Test
    fun `sending a changed map to all ranks takes less of the link than a call has time to be answered`() {
        sides.start()
        Thread.sleep(SETTLING_MILLIS)
        val sentBytes = sides.fromCoordinator.totalBytes
        val previousVersion = checkNotNull(group.mapVersion)
        group.firstPopularExpert = shape.ranks / 2
        awaitMapNewerThan(previousVersion)
        val sendMillis = (sides.fromCoordinator.totalBytes - sentBytes) * 1_000 / shape.linkBytesPerSecond
        assertTrue(sendMillis < CALL_TIMEOUT_MILLIS, "all orders of a change took $sendMillis ms of the link")
    }

    // The first map on each link, half a second of it, was queued at once.
    @Test
    fun `calls of the coordinator do not wait long behind the first maps that it sends`() {
        sides.start()
        val settledAtNanos = System.nanoTime() + SETTLING_MILLIS * NANOS_PER_MILLI
        var longestMillis = 0L
        while (System.nanoTime() < settledAtNanos) {
            longestMillis = maxOf(longestMillis, sides.fromCoordinator.queuedMillis)
            Thread.sleep(POLL_MILLIS)
        }
        assertTrue(checkNotNull(group.mapVersion) > 0, "no map was changed")
        assertTrue(longestMillis < CALL_TIMEOUT_MILLIS / 2, "a call waited $longestMillis ms")
    }

    private fun awaitMapNewerThan(version: Long): Long {
        val startedAtNanos = System.nanoTime()
        while (true) {
            val tookMillis = (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI
            if (tookMillis > MAX_CHANGE_MILLIS || (group.mapVersion ?: 0) > version) return tookMillis
            Thread.sleep(POLL_MILLIS)
        }
    }
}

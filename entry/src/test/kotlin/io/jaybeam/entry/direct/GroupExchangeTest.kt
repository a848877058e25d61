/*
 * Entries pass news of groups on to each other, over links with varying delays.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.GroupReport
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.LOAD_TRUST_MILLIS
import io.jaybeam.core.fleet.RankLoad
import io.jaybeam.core.fleet.STATE_TRUST_MILLIS
import io.jaybeam.core.fleet.loadIntervalMillis
import io.jaybeam.core.fleet.loadSpreadMillis
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.wire.CompactGroupReport
import io.jaybeam.wire.Frame
import io.jaybeam.wire.FrameCodec
import io.jaybeam.wire.Link
import io.jaybeam.wire.compactGroupReportOf
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val SERVICE = "model"
private const val MAX_DELAY_MILLIS = 10L
private const val REPORT_INTERVAL_MILLIS = 250L
private const val DIRECT_RECEIVERS = 3

// What an entry of 700 may send for the control of the fleet; docs/CAPACITY.md.
private const val MAX_BYTES_PER_SECOND = 3_000

private fun reportOf(
    group: String,
    sequence: Long,
    isOpen: Boolean = true,
    rankCount: Int = 32,
    term: Long = 1,
): GroupReport {
    val first = 1_000 * (group.removePrefix("g").toInt() + 1)
    val ranks = List(rankCount) { RankLoad(HostPort("10.0.${it % 3}.${it % 250}", first + it), it, 5, 1, 80_000, 163_333, 1.0) }
    return GroupReport(SERVICE, group, 1, term, sequence, isOpen, rankCount, 50, ranks)
}

/** Entries that are linked at random. */
private class GroupMesh(
    size: Int,
    linksPerEntry: Int,
    private val random: Random = Random(20_261_206),
    areSingleGroupLoadsUseful: Boolean = false,
) {
    private class Delivery(
        val atMillis: Long,
        val number: Int,
        val from: Int,
        val to: Int,
        val news: Frame.GroupNews,
    )

    private inner class MeshLink(
        val from: Int,
        val to: Int,
    ) : Link {
        override val isOpen = true

        override fun send(frame: Frame): Boolean {
            sentBytes[from] += FrameCodec.encode(frame).size.toLong()
            deliver(from, to, frame as Frame.GroupNews)
            return true
        }

        override fun close(reason: String) = Unit
    }

    private val inFlight = PriorityQueue(compareBy<Delivery>({ it.atMillis }, { it.number }))
    private var deliveries = 0
    private val links = List(size) { mutableMapOf<Int, Link>() }
    val sentBytes = LongArray(size)
    var nowMillis = 1_000L
    val entries =
        List(size) {
            GroupExchange({ it == SERVICE }, EventLog("entry-$it", Clock.System), { nowMillis }, Random(it)) { areSingleGroupLoadsUseful }
        }

    init {
        for (entry in 0 until size) {
            while (links[entry].size < minOf(linksPerEntry, size - 1)) {
                val other = random.nextInt(size)
                if (other == entry) continue
                links[entry][other] = MeshLink(entry, other)
                links[other][entry] = MeshLink(other, entry)
            }
        }
    }

    private fun deliver(from: Int, to: Int, news: Frame.GroupNews) {
        deliveries += 1
        inFlight += Delivery(nowMillis + random.nextLong(1, MAX_DELAY_MILLIS), deliveries, from, to, news)
    }

    /** Delivers [report] to some entries, as the group's coordinator does. */
    fun send(report: GroupReport) {
        val first = report.group.hashCode().mod(entries.size)
        repeat(DIRECT_RECEIVERS) { deliver(-1, (first + it * 7).mod(entries.size), Frame.GroupNews(compactGroupReportOf(report), 0)) }
    }

    fun runUntil(endMillis: Long) {
        while (true) {
            val delivery = inFlight.peek()?.takeIf { it.atMillis <= endMillis } ?: break
            inFlight.remove()
            nowMillis = delivery.atMillis
            entries[delivery.to].onNews(delivery.news, "entry-${delivery.from}", (links[delivery.to] - delivery.from).values.toList())
        }
        nowMillis = endMillis
    }

    /** Lets the coordinators of [groups] report for [durationMillis]; returns the first sequence that was not used. */
    fun runReports(groups: List<String>, durationMillis: Long, firstSequence: Long = 1): Long {
        var sequence = firstSequence
        val endMillis = nowMillis + durationMillis
        while (nowMillis < endMillis) {
            groups.forEach { send(reportOf(it, sequence)) }
            sequence += 1
            runUntil(nowMillis + REPORT_INTERVAL_MILLIS)
        }
        return sequence
    }
}

internal class GroupExchangeTest {
    @Test
    fun `all of 17 entries keep recent loads of two groups`() {
        val mesh = GroupMesh(size = 17, linksPerEntry = 10)
        var sequence = mesh.runReports(listOf("g0", "g1"), 3_000)
        var missing = 0
        repeat(40) {
            sequence = mesh.runReports(listOf("g0", "g1"), REPORT_INTERVAL_MILLIS, sequence)
            missing +=
                mesh.entries.sumOf { entry ->
                    2 - entry.view.groupsOf(SERVICE, mesh.nowMillis).count { it.areLoadsTrusted(mesh.nowMillis) }
                }
        }
        assertTrue(missing <= 40 * 17 * 2 / 50, "$missing of ${40 * 17 * 2} views of a group had no recent loads")
        assertTrue(mesh.entries.all { it.areLoadsUseful })
    }

    // Load: the reports of a single group, which many entries use to choose a rank.
    @Test
    fun `many entries get the loads of a single group as often as is counted on, within their budget`() {
        listOf(12 to 28, 32 to 64).forEach { (ranks, entries) ->
            val mesh = GroupMesh(entries, linksPerEntry = 10, areSingleGroupLoadsUseful = true)
            val endMillis = mesh.nowMillis + 20_000
            val ages = mutableListOf<Long>()
            for (sequence in 1L..Long.MAX_VALUE) {
                mesh.send(reportOf("g0", sequence, rankCount = ranks))
                repeat(10) {
                    mesh.runUntil(mesh.nowMillis + loadIntervalMillis(ranks) / 10)
                    val known = mesh.entries.mapNotNull { it.view.group(SERVICE, "g0", mesh.nowMillis) }
                    known.mapNotNullTo(ages) { it.loadsTrueAtMillis?.let(mesh.nowMillis::minus) }
                }
                if (mesh.nowMillis >= endMillis) break
            }
            val maxMeanMillis = loadSpreadMillis(ranks) / 2 + 2 * MAX_DELAY_MILLIS
            assertTrue(
                ages.average() <= maxMeanMillis,
                "$ranks ranks, $entries entries: ${ages.average()} ms old instead of $maxMeanMillis",
            )
            val perSecond = mesh.sentBytes.max() / 20
            assertTrue(perSecond <= MAX_BYTES_PER_SECOND, "$ranks ranks, $entries entries: up to $perSecond bytes a second")
        }
    }

    @Test
    fun `the loads of a single group are used and asked for only where they are useful`() {
        val target = FleetTarget("t1", SERVICE, "10.0.1.1", 1_001, "north", 7, false, 0, 0)
        listOf(false, true).forEach { areUseful ->
            val mesh = GroupMesh(size = 3, linksPerEntry = 2, areSingleGroupLoadsUseful = areUseful)
            mesh.runReports(listOf("g0"), 1_000)
            mesh.entries.forEach {
                assertEquals(areUseful, it.areLoadsUseful)
                assertEquals(areUseful, it.reportedLoadOf(target) != null)
            }
        }
    }

    @Test
    fun `a group that breaks is known as closed everywhere within a few hops`() {
        val mesh = GroupMesh(size = 17, linksPerEntry = 10)
        val sequence = mesh.runReports(listOf("g0", "g1"), 3_000)
        mesh.send(reportOf("g1", sequence, isOpen = false))
        mesh.runUntil(mesh.nowMillis + 3 * MAX_DELAY_MILLIS)
        assertTrue(mesh.entries.none { assertNotNull(it.view.group(SERVICE, "g1", mesh.nowMillis)).report.isOpen })
        assertTrue(mesh.entries.all { assertNotNull(it.view.group(SERVICE, "g0", mesh.nowMillis)).report.isOpen })
    }

    @Test
    fun `at 700 entries and 20 groups an entry sends less than its budget and knows the state of all groups`() {
        val mesh = GroupMesh(size = 700, linksPerEntry = 10)
        val groups = List(20) { "g$it" }
        val sequence = mesh.runReports(groups, 5_000)
        mesh.sentBytes.fill(0)
        val durationMillis = 5_000L
        mesh.runReports(groups, durationMillis, sequence)
        val perSecond = mesh.sentBytes.map { it * 1_000 / durationMillis }
        assertTrue(perSecond.max() <= MAX_BYTES_PER_SECOND, "up to ${perSecond.max()} bytes a second")
        val known = mesh.entries.sumOf { it.view.groupsOf(SERVICE, mesh.nowMillis).size }
        assertTrue(known >= 700 * 20 * 98 / 100, "$known of ${700 * 20} views of a group")
    }

    @Test
    fun `entries that restart together learn all groups from the next reports`() {
        val mesh = GroupMesh(size = 17, linksPerEntry = 10)
        assertEquals(0, mesh.entries.sumOf { it.view.groupsOf(SERVICE, mesh.nowMillis).size })
        mesh.runReports(listOf("g0", "g1"), REPORT_INTERVAL_MILLIS, firstSequence = 400)
        assertTrue(mesh.entries.all { it.view.groupsOf(SERVICE, mesh.nowMillis).size == 2 })
    }

    @Test
    fun `without sides nothing is known after some seconds`() {
        val mesh = GroupMesh(size = 17, linksPerEntry = 10)
        mesh.runReports(listOf("g0", "g1"), 2_000)
        mesh.runUntil(mesh.nowMillis + STATE_TRUST_MILLIS + 1)
        assertTrue(mesh.entries.all { it.view.groupsOf(SERVICE, mesh.nowMillis).isEmpty() && !it.areLoadsUseful })
    }

    @Test
    fun `a coordinator that was frozen and wakes changes nothing at any entry`() {
        val mesh = GroupMesh(size = 17, linksPerEntry = 10)
        mesh.runReports(listOf("g0"), 1_000)
        mesh.send(reportOf("g0", 1, isOpen = false, term = 2))
        mesh.runUntil(mesh.nowMillis + 100)
        mesh.send(reportOf("g0", 900, term = 1))
        mesh.runUntil(mesh.nowMillis + 100)
        assertTrue(mesh.entries.none { assertNotNull(it.view.group(SERVICE, "g0", mesh.nowMillis)).report.isOpen })
    }

    @Test
    fun `an entry that connects gets the state, the members and the age of the loads`() {
        val mesh = GroupMesh(size = 2, linksPerEntry = 1)
        val (first, joined) = mesh.entries
        first.onNews(Frame.GroupNews(compactGroupReportOf(reportOf("g0", 1)), 0), "side", emptyList())
        mesh.runUntil(mesh.nowMillis + LOAD_TRUST_MILLIS)
        first.onNews(
            Frame.GroupNews(compactGroupReportOf(reportOf("g0", 2, isOpen = false).copy(ranks = emptyList())), 0),
            "side",
            emptyList(),
        )
        first.currentNews().forEach { joined.onNews(it, "first", emptyList()) }
        val address = HostPort("10.0.1.1", 1_001)
        val known = assertNotNull(joined.view.group(SERVICE, "g0", mesh.nowMillis))
        assertFalse(known.report.isOpen)
        assertEquals("g0", joined.view.groupOf(SERVICE, address, mesh.nowMillis))
        assertNotNull(joined.view.loadOf(SERVICE, address, mesh.nowMillis))
        assertNull(joined.view.loadOf(SERVICE, address, mesh.nowMillis + 1))
    }

    @Test
    fun `news that is malformed, of an unknown service or from a clock far off is dropped`() {
        val entry = GroupMesh(size = 1, linksPerEntry = 0).entries.single()
        val good = compactGroupReportOf(reportOf("g0", 1))
        listOf(
            Frame.GroupNews(CompactGroupReport(SERVICE, "g0", 1, 1, 1, true, 2, 1, ByteArray(5) { -1 }), 0),
            Frame.GroupNews(CompactGroupReport(SERVICE, "g0", 1, 1, 1, true, -2, 1), 0),
            Frame.GroupNews(compactGroupReportOf(reportOf("g0", 1).copy(service = "unknown")), 0),
            Frame.GroupNews(good, -5),
            Frame.GroupNews(good, 86_400_000),
        ).forEach { entry.onNews(it, "peer", emptyList()) }
        assertEquals(emptyList(), entry.currentNews())
        entry.onNews(Frame.GroupNews(good, 0), "peer", emptyList())
        assertEquals(2, entry.currentNews().size)
    }
}

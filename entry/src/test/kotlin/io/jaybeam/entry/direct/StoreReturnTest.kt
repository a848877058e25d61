/*
 * The store may come back from a copy that is some seconds old. An entry then reads everything anew, and keeps what it knew until targets
 * and the operator have written again.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.fleet.StoreFault
import io.jaybeam.platform.platformStore
import io.jaybeam.runtime.observe.EventLog
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Clock

private const val LIMIT_MILLIS = 5_000L
private const val TARGETS = "keyed.servers"
private const val OPERATOR = "keyed.op"

// Targets write what the copy lacks again within this time, and then some.
private const val WRITTEN_AGAIN_MILLIS = 1_500L

internal class StoreReturnTest {
    private val store = ReturningStore()
    private val cache = FleetCache(EventLog("test", Clock.System))
    private val usedIds get() =
        cache.snapshot.targets.byId.values
            .filterNot { it.isDraining }
            .map { it.id }
            .toSet()

    @BeforeTest
    fun start() {
        store.write(OPERATOR, "config", config(1))
        announce("a")
        FleetWatcher(platformStore(store.address), cache, EventLog("test", Clock.System)).start()
        await("the first state") { cache.snapshot.configVersion == 1L && usedIds == setOf("a") }
    }

    @AfterTest
    fun close() = store.close()

    private fun config(version: Long) =
        """{"version":$version,"routes":[],"services":[],"tenants":[],""" +
            """"limits":{"headerBytes":16384,"bodyBytes":1000,"headerMs":3000,"idleMs":15000}}"""

    private fun announce(id: String, state: String = "ready") =
        store.write(
            TARGETS,
            id,
            """{"service":"plain","addr":"127.0.0.1:${9_000 + id.first().code}","zone":"north","batchSlots":8,""" +
                """"state":"$state","coldMs":0,"born":1}""",
        )

    private fun withdraw(id: String) = store.write(TARGETS, id, "")

    private fun await(what: String, condition: () -> Boolean) {
        val startNanos = System.nanoTime()
        while (!condition()) {
            val waitedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
            assertTrue(waitedMillis < LIMIT_MILLIS, "$what after $waitedMillis ms: $usedIds, out ${cache.snapshot.dataCentresOut}")
            Thread.sleep(10)
        }
    }

    private fun assertHolds(millis: Long, what: String, condition: () -> Boolean) {
        val startNanos = System.nanoTime()
        while ((System.nanoTime() - startNanos) / NANOS_PER_MILLI < millis) {
            val afterMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
            assertTrue(condition(), "$what, not after $afterMillis ms: $usedIds, out ${cache.snapshot.dataCentresOut}")
            Thread.sleep(10)
        }
    }

    // Guards against an entry that ignores a log which is shorter than the one that it has read.
    @Test
    fun `what is written after a return comes into force though the log is shorter than before`() {
        val copy = store.copy()
        repeat(20) {
            announce("b")
            store.write(OPERATOR, "evacuate/east", "{}")
        }
        await("the state before the return") { usedIds == setOf("a", "b") && cache.snapshot.dataCentresOut == setOf("east") }
        store.comeBackFrom(copy)
        announce("c")
        store.write(OPERATOR, "evacuate/south", "{}")
        store.write(OPERATOR, "config", config(2))
        await("the state after the return") {
            "c" in usedIds && "south" in cache.snapshot.dataCentresOut && cache.snapshot.configVersion == 2L
        }
    }

    // Guards against skipping records whose offsets are given out again, for which no read is answered with 410.
    @Test
    fun `what is written at offsets that are given out again comes into force`() {
        val copy = store.copy()
        announce("b")
        store.write(OPERATOR, "evacuate/east", "{}")
        await("the state before the return") { "b" in usedIds && cache.snapshot.dataCentresOut == setOf("east") }
        store.comeBackFrom(copy)
        listOf("c", "d", "e").forEach { announce(it) }
        listOf("south", "west").forEach { store.write(OPERATOR, "evacuate/$it", "{}") }
        await("the state after the return") {
            usedIds.containsAll(listOf("c", "d", "e")) && cache.snapshot.dataCentresOut.containsAll(listOf("south", "west"))
        }
    }

    @Test
    fun `a target that the copy lacks stays in use until it is written again`() {
        val copy = store.copy()
        announce("b")
        await("b before the return") { "b" in usedIds }
        store.comeBackFrom(copy)
        assertHolds(WRITTEN_AGAIN_MILLIS, "b stays in use") { "b" in usedIds }
        announce("b")
        assertHolds(2 * WRITTEN_AGAIN_MILLIS, "b stays in use") { "b" in usedIds }
    }

    @Test
    fun `a target that is not written again is gone`() {
        val copy = store.copy()
        announce("b")
        await("b before the return") { "b" in usedIds }
        store.comeBackFrom(copy)
        await("b is gone") { usedIds == setOf("a") }
    }

    @Test
    fun `a target that drained or was withdrawn gets no work by the copy alone`() {
        listOf("b", "c").forEach { announce(it) }
        await("b and c") { usedIds == setOf("a", "b", "c") }
        val copy = store.copy()
        announce("b", "draining")
        withdraw("c")
        await("b and c have left") { usedIds == setOf("a") }
        store.comeBackFrom(copy)
        assertHolds(WRITTEN_AGAIN_MILLIS, "b and c stay out of use") { usedIds == setOf("a") }
        announce("b", "draining")
        withdraw("c")
        assertHolds(2 * WRITTEN_AGAIN_MILLIS, "b and c stay out of use") { usedIds == setOf("a") }
    }

    @Test
    fun `a target that is withdrawn after a return leaves at once`() {
        val copy = store.copy()
        announce("b")
        await("b before the return") { "b" in usedIds }
        store.comeBackFrom(copy)
        announce("c")
        await("the return is seen") { "c" in usedIds }
        announce("b")
        withdraw("b")
        val startNanos = System.nanoTime()
        await("b has left") { "b" !in usedIds }
        val tookMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
        assertTrue(tookMillis < WRITTEN_AGAIN_MILLIS, "$tookMillis ms")
    }

    @Test
    fun `a data centre that is out stays out until the operator has written again`() {
        val copy = store.copy()
        store.write(OPERATOR, "evacuate/east", "{}")
        await("east is out") { cache.snapshot.dataCentresOut == setOf("east") }
        store.comeBackFrom(copy)
        assertHolds(WRITTEN_AGAIN_MILLIS, "east stays out") { cache.snapshot.dataCentresOut == setOf("east") }
        store.write(OPERATOR, "evacuate/east", "{}")
        assertHolds(2 * WRITTEN_AGAIN_MILLIS, "east stays out") { cache.snapshot.dataCentresOut == setOf("east") }
        store.write(OPERATOR, "evacuate/east", "")
        await("east is back") { cache.snapshot.dataCentresOut.isEmpty() }
    }

    @Test
    fun `nothing that was known is lost by two returns within a second`() {
        val copy = store.copy()
        announce("b")
        store.write(OPERATOR, "config", config(2))
        store.write(OPERATOR, "evacuate/east", "{}")
        await("the state before the returns") {
            "b" in usedIds && cache.snapshot.configVersion == 2L && cache.snapshot.dataCentresOut == setOf("east")
        }
        store.comeBackFrom(copy)
        Thread.sleep(700)
        store.comeBackFrom(copy)
        assertHolds(WRITTEN_AGAIN_MILLIS, "all that was known") {
            usedIds == setOf("a", "b") && cache.snapshot.configVersion == 2L && cache.snapshot.dataCentresOut == setOf("east")
        }
    }

    // Guards against two coordinators with equal fencing tokens.
    @Test
    fun `generations rise over a return and a term of an earlier generation gets no number`() {
        val client = platformStore(store.address)
        val copy = store.copy()
        val before = client.joinCandidates("g", store.address, 0, 2_000).getOrNull()!!.generation
        assertEquals(1, client.nextTermNumber("g", before).getOrNull())
        store.comeBackFrom(copy)
        assertIs<StoreFault.Refused>(client.nextTermNumber("g", before).leftOrNull())
        val after = client.joinCandidates("g", store.address, before, 2_000).getOrNull()!!.generation
        assertTrue(after > before, "$after after $before")
        assertEquals(1, client.nextTermNumber("g", after).getOrNull())
    }
}

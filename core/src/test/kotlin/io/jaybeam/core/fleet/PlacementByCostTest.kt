package io.jaybeam.core.fleet

import io.jaybeam.core.cost.Backlog
import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.cost.SLOTS
import io.jaybeam.core.cost.costEngine
import io.jaybeam.core.cost.rank
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class PlacementByCostTest {
    private val engine = costEngine()
    private val small = RequestCost(readMillis = 5.0, answerTokens = 50.0, memoryTokens = 350.0)
    private val large = RequestCost(readMillis = 50.0, answerTokens = 240.0, memoryTokens = 3_140.0)

    // Load: few large prompts among many small ones.
    @Test
    fun `a target with more requests and less work is preferred`() {
        val busy = load(0, small, small)
        val laden = load(1, large)
        assertEquals(busy.target, choose(small, busy, laden))
    }

    // Load: all slots of some targets are taken.
    @Test
    fun `a target without a free slot is passed by`() {
        val full = load(0, Backlog(SLOTS, answerTokens = 70.0))
        val free = load(1, Backlog(SLOTS - 1, answerTokens = 90.0))
        assertEquals(free.target, choose(small, full, free))
    }

    // Load: many requests of other entries, which this one does not see, so that slots are scarcer than they look.
    @Test
    fun `without reports the number of requests comes before their work`() {
        val many = load(0, Backlog(4, answerTokens = 100.0))
        val few = load(1, Backlog(2, answerTokens = 250.0))
        val fewAndShort = load(2, Backlog(2, answerTokens = 120.0))
        assertEquals(many.target, choose(small, many, few, fewAndShort))
        assertEquals(fewAndShort.target, chooseTarget(listOf(many, few, fewAndShort), "north", Random(1), PlacementRequest(small, engine)))
    }

    // Load: the reports of one group stay away, so that its targets look idle.
    @Test
    fun `a target without a report counts as busy as the others on average`() {
        val idle = reported(load(0))
        val busy = reported(load(1, small, small, small, small))
        val unknown = load(2)
        assertEquals(idle.target, chooseTarget(listOf(idle, busy, unknown), "north", Random(1), PlacementRequest(small, engine)))
        val request = PlacementRequest(small, engine, unseenRequests = 1.0)
        val chosen =
            List(900) { chooseTarget(listOf(busy, reported(load(3, small, small, small, small)), unknown), "south", Random(it), request) }
        assertTrue(chosen.count { it == unknown.target } in 240..360, "${chosen.groupingBy { it }.eachCount()}")
    }

    @Test
    fun `a slow target gets less`() {
        val slow = load(0, Backlog(2, answerTokens = 100.0, slowness = 2.0))
        val sound = load(1, Backlog(3, answerTokens = 150.0))
        assertEquals(sound.target, choose(small, slow, sound))
    }

    @Test
    fun `a target that has just failed is used once all others have a full batch more`() {
        val failed = load(0, Backlog()).copy(recentFailures = 1)
        val busy = load(1, Backlog(SLOTS - 1, answerTokens = 300.0))
        assertEquals(busy.target, choose(small, failed, busy))
    }

    // Load: memory is nearly full, and the newest request of a target without room is preempted.
    @Test
    fun `a target without memory for the request is passed by even if it has less to do`() {
        val narrow = load(0, Backlog(1, answerTokens = 10.0, freeMemoryTokens = 3_000.0))
        val roomy = load(1, Backlog(5, answerTokens = 400.0, freeMemoryTokens = 20_000.0))
        assertEquals(roomy.target, choose(large, narrow, roomy))
        assertEquals(narrow.target, choose(small, narrow, roomy))
    }

    @Test
    fun `a request larger than any free memory goes to the target with most room`() {
        val loads = listOf(500.0, 2_900.0, 100.0).mapIndexed { index, free -> load(index, Backlog(index, freeMemoryTokens = free)) }
        assertEquals(loads[1].target, choose(large, *loads.toTypedArray()))
    }

    // Load: the memory of all ranks is full, and 16 entries place large prompts by the same reports.
    @Test
    fun `entries do not all choose the same target if none has memory for the request`() {
        val loads = List(12) { load(it, Backlog(6, answerTokens = 300.0, freeMemoryTokens = 1_000.0 - 10 * it, isReported = true)) }
        val request = PlacementRequest(large, engine, unseenRequests = 6.0)
        val counts = List(1_000) { chooseTarget(loads, "south", Random(it), request) }.groupingBy { it }.eachCount()
        assertTrue(counts.values.max() < 400, "$counts")
    }

    // Load: the same, where a few requests were placed since the reports and one rank has much more room than the others.
    @Test
    fun `a target with much more room is chosen alone if few requests were placed since the reports`() {
        val loads = List(12) { load(it, Backlog(6, freeMemoryTokens = if (it == 3) 3_000.0 else 0.0, isReported = true)) }
        val request = PlacementRequest(large.copy(memoryTokens = 3_200.0), engine, unseenRequests = 0.0)
        repeat(100) { assertEquals(loads[3].target, chooseTarget(loads, "south", Random(it), request)) }
    }

    // Load: the memory of all ranks is full, and the report of one of them stays away.
    @Test
    fun `a target without a report is not taken for roomy among full ones`() {
        val full = List(11) { load(it, Backlog(6, answerTokens = 300.0, freeMemoryTokens = 1_000.0, isReported = true)) }
        val unknown = load(11, Backlog(1, answerTokens = 50.0, memoryTokens = 350.0))
        val request = PlacementRequest(large, engine, unseenRequests = 6.0)
        val chosen = List(600) { chooseTarget(full + unknown, "south", Random(it), request) }
        assertTrue(chosen.count { it == unknown.target } < 150, "${chosen.groupingBy { it }.eachCount()}")
    }

    // Load: the same as today, of an engine whose figures are not configured or a service without one.
    @Test
    fun `with nothing learned the target with the least requests per slot is chosen`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val loads = List(8) { TargetLoad(rank(it, if (it % 2 == 0) "north" else "south"), random.nextInt(9), random.nextInt(2)) }
            val expected = leastRequests(loads)
            val engines = listOf(null, engine.copy(readTokensPerSecond = 0.0))
            engines.forEach {
                val chosen = chooseTarget(loads, "north", Random(seed), PlacementRequest(RequestCost.UNKNOWN, it))
                assertTrue(chosen in expected, "seed $seed: $chosen is none of $expected")
            }
        }
    }

    @Test
    fun `with equal costs the target with the least requests is chosen`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val loads = List(8) { index -> load(index, *Array(random.nextInt(SLOTS)) { small }) }
            val chosen = choose(small, *loads.toTypedArray())
            assertEquals(loads.minOf { it.requestsInFlight }, loads.first { it.target == chosen }.requestsInFlight, "seed $seed")
        }
    }

    // Load: 16 entries place requests by the same report, in which one target has nothing to do.
    @Test
    fun `entries with the same report do not all choose the same target`() {
        val loads =
            List(12) { reported(load(it, *Array(if (it == 0) 0 else 2 + it % 2) { small })) }
        val request = PlacementRequest(small, engine, unseenRequests = 15.0)
        val counts = List(1_000) { chooseTarget(loads, "south", Random(it), request) }.groupingBy { it }.eachCount()
        assertTrue(counts.values.max() < 400, "$counts")
        assertEquals(loads[0].target, counts.maxBy { it.value }.key)
    }

    @Test
    fun `a target in the local data centre is preferred to an equally loaded one`() {
        val far = load(0, small)
        val near = load(1, small).let { it.copy(target = it.target.copy(dataCentre = "local")) }
        assertEquals(near.target, chooseTarget(listOf(far, near), "local", Random(1), PlacementRequest(small, engine)))
    }

    @Test
    fun `the chosen target has room whenever one has, and most room if none has`() {
        repeat(500) { seed ->
            val random = Random(seed)
            val maxFree = if (seed % 2 == 0) 5_000.0 else large.memoryTokens
            val loads = randomLoads(random, maxFree)
            val unseenRequests = random.nextInt(3) * 4.0
            val chosen = chooseTarget(loads, "north", random, PlacementRequest(large, engine, unseenRequests))
            val free = loads.first { it.target == chosen }.backlog.freeMemoryTokens!!
            val mostFree = loads.maxOf { it.backlog.freeMemoryTokens!! }
            // What others have placed since the reports may have taken the room of those with most.
            val unseenTokens = unseenRequests * 2 * (engine.meanPromptTokens + engine.meanAnswerTokens)
            val taken = if (mostFree < large.memoryTokens && unseenTokens > 0) large.memoryTokens + unseenTokens else 0.0
            assertTrue(free >= minOf(large.memoryTokens, mostFree - taken), "seed $seed")
        }
    }

    // Load: the same, and nothing was placed since the reports.
    @Test
    fun `the target with most room is chosen if none has enough and nothing was placed since the reports`() {
        repeat(500) { seed ->
            val random = Random(seed)
            val loads = randomLoads(random, large.memoryTokens)
            val chosen = chooseTarget(loads, "north", random, PlacementRequest(large, engine))
            assertEquals(loads.maxBy { it.backlog.freeMemoryTokens!! }.target, chosen, "seed $seed")
        }
    }

    private fun randomLoads(random: Random, maxFreeTokens: Double) =
        List(10) {
            val free = random.nextDouble(maxFreeTokens)
            val requests = random.nextInt(12)
            load(it, Backlog(requests, random.nextDouble(50.0), random.nextDouble(900.0), 0.0, free, isReported = random.nextBoolean()))
        }

    /** Returns the target that is chosen by fresh reports. */
    private fun choose(cost: RequestCost, vararg loads: TargetLoad) =
        chooseTarget(loads.map(::reported), "north", Random(1), PlacementRequest(cost, engine))

    private fun reported(load: TargetLoad) = load.copy(backlog = load.backlog.copy(isReported = true))

    private fun load(index: Int, backlog: Backlog) = TargetLoad(rank(index), backlog.requests, 0, backlog)

    private fun load(index: Int, vararg costs: RequestCost) =
        load(index, Backlog(costs.size, costs.sumOf { it.readMillis }, costs.sumOf { it.answerTokens }, costs.sumOf { it.memoryTokens }))

    /** Returns the targets that were chosen before costs were known: the least loaded ones, those in the local data centre first. */
    private fun leastRequests(loads: List<TargetLoad>): List<FleetTarget> {
        val least = loads.minOf { it.requestsInFlight.toDouble() / SLOTS + it.recentFailures }
        val best = loads.filter { it.requestsInFlight.toDouble() / SLOTS + it.recentFailures <= least + 1e-9 }.map { it.target }
        return best.filter { it.dataCentre == "north" }.ifEmpty { best }
    }
}

package io.jaybeam.scenarios

import io.cucumber.java.After
import io.cucumber.java.en.Given
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

private const val CHANGE_MILLIS = 400L
private const val STEP_MILLIS = 3_000L

/** Steps about rank groups and their expert maps. */
internal class ExpertMapSteps {
    private val fleet get() = Site.fleet
    private val drifting = AtomicBoolean()

    @Given("a site with {int} entries and {int} model targets with {word} ranks")
    fun site(entries: Int, models: Int, kind: String) {
        val profile =
            """{"fenced": ${kind == "fenced"}, "ranks": 4, "experts": $EXPERTS, "slotsPerRank": 3,
            "weightsUrl": "${FleetPlan.WEIGHTS_PLACEHOLDER}"}"""
        Site.start(FleetPlan(entries = entries, modelTargets = models, plainTargets = 0, engineProfile = profile))
    }

    @Given("popularity of experts of {string} keeps changing")
    fun drift(instance: String) {
        drifting.set(true)
        val target = Site.target(instance)
        thread(isDaemon = true) {
            var hot = 0
            while (drifting.get()) {
                runCatching { makePopular(target, hot++ % EXPERTS) }
                Thread.sleep(CHANGE_MILLIS)
            }
        }
    }

    @After(order = 30_000)
    fun stopDrift() = drifting.set(false)

    @Given("the weight store gives {int} bytes a second")
    fun weights(bytesPerSecond: Int) = fleet.control(fleet.weightsUrl, """{"bytesPerSecond": $bytesPerSecond}""")

    @When("experts {int} and {int} of target {string} become popular")
    fun popular(first: Int, second: Int, instance: String) {
        val loads = List(EXPERTS) { if (it == first || it == second) 8.0 else 1.0 }
        fleet.control("${Site.target(instance).targetUrl}/control/experts", loads)
    }

    @When("the side of {string} is killed and started again {int} times, {int} ms apart")
    fun killAgain(instance: String, times: Int, millis: Int) {
        repeat(times) {
            Thread.sleep(millis.toLong())
            fleet.process("side-$instance").kill()
            SiteSteps().startSide(instance)
        }
    }

    @When("a replacement of the side of {string} starts")
    fun replacement(instance: String) = fleet.startReplacement(Site.target(instance))

    @Then("within {int} s the ranks of {string} run a newer map than {int}")
    fun newerMap(seconds: Int, instance: String, version: Int) =
        fleet.awaitTrue("a newer map", seconds * 1_000L) { versions(instance).let { it.size == 1 && it.single() > version } }

    @Then("no step of {string} was mixed")
    fun notMixed(instance: String) {
        val report = fleet.get("${Site.target(instance).targetUrl}/ranks").orEmpty()
        assertEquals(0L, number(report, "mixedSteps"), report)
        assertNotEquals(0L, number(report, "steps"), "no step was taken, so the scenario shows nothing")
    }

    @Then("the ranks of {string} still take steps")
    fun takesSteps(instance: String) {
        val url = "${Site.target(instance).targetUrl}/ranks"
        val before = number(fleet.get(url).orEmpty(), "steps")
        fleet.awaitTrue("steps", STEP_MILLIS) { number(fleet.get(url).orEmpty(), "steps") > before }
        assertTrue(versions(instance).max() > 0, "the map never changed, so the scenario shows nothing")
    }

    private fun makePopular(target: TargetPair, hot: Int) =
        fleet.control("${target.targetUrl}/control/experts", List(EXPERTS) { if (it == hot) 8.0 else 1.0 })

    private fun Fleet.control(url: String, loads: List<Double>) = post(url, """{"loadByExpert": $loads}""")

    private fun versions(instance: String): Set<Long> {
        val report = fleet.get("${Site.target(instance).targetUrl}/ranks").orEmpty()
        return Regex("\"version\":(\\d+)").findAll(report).map { it.groupValues[1].toLong() }.toSet()
    }

    private fun number(report: String, name: String): Long =
        Regex("\"$name\":(\\d+)")
            .find(report)
            ?.groupValues
            ?.get(1)
            ?.toLong() ?: 0
}

private const val EXPERTS = 8

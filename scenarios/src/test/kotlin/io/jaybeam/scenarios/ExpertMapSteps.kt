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

private const val DRIFT_INTERVAL_MILLIS = 400L
private const val STEP_TIMEOUT_MILLIS = 3_000L

/** Steps that change the demand for experts and check the expert maps of rank groups. */
internal class ExpertMapSteps {
    private val fleet get() = Site.fleet
    private val isDrifting = AtomicBoolean()

    @Given("a site with {int} entries and {int} model targets with {word} ranks")
    fun startSite(entries: Int, models: Int, kind: String) {
        val profile =
            """{"fenced": ${kind == "fenced"}, "ranks": 4, "experts": $EXPERTS, "slotsPerRank": 3,
            "weightsUrl": "${FleetPlan.WEIGHTS_PLACEHOLDER}"}"""
        Site.start(FleetPlan(entries = entries, modelTargets = models, plainTargets = 0, engineProfile = profile))
    }

    @Given("popularity of experts of {string} keeps changing")
    fun driftPopularity(instance: String) {
        isDrifting.set(true)
        val target = Site.target(instance)
        thread(isDaemon = true) {
            var hot = 0
            while (isDrifting.get()) {
                runCatching { makePopular(target, hot++ % EXPERTS) }
                Thread.sleep(DRIFT_INTERVAL_MILLIS)
            }
        }
    }

    @After(order = 30_000)
    fun stopDrift() = isDrifting.set(false)

    @Given("the weight store gives {int} bytes a second")
    fun limitWeightStore(bytesPerSecond: Int) = fleet.setFaults(fleet.weightsUrl, """{"bytesPerSecond": $bytesPerSecond}""")

    @When("experts {int} and {int} of target {string} become popular")
    fun makeTwoPopular(first: Int, second: Int, instance: String) {
        val loads = List(EXPERTS) { if (it == first || it == second) 8.0 else 1.0 }
        fleet.setExpertLoads("${Site.target(instance).targetUrl}/control/experts", loads)
    }

    @When("the side of {string} is killed and started again {int} times, {int} ms apart")
    fun killRepeatedly(instance: String, times: Int, millis: Int) {
        repeat(times) {
            Thread.sleep(millis.toLong())
            fleet.process("side-$instance").kill()
            SiteSteps().startSide(instance)
        }
    }

    @When("a replacement of the side of {string} starts")
    fun startReplacement(instance: String) = fleet.startReplacementSide(Site.target(instance))

    @Then("within {int} s the ranks of {string} run a newer map than {int}")
    fun assertNewerMap(seconds: Int, instance: String, version: Int) =
        fleet.awaitCondition("a newer expert map", seconds * 1_000L) { mapVersions(instance).let { it.size == 1 && it.single() > version } }

    @Then("no step of {string} was mixed")
    fun assertNoMixedStep(instance: String) {
        val report = fleet.get("${Site.target(instance).targetUrl}/ranks").orEmpty()
        assertEquals(0L, numberIn(report, "mixedSteps"), report)
        assertNotEquals(0L, numberIn(report, "steps"), "no step was taken, so the scenario proves nothing")
    }

    @Then("the ranks of {string} still take steps")
    fun assertTakesSteps(instance: String) {
        val url = "${Site.target(instance).targetUrl}/ranks"
        val before = numberIn(fleet.get(url).orEmpty(), "steps")
        fleet.awaitCondition("another step", STEP_TIMEOUT_MILLIS) { numberIn(fleet.get(url).orEmpty(), "steps") > before }
        assertTrue(mapVersions(instance).max() > 0, "the map never changed, so the scenario proves nothing")
    }

    private fun makePopular(target: TargetInstance, hot: Int) =
        fleet.setExpertLoads("${target.targetUrl}/control/experts", List(EXPERTS) { if (it == hot) 8.0 else 1.0 })

    private fun Fleet.setExpertLoads(url: String, loads: List<Double>) = post(url, """{"loadByExpert": $loads}""")

    private fun mapVersions(instance: String): Set<Long> {
        val report = fleet.get("${Site.target(instance).targetUrl}/ranks").orEmpty()
        return Regex("\"version\":(\\d+)").findAll(report).map { it.groupValues[1].toLong() }.toSet()
    }

    private fun numberIn(report: String, name: String): Long =
        Regex("\"$name\":(\\d+)")
            .find(report)
            ?.groupValues
            ?.get(1)
            ?.toLong() ?: 0
}

private const val EXPERTS = 8

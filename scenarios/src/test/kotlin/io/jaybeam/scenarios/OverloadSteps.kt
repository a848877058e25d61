package io.jaybeam.scenarios

import io.cucumber.java.After
import io.cucumber.java.Scenario
import io.cucumber.java.en.Given
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import kotlin.test.assertTrue

private const val TOKENS = 20
private const val PROMPT_COUNT = 30
private const val WARM_UP_MILLIS = 1_500L
private const val MEASURE_MILLIS = 4_000L
private const val RESEND_DELAY_MILLIS = 10L
private const val MIN_FAIR_SHARE_PERCENT = 150
private const val RETRY_BURST = 10

/** Steps that offer more work than the targets can handle. */
internal class OverloadSteps {
    private class CallerGroup(
        val name: String,
        val load: LoadGenerator,
    ) {
        var answerCount = 0
    }

    private val fleet get() = Site.fleet
    private val groups = mutableListOf<CallerGroup>()
    private var bestAnswers = 0
    private var urgentCallers = 0
    private var smallCallers = 0

    @After(order = 20_000)
    fun stopGroups() = groups.forEach { it.load.stop() }

    @After(order = 30_000)
    fun logGoodput(scenario: Scenario) {
        if (groups.isNotEmpty()) scenario.log("best: $bestAnswers answers; ${answersByGroup()}")
    }

    @Given("a site with {int} entries and {int} model targets that run {int} requests and let {int} wait")
    fun startSite(
        entries: Int,
        targets: Int,
        batchSlots: Int,
        queueCapacity: Int,
    ) {
        // The engines support twice the concurrency that the bundle allows, so only the limit of the sides takes effect.
        val profile = """{"coldConcurrency": ${batchSlots * 2}, "warmConcurrency": ${batchSlots * 2}, "coldMillis": 0}"""
        Site.start(
            FleetPlan(
                entries = entries,
                modelTargets = targets,
                plainTargets = 0,
                engineProfile = profile,
                initialConcurrency = batchSlots,
                fullConcurrency = batchSlots,
                slowStartMillis = 0,
                queueCapacity = queueCapacity,
            ),
        )
    }

    @Given("the best goodput of {int} and of {int} callers is known")
    fun measureBestGoodput(few: Int, more: Int) {
        bestAnswers =
            listOf(few, more).maxOf { callers ->
                measure(listOf(CallerGroup("best", newLoad(callers, "calm", tier = "counter"))))
                groups.single().answerCount
            }
    }

    @When("{int} urgent callers of {string}, {int} of {string} and {int} patient ones send again at once when refused")
    fun sendResendStorm(
        large: Int,
        largeName: String,
        small: Int,
        smallName: String,
        patient: Int,
    ) {
        urgentCallers = large + small
        smallCallers = small
        measure(
            listOf(
                CallerGroup(largeName, newLoad(large, largeName, tier = "counter")),
                CallerGroup(smallName, newLoad(small, smallName, tier = "counter")),
                CallerGroup("patient", newLoad(patient, "night", tier = "overnight")),
            ),
        )
    }

    @Then("the goodput is within {int} % of the best")
    fun assertGoodput(percent: Int) {
        val answers = groups.sumOf { it.answerCount }
        assertTrue(answers * 100 >= bestAnswers * (100 - percent), "$answers answers, best goodput $bestAnswers")
    }

    @Then("no target was given more than {int} requests at a time")
    fun assertWithinLimit(batchSlots: Int) =
        fleet.targets.forEach { target ->
            val report = fleet.get("${target.targetUrl}/control/report").orEmpty()
            val maxInFlight = Regex("\"maxInFlight\":(\\d+)").find(report)!!.groupValues[1].toInt()
            assertTrue(maxInFlight <= batchSlots, report)
        }

    @Then("urgent callers had more answers than patient ones")
    fun assertUrgentFirst() {
        val (patient, urgent) = groups.partition { it.name == "patient" }
        assertTrue(urgent.sumOf { it.answerCount } > patient.sumOf { it.answerCount }, answersByGroup())
    }

    @Then("organisation {string} had more of the urgent answers than its share of the callers by half or more")
    fun assertFairShare(name: String) {
        val urgentAnswers = groups.filter { it.name != "patient" }.sumOf { it.answerCount }
        val ownAnswers = groups.first { it.name == name }.answerCount
        assertTrue(ownAnswers * urgentCallers * 100 >= urgentAnswers * smallCallers * MIN_FAIR_SHARE_PERCENT, answersByGroup())
    }

    @Then("each entry's retries are within {int} % of its calls")
    fun assertRetriesWithinBudget(percent: Int) =
        fleet.entries.forEach { entry ->
            val metrics = fleet.get("${entry.adminUrl}/metrics").orEmpty()
            val calls = sumOfMetric(metrics, "jaybeam_entry_calls_total")
            val retries = sumOfMetric(metrics, "jaybeam_entry_retries_total")
            assertTrue(retries > 0, "no request was retried, so the scenario proves nothing")
            val maxRetries = calls * percent / 100 + RETRY_BURST * (groups.size + 1)
            assertTrue(retries <= maxRetries, "$retries retries for $calls calls, at most $maxRetries allowed")
        }

    private fun measure(newGroups: List<CallerGroup>) {
        groups.forEach { it.load.stop() }
        groups.clear()
        groups += newGroups
        groups.forEach { it.load.start() }
        Thread.sleep(WARM_UP_MILLIS)
        val before = groups.map { it.load.completeCount.get() }
        Thread.sleep(MEASURE_MILLIS)
        groups.forEachIndexed { index, group -> group.answerCount = group.load.completeCount.get() - before[index] }
        groups.forEach { it.load.stop() }
    }

    private fun newLoad(callers: Int, organisation: String, tier: String): LoadGenerator {
        val caller = Caller()
        return LoadGenerator(callers) { index ->
            val options = CallOptions(organisation = organisation, tier = tier)
            val reply = caller.chat(fleet.entryUrl(index), "question ${index % PROMPT_COUNT}", TOKENS, options)
            if (reply is Reply.Refused) Thread.sleep(RESEND_DELAY_MILLIS)
            reply
        }
    }

    private fun answersByGroup() = groups.joinToString { "${it.name}: ${it.answerCount}" }

    private fun sumOfMetric(metrics: String, name: String): Double =
        metrics
            .lines()
            .filter { it.startsWith(name) }
            .sumOf { it.substringAfterLast(' ').toDouble() }
}

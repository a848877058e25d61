package io.jaybeam.scenarios

import io.cucumber.java.After
import io.cucumber.java.Scenario
import io.cucumber.java.en.Given
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import kotlin.test.assertTrue

private const val TOKENS = 20
private const val PROMPTS = 30
private const val SETTLE_MILLIS = 1_500L
private const val MEASURE_MILLIS = 4_000L
private const val RESEND_MILLIS = 10L
private const val FAIR_PERCENT = 150
private const val RETRY_BURST = 10

/** Steps about more work than the targets can do. */
internal class OverloadSteps {
    private class Group(
        val name: String,
        val load: Load,
    ) {
        var answers = 0
    }

    private val fleet get() = Site.fleet
    private val groups = mutableListOf<Group>()
    private var bestAnswers = 0
    private var urgentCallers = 0
    private var smallCallers = 0

    @After(order = 20_000)
    fun stopGroups() = groups.forEach { it.load.stop() }

    @After(order = 30_000)
    fun print(scenario: Scenario) {
        if (groups.isNotEmpty()) scenario.log("best: $bestAnswers answers; ${answersByGroup()}")
    }

    @Given("a site with {int} entries and {int} model targets that run {int} requests and let {int} wait")
    fun site(
        entries: Int,
        targets: Int,
        places: Int,
        waiting: Int,
    ) {
        // The engine bears a little more than the bundle allows, so that only the sides' limit is at work.
        val profile = """{"coldConcurrency": ${places * 2}, "warmConcurrency": ${places * 2}, "coldMillis": 0}"""
        Site.start(
            FleetPlan(
                entries = entries,
                modelTargets = targets,
                plainTargets = 0,
                engineProfile = profile,
                initialConcurrency = places,
                fullConcurrency = places,
                rampMillis = 0,
                queueCapacity = waiting,
            ),
        )
    }

    @Given("the best goodput of {int} and of {int} callers is known")
    fun best(few: Int, more: Int) {
        bestAnswers =
            listOf(few, more).maxOf { callers ->
                measure(listOf(Group("best", load(callers, "calm", tier = "counter"))))
                groups.single().answers
            }
    }

    @When("{int} urgent callers of {string}, {int} of {string} and {int} patient ones send again at once when refused")
    fun storm(
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
                Group(largeName, load(large, largeName, tier = "counter")),
                Group(smallName, load(small, smallName, tier = "counter")),
                Group("patient", load(patient, "night", tier = "overnight")),
            ),
        )
    }

    @Then("the goodput is within {int} % of the best")
    fun goodput(percent: Int) {
        val answers = groups.sumOf { it.answers }
        assertTrue(answers * 100 >= bestAnswers * (100 - percent), "$answers answers, $bestAnswers at best")
    }

    @Then("no target was given more than {int} requests at a time")
    fun withinLimit(places: Int) =
        fleet.targets.forEach { target ->
            val report = fleet.get("${target.targetUrl}/control/report").orEmpty()
            val most = Regex("\"maxInFlight\":(\\d+)").find(report)!!.groupValues[1].toInt()
            assertTrue(most <= places, report)
        }

    @Then("urgent callers had more answers than patient ones")
    fun urgentFirst() {
        val (patient, urgent) = groups.partition { it.name == "patient" }
        assertTrue(urgent.sumOf { it.answers } > patient.sumOf { it.answers }, answersByGroup())
    }

    @Then("organisation {string} had more of the urgent answers than its share of the callers by half or more")
    fun fairShare(name: String) {
        val urgent = groups.filter { it.name != "patient" }.sumOf { it.answers }
        val own = groups.first { it.name == name }.answers
        assertTrue(own * urgentCallers * 100 >= urgent * smallCallers * FAIR_PERCENT, answersByGroup())
    }

    @Then("each entry's retries are within {int} % of its calls")
    fun retriesWithinBudget(percent: Int) =
        fleet.entries.forEach { entry ->
            val metrics = fleet.get("${entry.adminUrl}/metrics").orEmpty()
            val calls = sum(metrics, "jaybeam_entry_calls_total")
            val retries = sum(metrics, "jaybeam_entry_retries_total")
            assertTrue(retries > 0, "nothing was retried, so the scenario shows nothing")
            val allowed = calls * percent / 100 + RETRY_BURST * (groups.size + 1)
            assertTrue(retries <= allowed, "$retries retries for $calls calls")
        }

    private fun measure(started: List<Group>) {
        groups.forEach { it.load.stop() }
        groups.clear()
        groups += started
        groups.forEach { it.load.start() }
        Thread.sleep(SETTLE_MILLIS)
        val before = groups.map { it.load.whole.get() }
        Thread.sleep(MEASURE_MILLIS)
        groups.forEachIndexed { index, group -> group.answers = group.load.whole.get() - before[index] }
        groups.forEach { it.load.stop() }
    }

    private fun load(callers: Int, organisation: String, tier: String): Load {
        val caller = Caller()
        return Load(callers) { index ->
            val options = CallOptions(organisation = organisation, tier = tier)
            val reply = caller.chat(fleet.entryUrl(index), "question ${index % PROMPTS}", TOKENS, options)
            if (reply is Reply.Refused) Thread.sleep(RESEND_MILLIS)
            reply
        }
    }

    private fun answersByGroup() = groups.joinToString { "${it.name}: ${it.answers}" }

    private fun sum(metrics: String, name: String): Double =
        metrics
            .lines()
            .filter { it.startsWith(name) }
            .sumOf { it.substringAfterLast(' ').toDouble() }
}

package io.jaybeam.scenarios

import io.cucumber.java.After
import io.cucumber.java.Scenario
import io.cucumber.java.en.Given
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import io.jaybeam.core.config.ConfigChange
import io.jaybeam.core.config.ConfigItem
import io.jaybeam.core.config.ConfigItemKind
import io.jaybeam.core.config.ConfigState
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val PROPAGATION_TIMEOUT_MILLIS = 4_000L
private const val OUTPUT_TAIL_CHARACTERS = 3_000

/** Holds the site of the current scenario. */
internal object Site {
    private var current: Fleet? = null

    val fleet: Fleet get() = checkNotNull(current) { "no site is running; the scenario needs a step that starts one" }

    fun start(plan: FleetPlan) {
        stop()
        val fleet = Fleet(plan)
        current = fleet
        fleet.start()
    }

    fun stop() {
        current?.close()
        current = null
    }

    fun target(instance: String): TargetInstance = fleet.targets.first { it.instance == instance }

    fun entry(number: Int): EntryInstance = fleet.entries[number - 1]
}

/** Steps that start sites, inject faults into their processes and connections, and check the configuration in force. */
internal class SiteSteps {
    private val fleet get() = Site.fleet

    @Given("a site with {int} entries, {int} model targets and {int} booking targets")
    fun startSite(entries: Int, models: Int, bookings: Int) =
        Site.start(FleetPlan(entries = entries, modelTargets = models, plainTargets = bookings))

    @Given("a site with {int} entries, {int} model targets and {int} booking targets whose log keeps {int} records")
    fun startSiteWithRetention(
        entries: Int,
        models: Int,
        bookings: Int,
        records: Int,
    ) {
        Site.start(FleetPlan(entries = entries, modelTargets = models, plainTargets = bookings, snapshotIntervalMillis = 300))
        fleet.setFaults(fleet.logUrl, """{"retainRecords": $records}""")
    }

    @Given("a site with {int} entries and {int} model targets that bear {int} requests when cold and {int} when warm after {int} ms")
    fun startSiteWithColdStart(
        entries: Int,
        models: Int,
        cold: Int,
        warm: Int,
        coldMillis: Int,
    ) {
        val profile = """{"coldConcurrency": $cold, "warmConcurrency": $warm, "coldMillis": $coldMillis}"""
        // Limits that an operator would set for such targets: at or below the concurrency that the targets support.
        Site.start(
            FleetPlan(
                entries = entries,
                modelTargets = models,
                plainTargets = 0,
                engineProfile = profile,
                initialConcurrency = cold,
                fullConcurrency = warm - 2,
                slowStartMillis = coldMillis + 1_000L,
            ),
        )
    }

    @After
    fun stopSite(scenario: Scenario) {
        if (scenario.isFailed) scenario.log(fleet.outputTails(OUTPUT_TAIL_CHARACTERS))
        Site.stop()
    }

    @When("{int} ms pass")
    fun sleep(millis: Int) = Thread.sleep(millis.toLong())

    @When("the process {string} is killed")
    fun kill(name: String) = fleet.process(name).kill()

    @When("the process {string} is frozen")
    fun freeze(name: String) = fleet.process(name).freeze()

    @When("the process {string} is thawed")
    fun thaw(name: String) = fleet.process(name).thaw()

    @When("the side of {string} is started again")
    fun startSide(instance: String) {
        val target = Site.target(instance)
        fleet.startSide(target)
        fleet.awaitCondition("side of $instance") { fleet.get("${target.adminUrl}/healthz") != null }
    }

    @When("the target of {string} is started again")
    fun startTarget(instance: String) = fleet.startTarget(Site.target(instance))

    @When("entry {int} is started again")
    fun startEntry(number: Int) {
        fleet.startEntry(Site.entry(number))
        fleet.awaitReady(Site.entry(number))
    }

    @When("the log is out")
    fun startLogOutage() = fleet.setFaults(fleet.logUrl, """{"outage": true}""")

    @When("the log is back")
    fun endLogOutage() = fleet.setFaults(fleet.logUrl, "{}")

    @When("the log takes {int} ms longer for each call")
    fun slowLog(millis: Int) = fleet.setFaults(fleet.logUrl, """{"slowMillis": $millis}""")

    @When("the instance list takes {int} ms longer for each call")
    fun slowInstanceList(millis: Int) = fleet.listUrls.forEach { fleet.setFaults(it, """{"slowMillis": $millis}""") }

    @When("the log loses the answers of the next {int} appends")
    fun loseAppendAnswers(count: Int) = fleet.setFaults(fleet.logUrl, """{"loseAnswers": $count}""")

    @When("the process on {string} is cut off from the log")
    fun cutOffFromLog(instance: String) = fleet.relays.toLog(instance).cut()

    @When("the process on {string} reaches the log again")
    fun reconnectToLog(instance: String) = fleet.relays.toLog(instance).heal()

    @When("data centres {string} and {string} are cut from each other")
    fun partitionDataCentres(first: String, second: String) = fleet.relays.between(first, second).forEach { it.cut() }

    @When("data centres {string} and {string} reach each other again")
    fun reconnectDataCentres(first: String, second: String) = fleet.relays.between(first, second).forEach { it.heal() }

    @When("open connections to the side of {string} go silent")
    fun silenceConnections(instance: String) = fleet.relays.toSide(Site.target(instance)).forEach { it.silenceOpenConnections() }

    @When("open connections to the side of {string} are reset")
    fun resetConnections(instance: String) = fleet.relays.toSide(Site.target(instance)).forEach { it.resetOpenConnections() }

    @When("operator {string} takes data centre {string} {word}")
    fun setDataCentre(operator: String, name: String, direction: String) {
        val result = fleet.runOperatorCommand("datacentre", direction, name, "--operator", fleet.operatorSettingsFile(operator))
        assertEquals(0, result.exitCode, result.text)
    }

    @When("operators take data centre {string} out and in together from the same version")
    fun appendRacingChanges(name: String) {
        val item = ConfigItem(ConfigItemKind.DATA_CENTRE, name)
        val base = ConfigState().versionOf(item)
        fleet.appendChange(ConfigChange.SetDataCentre("race-out", base, "ann", name, inService = false))
        fleet.appendChange(ConfigChange.SetDataCentre("race-in", base, "ben", name, inService = true))
    }

    @When("the change of data centre {string} that lost is appended again")
    fun appendLosingChangeAgain(name: String) {
        fleet.appendChange(
            ConfigChange.SetDataCentre("race-in", ConfigState().versionOf(ConfigItem(ConfigItemKind.DATA_CENTRE, name)), "ben", name, true),
        )
    }

    @When("{int} changes of instance {string} are appended")
    fun appendInstanceChanges(count: Int, instance: String) {
        repeat(count) {
            val version = fleet.itemVersion(ConfigItem(ConfigItemKind.INSTANCE, instance))
            fleet.appendChange(ConfigChange.SetInstance("many-$it", version, "ann", instance, inService = it % 2 == 1))
            Thread.sleep(50)
        }
    }

    @When("the instance list calls {string} leaving")
    fun publishAsLeaving(instance: String) {
        Site.target(instance).phase = "LEAVING"
        fleet.publishInstances()
    }

    @Then("within 4 s data centre {string} is out in every running process")
    fun assertOutEverywhere(name: String) =
        fleet.awaitCondition("data centre $name to be out everywhere", PROPAGATION_TIMEOUT_MILLIS) {
            fleet.dumps().all { it.contains("\"dataCentresOut\":[\"$name\"]") }
        }

    @Then("within 4 s every running process has the same configuration")
    fun assertSameConfigurationEverywhere() =
        fleet.awaitCondition("the same configuration everywhere", PROPAGATION_TIMEOUT_MILLIS) {
            fleet
                .dumps()
                .map { Regex("\"configVersion\":(-?\\d+)").find(it)?.value }
                .toSet()
                .size == 1
        }

    @Then("data centre {string} is out in no process of data centre {string}")
    fun assertNotOutIn(name: String, of: String) =
        fleet.adminUrls { it == of }.forEach { assertFalse(isOut(name, it), "$it applies a change that cannot have reached it") }

    @Then("within 4 s data centre {string} is out in every process outside data centre {string}")
    fun assertOutOutside(name: String, cutOff: String) =
        fleet.awaitCondition("data centre $name to be out outside $cutOff", PROPAGATION_TIMEOUT_MILLIS) {
            fleet.adminUrls { it != cutOff }.all { isOut(name, it) }
        }

    private fun isOut(name: String, adminUrl: String): Boolean {
        val dump = checkNotNull(fleet.get("$adminUrl/dump")) { "$adminUrl does not answer" }
        return "\"$name\"" in dump.substringAfter("\"dataCentresOut\":[").substringBefore("]")
    }

    @Then("data centre {string} is still out in every running process after {int} ms")
    fun assertStillOut(name: String, millis: Int) {
        val deadlineNanos = System.nanoTime() + millis * 1_000_000L
        while (System.nanoTime() < deadlineNanos) {
            fleet.dumps().forEach { assertTrue(it.contains("\"dataCentresOut\":[\"$name\"]"), it) }
            Thread.sleep(100)
        }
    }

    @Then("the process {string} still runs")
    fun assertRunning(name: String) = assertTrue(fleet.isRunning(name), "$name exited: ${fleet.process(name).outputText().takeLast(400)}")

    @Then("the process {string} has ended with exit code {int}")
    fun assertExited(name: String, code: Int) {
        assertTrue(fleet.process(name).awaitExit(20_000), "$name is still running")
        assertEquals(code, fleet.process(name).exitCode, fleet.process(name).outputText().takeLast(400))
    }

    @When("the process {string} is asked to stop")
    fun terminate(name: String) = fleet.process(name).terminate()
}

/** Returns the admin URLs of the entries and sides in the data centres for which [isIncluded] returns true. */
internal fun Fleet.adminUrls(isIncluded: (String) -> Boolean): List<String> =
    entries.filter { isIncluded(it.dataCentre) }.map { it.adminUrl } + targets.filter { isIncluded(it.dataCentre) }.map { it.adminUrl }

/** Returns the state dumps of the entries and sides that answer. */
internal fun Fleet.dumps(): List<String> = (entries.map { it.adminUrl } + targets.map { it.adminUrl }).mapNotNull { get("$it/dump") }

package io.jaybeam.scenarios

import io.cucumber.java.Before
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import io.jaybeam.core.ticket.decodeTicketOrNull
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private const val REPLY_TIMEOUT_SECONDS = 60L

/** Steps that send bookings, check the replies and count how often each booking ran. */
internal class BookingSteps {
    private class Booking(
        val options: CallOptions,
    ) {
        val replies = mutableListOf<CompletableFuture<Reply>>()
    }

    private val fleet get() = Site.fleet
    private val bookingByName = LinkedHashMap<String, Booking>()
    private val sequentialReplies = mutableListOf<Reply>()
    private val caller = Caller()

    @Before
    fun reset() {
        bookingByName.clear()
        sequentialReplies.clear()
    }

    @When("the booking services answer after {int} ms")
    fun delayAnswers(millis: Int) = setFaults("""{"delayMillis": $millis}""")

    @When("the booking services answer 503 with Retry-After 0")
    fun answerUnavailable() = setFaults("""{"status": 503, "retryAfter": "0"}""")

    @When("target {string} says in its answers that it leaves")
    fun answerLeaving(instance: String) = fleet.setFaults(Site.target(instance).targetUrl, """{"isLeaving": true}""")

    @When("target {string} answers 503 with Retry-After {int}")
    fun answerPausing(instance: String, seconds: Int) =
        fleet.setFaults(Site.target(instance).targetUrl, """{"status": 503, "retryAfter": "$seconds"}""")

    @When("{int} bookings are sent one after the other through each entry")
    fun sendOneAfterTheOther(count: Int) =
        fleet.entries.indices.forEach { entry ->
            repeat(count) { sequentialReplies += caller.book(Site.entry(entry + 1).url, CallOptions(bookingName = "b$entry-$it")) }
        }

    @Then("all but {int} of them are answered with status 200, and target {string} ran at most {int}")
    fun assertAnsweredElsewhere(failures: Int, instance: String, runs: Int) {
        val failed = sequentialReplies.filter { it !is Reply.Whole || it.status != 200 }
        assertTrue(failed.size <= failures, "$failed")
        val counts = checkNotNull(fleet.get("${Site.target(instance).targetUrl}/control/runs"))
        val total = Regex(":(\\d+)").findAll(counts).sumOf { it.groupValues[1].toInt() }
        assertTrue(total <= runs, "$instance ran $counts")
    }

    @When("the booking services cut their answers after {int} bytes")
    fun cutAnswers(bytes: Int) = setFaults("""{"cutAfterBytes": $bytes}""")

    @When("booking {string} is sent with a ticket through entry {int}")
    fun sendWithTicket(name: String, entry: Int) {
        send(name, CallOptions(ticket = ticketFrom(entry), bookingName = name), entry)
    }

    @When("a ticket for booking {string} is taken through entry {int}")
    fun takeTicket(name: String, entry: Int) {
        bookingByName[name] = Booking(CallOptions(ticket = ticketFrom(entry), bookingName = name))
    }

    @When("entry {int} is started again and asked for a ticket for booking {string} as soon as it is ready")
    fun startAndTakeTicket(entry: Int, name: String) {
        val restarted = Site.entry(entry)
        fleet.startEntry(restarted)
        fleet.awaitCondition(restarted.instance) { fleet.get("${restarted.adminUrl}/readyz") != null }
        takeTicket(name, entry)
    }

    @When("booking {string} is sent with neither ticket nor key through entry {int}")
    fun sendWithoutTicketOrKey(name: String, entry: Int) = send(name, CallOptions(bookingName = name), entry)

    @When("booking {string} is sent with a key through entry {int}")
    fun sendWithKey(name: String, entry: Int) = send(name, CallOptions(idempotencyKey = newIdempotencyKey(), bookingName = name), entry)

    @When("booking {string} is sent with a key through every entry together")
    fun sendThroughEveryEntry(name: String) {
        val options = CallOptions(idempotencyKey = newIdempotencyKey(), bookingName = name)
        fleet.entries.indices.forEach { send(name, options, it + 1) }
    }

    @When("booking {string} is sent again through entry {int}")
    fun sendAgain(name: String, entry: Int) = send(name, bookingByName.getValue(name).options, entry)

    @When("booking {string} is sent again through entry {int} with a deadline of {int} ms")
    fun sendAgainWithDeadline(name: String, entry: Int, deadlineMillis: Int) {
        val booking = bookingByName.getValue(name)
        booking.replies += sendAsync(booking.options.copy(deadlineMillis = deadlineMillis.toLong()), entry)
    }

    @When("booking {string} is sent again through entry {int} with an unknown price tier")
    fun sendAgainWithUnknownTier(name: String, entry: Int) {
        val booking = bookingByName.getValue(name)
        booking.replies += sendAsync(booking.options.copy(tier = "no-such-tier"), entry)
    }

    @When("the side that may first run booking {string} is {word}")
    fun disruptFirstSide(name: String, action: String) {
        val side = fleet.process("side-${firstMemberInstance(name)}")
        when (action) {
            "killed" -> side.kill()
            "frozen" -> side.freeze()
            "thawed" -> side.thaw()
            else -> error("unknown action $action; use killed, frozen or thawed")
        }
    }

    @When("open connections to the side that may first run booking {string} go silent")
    fun silenceFirstSide(name: String) = SiteSteps().silenceConnections(firstMemberInstance(name))

    @When("the side that may first run booking {string} is started again")
    fun restartFirstSide(name: String) = SiteSteps().startSide(firstMemberInstance(name))

    @When("every booking target is taken {word} of service")
    fun setAllOutOfService(direction: String) = setBookingTargets(direction)

    @When("every booking target is taken {word} service")
    fun setAllIntoService(direction: String) = setBookingTargets(direction)

    @When("{int} bookings are sent through entry 1, and the side that may first run each is killed at a moment of its own")
    fun killAtDifferentTimes(count: Int) {
        repeat(count) { index ->
            val name = "moment-$index"
            takeTicket(name, entry = 1)
            if (index > 0) sendAgain(name, entry = 1)
            Thread.sleep(index * KILL_DELAY_STEP_MILLIS)
            disruptFirstSide(name, "killed")
            sendAgain(name, entry = 2)
            restartFirstSide(name)
            sendAgain(name, entry = 1)
            bookingByName.getValue(name).replies.forEach { it.get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        }
    }

    @Then("some bookings ran and some did not")
    fun assertSomeRan() {
        val runs = bookingByName.keys.map { fleet.bookingRunCount(it) }
        assertTrue(runs.any { it > 0 } && runs.any { it == 0 }, "runs $runs: every kill came before the run, or every kill after it")
    }

    @Then("reply {int} to booking {string} is whole")
    fun assertComplete(number: Int, name: String) {
        val reply = assertIs<Reply.Whole>(reply(name, number))
        assertTrue("\"booking\":\"$name\"" in reply.body, reply.body)
    }

    @Then("reply {int} to booking {string} has status {int}")
    fun assertStatus(number: Int, name: String, status: Int) = assertEquals(status, assertIs<Reply.Whole>(reply(name, number)).status)

    @Then("reply {int} to booking {string} says {string}")
    fun assertRefusedWith(number: Int, name: String, outcome: String) =
        assertEquals(outcome, assertIs<Reply.Refused>(reply(name, number)).outcome)

    @Then("reply {int} to booking {string} is cut or says {string}")
    fun assertCutOrRefusedWith(number: Int, name: String, outcome: String) {
        val reply = reply(name, number)
        if (reply !is Reply.Cut) assertEquals(outcome, assertIs<Reply.Refused>(reply).outcome)
    }

    @Then("every reply to booking {string} is whole")
    fun assertAllComplete(name: String) {
        bookingByName
            .getValue(name)
            .replies.indices
            .forEach { assertComplete(it + 1, name) }
    }

    @Then("every reply to booking {string} is the same answer")
    fun assertSameAnswer(name: String) {
        val bodies =
            bookingByName
                .getValue(name)
                .replies.indices
                .map { assertIs<Reply.Whole>(reply(name, it + 1)).body }
        assertEquals(1, bodies.toSet().size, "$bodies")
    }

    @Then("booking {string} ran {int} time(s)")
    fun assertRan(name: String, times: Int) = assertEquals(times, fleet.bookingRunCount(name))

    @Then("booking {string} ran at most {int} time(s)")
    fun assertRanAtMost(name: String, times: Int) =
        assertTrue(fleet.bookingRunCount(name) <= times, "$name ran ${fleet.bookingRunCount(name)} times")

    @Then("every booking ran at most once, and none of which \"not run\" was said")
    fun assertEachRanAtMostOnce() {
        bookingByName.forEach { (name, booking) ->
            val runs = fleet.bookingRunCount(name)
            assertTrue(runs <= 1, "$name ran $runs times")
            val replies = booking.replies.map { it.get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
            if (replies.any { it is Reply.Refused && it.outcome == "not run" }) assertEquals(0, runs, "$name: $replies")
        }
    }

    private fun firstMemberInstance(name: String): String {
        val ticket = decodeTicketOrNull(checkNotNull(bookingByName.getValue(name).options.ticket))
        return checkNotNull(ticket).members.first().instance
    }

    private fun setBookingTargets(direction: String) {
        fleet.targets.filter { it.service == PLAIN_SERVICE }.forEach { fleet.setInstance(it.instance, inService = direction == "into") }
        Thread.sleep(PROPAGATION_MILLIS)
    }

    private fun ticketFrom(entry: Int) = checkNotNull(caller.ticketOrNull(Site.entry(entry).url)) { "no ticket was issued" }

    private fun send(name: String, options: CallOptions, entry: Int) {
        bookingByName.getOrPut(name) { Booking(options) }.replies += sendAsync(options, entry)
    }

    private fun sendAsync(options: CallOptions, entry: Int): CompletableFuture<Reply> {
        val url = Site.entry(entry).url
        return CompletableFuture.supplyAsync { caller.book(url, options) }
    }

    private fun reply(name: String, number: Int): Reply =
        bookingByName.getValue(name).replies[number - 1].get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS)

    private fun setFaults(json: String) =
        fleet.targets.filter { it.service == PLAIN_SERVICE }.forEach { fleet.setFaults(it.targetUrl, json) }
}

private const val KILL_DELAY_STEP_MILLIS = 10L
private const val PROPAGATION_MILLIS = 1_500L

/** Returns an idempotency key: a UUID of version 7. */
internal fun newIdempotencyKey(): String {
    val random = UUID.randomUUID()
    val high = (System.currentTimeMillis() shl 16) or 0x7000L or (random.mostSignificantBits and 0xFFFL)
    return UUID(high, random.leastSignificantBits).toString()
}

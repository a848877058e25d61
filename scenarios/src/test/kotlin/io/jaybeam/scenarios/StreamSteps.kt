package io.jaybeam.scenarios

import io.cucumber.java.After
import io.cucumber.java.Before
import io.cucumber.java.en.Given
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

private const val REPLY_TIMEOUT_SECONDS = 90L
private const val EXIT_TIMEOUT_MILLIS = 30_000L
private const val KILLER_REQUEST_MARKER = "POISON"

/** Steps that stream chat completions and check the replies. */
internal class StreamSteps {
    private val fleet get() = Site.fleet
    private val caller = Caller()
    private var load: LoadGenerator? = null
    private var tokens = 0
    private val backgroundReplies = mutableListOf<CompletableFuture<Reply>>()
    private var requestsBeforeStreams = 0
    private val callerByEntry = ConcurrentHashMap<String, Caller>()
    private val wrongReplies = ConcurrentLinkedQueue<Reply.Whole>()

    @Before
    fun reset() {
        load = null
        backgroundReplies.clear()
    }

    @After(order = 20_000)
    fun stopLoad() {
        load?.stop()
    }

    @Given("{int} callers stream answers of {int} tokens")
    fun streamAnswers(callers: Int, tokens: Int) {
        this.tokens = tokens
        load = LoadGenerator(callers) { chatAndVerify(readyEntry(it), "question ${it % 30} of the desk") }.start()
    }

    private fun chatAndVerify(entry: EntryInstance, prompt: String): Reply {
        val reply = callerFor(entry).chat(entry.url, prompt, tokens)
        if (reply is Reply.Whole && !reply.isCompleteStream(prompt, tokens)) wrongReplies += reply
        return reply
    }

    @When("{int} callers stream {int} answers of {int} tokens in the background through entry {int}")
    fun streamInBackground(
        callers: Int,
        answers: Int,
        tokens: Int,
        entry: Int,
    ) {
        this.tokens = tokens
        repeat(callers * answers) {
            backgroundReplies +=
                CompletableFuture.supplyAsync { chatAndVerify(Site.entry(entry), "long answer $it") }
        }
        Thread.sleep(STREAM_START_MILLIS)
    }

    @When("{int} callers stream {int} answers through entry {int}")
    fun streamThroughEntry(callers: Int, answers: Int, entry: Int) {
        requestsBeforeStreams = fleet.requestsReceivedIn(fleet.plan.dataCentres.first())
        repeat(callers * answers) { assertIs<Reply.Whole>(caller.chat(Site.entry(entry).url, "short $it", 5)) }
    }

    @When("a client asks entry {int} for {int} tokens and never reads")
    fun requestWithoutReading(entry: Int, tokens: Int) {
        val body = """{"model":"$MODEL_SERVICE","messages":[],"max_tokens":$tokens,"stream":true}"""
        val socket = Socket(InetAddress.getLoopbackAddress(), Site.entry(entry).callerPort)
        val head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nJaybeam-Organisation: slow\r\nContent-Length: ${body.length}\r\n\r\n"
        socket.getOutputStream().write((head + body).encodeToByteArray())
        socket.getOutputStream().flush()
    }

    @When("every side is stopped and started again in turn")
    fun restartSidesInTurn() {
        fleet.targets.forEach { target ->
            val process = fleet.process("side-${target.instance}")
            process.terminate()
            assertTrue(process.awaitExit(EXIT_TIMEOUT_MILLIS), "${process.name} did not exit")
            assertEquals(0, process.exitCode, process.outputText().takeLast(400))
            SiteSteps().startSide(target.instance)
            fleet.entries.forEach { fleet.awaitReady(it) }
        }
    }

    @When("every entry is stopped and started again in turn")
    fun restartEntriesInTurn() {
        fleet.entries.forEachIndexed { index, entry ->
            val process = fleet.process(entry.instance)
            process.terminate()
            assertTrue(process.awaitExit(EXIT_TIMEOUT_MILLIS), "${process.name} did not exit")
            assertEquals(0, process.exitCode, process.outputText().takeLast(400))
            SiteSteps().startEntry(index + 1)
        }
    }

    @When("entry {int} is started and asked to stop as soon as it runs")
    fun startAndStopOnFirstEvent(number: Int) {
        val entry = Site.entry(number)
        val before = startCount(entry)
        fleet.startEntry(entry)
        fleet.awaitCondition("a first log event") { startCount(entry) > before }
        fleet.process(entry.instance).terminate()
    }

    @When("entry {int} is started and asked to stop as soon as its port is open")
    fun startAndStopOnOpenPort(number: Int) {
        val entry = Site.entry(number)
        fleet.startEntry(entry)
        val deadlineNanos = System.nanoTime() + EXIT_TIMEOUT_MILLIS * 1_000_000
        while (!isListening(entry.callerPort)) check(System.nanoTime() < deadlineNanos) { "caller port of ${entry.instance} did not open" }
        fleet.process(entry.instance).terminate()
    }

    private fun isListening(port: Int): Boolean =
        try {
            Socket(InetAddress.getLoopbackAddress(), port).use { true }
        } catch (e: IOException) {
            false
        }

    private fun startCount(entry: EntryInstance) =
        fleet
            .process(entry.instance)
            .outputText()
            .split("PROCESS_STARTED")
            .size

    @When("the target of {string} falls back into cold start")
    fun fallBackIntoColdStart(instance: String) = fleet.setFaults(Site.target(instance).targetUrl, """{"fallBackCold": true}""")

    @When("the killer request is sent {int} times through every entry in turn")
    fun sendKillerRequest(times: Int) {
        repeat(times) { caller.chat(fleet.entryUrl(it), "please $KILLER_REQUEST_MARKER now", 5, CallOptions(organisation = "careless")) }
    }

    @Then("at most {int} targets have fallen")
    fun assertAtMostCrashed(count: Int) {
        val crashed = fleet.targets.filter { !fleet.isRunning("target-${it.instance}") }.map { it.instance }
        assertTrue(crashed.isNotEmpty(), "the killer request crashed no target, so the scenario proves nothing")
        assertTrue(crashed.size <= count, "crashed: $crashed")
    }

    @Then("the innocents sent together with the killer are served")
    fun assertOthersServed() {
        checkNotNull(load).stop()
        repeat(30) { assertIs<Reply.Whole>(caller.chat(fleet.entryUrl(it), "question $it of the desk", 5)) }
    }

    @Then("after {int} ms no new work reaches data centre {string} for {int} ms")
    fun assertNoNewWorkIn(afterMillis: Int, dataCentre: String, forMillis: Int) =
        assertCountUnchanged(afterMillis, forMillis) { fleet.requestsReceivedIn(dataCentre) }

    @Then("after {int} ms no new work reaches target {string} for {int} ms")
    fun assertNoNewWorkAt(afterMillis: Int, instance: String, forMillis: Int) =
        assertCountUnchanged(afterMillis, forMillis) { fleet.requestsReceivedAt(Site.target(instance)) }

    @Then("within 4 s new work reaches data centre {string}")
    fun assertNewWork(dataCentre: String) {
        val before = fleet.requestsReceivedIn(dataCentre)
        fleet.awaitCondition("new work in data centre $dataCentre", 4_000) { fleet.requestsReceivedIn(dataCentre) > before }
    }

    @Then("no work reached data centre {string} since the last change")
    fun assertNoWorkSinceChange(dataCentre: String) = assertEquals(requestsBeforeStreams, fleet.requestsReceivedIn(dataCentre))

    @Then("no streamed answer failed, and each was whole and its own")
    fun assertNoStreamFailed() {
        load?.stop()?.let { stopped ->
            assertEquals(emptyList(), stopped.failures.take(3))
            assertNotEquals(0, stopped.completeCount.get(), "no answer was streamed")
        }
        assertEquals(emptyList(), wrongReplies.take(1), "answers that ended cleanly but were incomplete or belonged to another request")
        backgroundReplies.forEach { assertIs<Reply.Whole>(it.get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS)) }
    }

    @Then("some streamed answers were whole")
    fun assertSomeStreamsComplete() = assertNotEquals(0, checkNotNull(load).stop().completeCount.get())

    @Then("the streamed answer ended as a visible error")
    fun assertVisibleError() {
        val reply = backgroundReplies.single().get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        assertIs<Reply.Cut>(reply, "$reply".take(300))
        assertTrue("[DONE]" !in reply.partial)
        assertTrue("event: error" in reply.partial, reply.partial.takeLast(300))
    }

    private fun assertCountUnchanged(afterMillis: Int, forMillis: Int, count: () -> Int) {
        Thread.sleep(afterMillis.toLong())
        val before = count()
        assertNotEquals(0, before, "no request had arrived before, so the scenario proves nothing")
        Thread.sleep(forMillis.toLong())
        assertEquals(before, count())
    }

    /**
     * Returns a ready entry for request number [sequence], and drops the connections to entries that are not ready, as the
     * platform's balancer does. In a trace, a caller that kept such a connection sent on it 2 s after the entry had closed it.
     */
    private fun readyEntry(sequence: Int): EntryInstance {
        val (ready, notReady) = fleet.entries.partition { fleet.get("${it.adminUrl}/readyz") != null }
        notReady.forEach { callerByEntry[it.instance] = Caller() }
        return if (ready.isEmpty()) fleet.entries[sequence % fleet.entries.size] else ready[sequence % ready.size]
    }

    private fun callerFor(entry: EntryInstance) = callerByEntry.computeIfAbsent(entry.instance) { Caller() }
}

private const val STREAM_START_MILLIS = 400L

/** Returns the number of requests that the model targets in [dataCentre] have received. */
internal fun Fleet.requestsReceivedIn(dataCentre: String): Int =
    targets.filter { it.dataCentre == dataCentre && it.service == MODEL_SERVICE }.sumOf { requestsReceivedAt(it) }

/** Returns the number of requests that [target] has received. */
internal fun Fleet.requestsReceivedAt(target: TargetInstance): Int {
    val report = get("${target.targetUrl}/control/report").orEmpty()
    return Regex("\"requests\":(\\d+)")
        .find(report)
        ?.groupValues
        ?.get(1)
        ?.toInt() ?: 0
}

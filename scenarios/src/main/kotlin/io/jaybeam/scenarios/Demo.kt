/*
 * The main job, shown: a whole site, real requests, a booking, and a data centre that leaves and returns.
 */
package io.jaybeam.scenarios

import kotlin.time.TimeSource

private const val CALLERS = 12
private const val TOKENS = 20
private const val LOAD_MILLIS = 4_000L
private const val MOVE_LOAD_MILLIS = 6_000L

/** Runs the demonstration and returns an exit code. */
internal fun demonstrate(plan: FleetPlan): Int {
    val started = TimeSource.Monotonic.markNow()
    Fleet(plan) { println("  ... $it") }.use { fleet ->
        println("jaybeam: ${plan.entries} entries, ${plan.modelTargets} model targets, ${plan.plainTargets} booking targets")
        fleet.start()
        fleet.publishBundle("second")
        println("ready after ${started.elapsedNow().inWholeSeconds} s")
        val failures = mutableListOf<String>()
        failures += showStreams(fleet)
        failures += showBooking(fleet)
        failures += showDataCentreMove(fleet)
        println("  ... stopping every process gracefully")
        failures += fleet.stopGracefully().map { "$it did not exit with 0" }
        println(if (failures.isEmpty()) "result: every promise shown held" else "result: FAILED\n  ${failures.joinToString("\n  ")}")
        return if (failures.isEmpty()) 0 else 1
    }
}

/** The platform's balancer: entries in turn. */
internal fun Fleet.entryUrl(sequence: Int): String = entries[sequence % entries.size].url

private fun showStreams(fleet: Fleet): List<String> {
    println("  ... streaming answers to $CALLERS callers for ${LOAD_MILLIS / 1_000} s")
    val load = Load(CALLERS) { Caller().chat(fleet.entryUrl(it), "which lens for the pier, question ${it % 40}", TOKENS) }.start()
    Thread.sleep(LOAD_MILLIS)
    load.stop()
    report("streamed answers", load)
    return load.failures.take(1).map { "a streamed answer failed: $it" }
}

private fun showBooking(fleet: Fleet): List<String> {
    val caller = Caller()
    val ticket = caller.ticketOrNull(fleet.entryUrl(0)) ?: return listOf("no ticket was given")
    val options = CallOptions(ticket = ticket, booking = "hold-1")
    val first = caller.book(fleet.entryUrl(0), options)
    val again = caller.book(fleet.entryUrl(1), options)
    val runs = fleet.bookingRuns("hold-1")
    println("booking: sent twice through two entries, ran $runs time(s); same answer both times: ${bodyOf(first) == bodyOf(again)}")
    return if (runs == 1 && bodyOf(first) == bodyOf(again)) emptyList() else listOf("booking ran $runs times: $first, $again")
}

private fun bodyOf(reply: Reply): String? = (reply as? Reply.Whole)?.body

/** Returns how often the booking called [name] ran, over all booking targets. */
internal fun Fleet.bookingRuns(name: String): Int =
    targets.filter { it.service == PLAIN_SERVICE }.sumOf { target ->
        val counts = get("${target.targetUrl}/control/runs").orEmpty()
        Regex("\"${Regex.escape(name)}\":(\\d+)")
            .find(counts)
            ?.groupValues
            ?.get(1)
            ?.toInt() ?: 0
    }

private fun showDataCentreMove(fleet: Fleet): List<String> {
    val name = fleet.plan.dataCentres.first()
    val load = Load(CALLERS) { Caller().chat(fleet.entryUrl(it), "engraving text, question ${it % 40}", TOKENS) }.start()
    println("  ... taking data centre $name out and back in under load")
    val out = fleet.operate("datacentre", "out", name, "--operator", fleet.operatorFile("desk"))
    val outMark = TimeSource.Monotonic.markNow()
    fleet.awaitTrue("data centre $name to be empty") { fleet.inFlightIn(name) == 0 }
    val emptyMillis = outMark.elapsedNow().inWholeMilliseconds
    Thread.sleep(MOVE_LOAD_MILLIS / 2)
    val back = fleet.operate("datacentre", "in", name, "--operator", fleet.operatorFile("desk"))
    val inMark = TimeSource.Monotonic.markNow()
    fleet.awaitTrue("data centre $name to carry load") { fleet.inFlightIn(name) > 0 }
    val loadedMillis = inMark.elapsedNow().inWholeMilliseconds
    Thread.sleep(MOVE_LOAD_MILLIS / 2)
    load.stop()
    report("answers during the move", load)
    println("data centre $name: empty $emptyMillis ms after \"out\" returned, loaded again $loadedMillis ms after \"in\" returned")
    val failures = load.failures.take(1).map { "an answer failed during the move: $it" }
    return failures + listOf(out, back).filter { it.exitCode != 0 }.map { "operator's command failed: ${it.text}" }
}

private fun report(title: String, load: Load) {
    val first = listOf(50.0, 95.0, 99.0).joinToString(" / ") { "%.0f".format(load.firstByteMillis(it)) }
    val total = listOf(50.0, 95.0, 99.0).joinToString(" / ") { "%.0f".format(load.totalMillis(it)) }
    println("$title: ${load.whole.get()} whole, ${load.failures.size} failed; p50/p95/p99 ms to first byte $first, to the end $total")
}

/*
 * Demonstration: starts a site, streams answers, sends a booking twice, and takes a data centre out of service and back in.
 */
package io.jaybeam.scenarios

import kotlin.time.TimeSource

private const val CALLERS = 12
private const val TOKENS = 20
private const val STREAM_LOAD_MILLIS = 4_000L
private const val MOVE_LOAD_MILLIS = 6_000L

/** Runs the demonstration and returns the exit code: 0 if every check passed. */
internal fun runDemo(plan: FleetPlan): Int {
    val startedAt = TimeSource.Monotonic.markNow()
    Fleet(plan) { println("  ... $it") }.use { fleet ->
        println("jaybeam: ${plan.entries} entries, ${plan.modelTargets} model targets, ${plan.plainTargets} booking targets")
        fleet.start()
        fleet.publishBundle("second")
        println("ready after ${startedAt.elapsedNow().inWholeSeconds} s")
        val failures = mutableListOf<String>()
        failures += showStreams(fleet)
        failures += showBooking(fleet)
        failures += showDataCentreMove(fleet)
        println("  ... stopping every process gracefully")
        failures += fleet.stopGracefully().map { "$it did not exit with 0" }
        println(if (failures.isEmpty()) "result: all checks passed" else "result: FAILED\n  ${failures.joinToString("\n  ")}")
        return if (failures.isEmpty()) 0 else 1
    }
}

/** Returns the URL of the entry for request number [sequence]; entries take turns, as with the platform's balancer. */
internal fun Fleet.entryUrl(sequence: Int): String = entries[sequence % entries.size].url

private fun showStreams(fleet: Fleet): List<String> {
    println("  ... streaming answers to $CALLERS callers for ${STREAM_LOAD_MILLIS / 1_000} s")
    val load = LoadGenerator(CALLERS) { Caller().chat(fleet.entryUrl(it), "which lens for the pier, question ${it % 40}", TOKENS) }.start()
    Thread.sleep(STREAM_LOAD_MILLIS)
    load.stop()
    printLatencies("streamed answers", load)
    return load.failures.take(1).map { "a streamed answer failed: $it" }
}

private fun showBooking(fleet: Fleet): List<String> {
    val caller = Caller()
    val ticket = caller.ticketOrNull(fleet.entryUrl(0)) ?: return listOf("no ticket was issued")
    val options = CallOptions(ticket = ticket, bookingName = "hold-1")
    val first = caller.book(fleet.entryUrl(0), options)
    val repeated = caller.book(fleet.entryUrl(1), options)
    val runs = fleet.bookingRunCount("hold-1")
    println("booking: sent twice through two entries, ran $runs time(s); same answer both times: ${bodyOf(first) == bodyOf(repeated)}")
    return if (runs == 1 && bodyOf(first) == bodyOf(repeated)) emptyList() else listOf("booking ran $runs times: $first, $repeated")
}

private fun bodyOf(reply: Reply): String? = (reply as? Reply.Whole)?.body

/** Returns how often booking [name] ran, summed over all booking targets. */
internal fun Fleet.bookingRunCount(name: String): Int =
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
    val load = LoadGenerator(CALLERS) { Caller().chat(fleet.entryUrl(it), "engraving text, question ${it % 40}", TOKENS) }.start()
    println("  ... taking data centre $name out and back in under load")
    val out = fleet.runOperatorCommand("datacentre", "out", name, "--operator", fleet.operatorSettingsFile("desk"))
    val outReturnedAt = TimeSource.Monotonic.markNow()
    fleet.awaitCondition("data centre $name to be empty") { fleet.inFlightRequests(name) == 0 }
    val emptyMillis = outReturnedAt.elapsedNow().inWholeMilliseconds
    Thread.sleep(MOVE_LOAD_MILLIS / 2)
    val back = fleet.runOperatorCommand("datacentre", "in", name, "--operator", fleet.operatorSettingsFile("desk"))
    val inReturnedAt = TimeSource.Monotonic.markNow()
    fleet.awaitCondition("data centre $name to carry load") { fleet.inFlightRequests(name) > 0 }
    val loadedMillis = inReturnedAt.elapsedNow().inWholeMilliseconds
    Thread.sleep(MOVE_LOAD_MILLIS / 2)
    load.stop()
    printLatencies("answers during the move", load)
    println("data centre $name: empty $emptyMillis ms after \"out\" returned, loaded again $loadedMillis ms after \"in\" returned")
    val failures = load.failures.take(1).map { "an answer failed during the move: $it" }
    return failures + listOf(out, back).filter { it.exitCode != 0 }.map { "operator command failed: ${it.text}" }
}

private fun printLatencies(title: String, load: LoadGenerator) {
    val firstByte = listOf(50.0, 95.0, 99.0).joinToString(" / ") { "%.0f".format(load.firstByteMillis(it)) }
    val lastByte = listOf(50.0, 95.0, 99.0).joinToString(" / ") { "%.0f".format(load.totalMillis(it)) }
    println(
        "$title: ${load.completeCount.get()} complete, ${load.failures.size} failed; " +
            "p50/p95/p99 ms to first byte $firstByte, to last byte $lastByte",
    )
}

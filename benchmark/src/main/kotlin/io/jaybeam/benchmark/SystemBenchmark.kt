/*
 * Latency and throughput of the real processes next to a direct baseline from the same run, memory and CPU use when idle, and
 * the time from appending a change until it is in force.
 */
package io.jaybeam.benchmark

import io.jaybeam.scenarios.CallOptions
import io.jaybeam.scenarios.Caller
import io.jaybeam.scenarios.Fleet
import io.jaybeam.scenarios.FleetPlan
import io.jaybeam.scenarios.LoadGenerator
import io.jaybeam.scenarios.MODEL_SERVICE
import io.jaybeam.scenarios.lastLogOffset
import io.jaybeam.scenarios.setInstance
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.TimeSource

private const val WARM_UP_CALLERS = 32
private const val FIRST_WARM_UP_MILLIS = 10_000L
private const val WARM_UP_MILLIS = 2_000L
private const val MEASURE_MILLIS = 5_000L
private const val IDLE_MILLIS = 10_000L
private const val CHANGE_COUNT = 10
private const val KILOBYTES_PER_MEGABYTE = 1_024
private val percentiles = listOf(50.0, 95.0, 99.0)

/** Starts a site of the default size and prints the results. */
internal fun benchmarkSystem() {
    Fleet(FleetPlan(), ::println).use { fleet ->
        fleet.start()
        measureResources(fleet)
        measurePropagation(fleet)
        println("measuring plain calls")
        measurePlainCalls(fleet)
        println("measuring streamed answers")
        measureStreams(fleet)
    }
}

private fun measureResources(fleet: Fleet) {
    val names = listOf("entry-1", "entry-2", "side-model-1", "side-booking-1")
    val before = names.map { cpuMillis(fleet.process(it).pid) }
    Thread.sleep(IDLE_MILLIS)
    val rows =
        names.mapIndexed { index, name ->
            val pid = fleet.process(name).pid
            val percent = (cpuMillis(pid) - before[index]) * 100.0 / IDLE_MILLIS
            listOf(name, "${residentKilobytes(pid) / KILOBYTES_PER_MEGABYTE}", "256", format(percent), "3.9")
        }
    val columns = listOf("process", "resident MB", "budget MB", "% of a core", "budget %")
    printTable("Memory and processor at rest, 15 links an entry", columns, rows)
}

/** Returns the CPU time that process [pid] has used, in milliseconds. */
private fun cpuMillis(pid: Long): Long =
    ProcessHandle
        .of(pid)
        .get()
        .info()
        .totalCpuDuration()
        .get()
        .toMillis()

private fun residentKilobytes(pid: Long): Long {
    val line = Files.readAllLines(Path.of("/proc/$pid/status")).first { it.startsWith("VmRSS:") }
    return line.filter { it.isDigit() }.toLong()
}

private fun measurePropagation(fleet: Fleet) {
    val adminUrls = fleet.entries.map { it.adminUrl } + fleet.targets.map { it.adminUrl }
    val millis =
        List(CHANGE_COUNT) { index ->
            val startedAt = TimeSource.Monotonic.markNow()
            fleet.setInstance("idle-instance", inService = index % 2 == 1)
            val expected = fleet.lastLogOffset()
            fleet.awaitCondition("the change to be in force on every process") {
                adminUrls.all { (fleet.get("$it/dump") ?: "").contains("\"configVersion\":$expected") }
            }
            startedAt.elapsedNow().inWholeMilliseconds
        }.sorted()
    val row = listOf("${adminUrls.size}", "${millis[CHANGE_COUNT / 2]}", "${millis.last()}", "4000")
    printTable("From append to in force on every process, polled", listOf("processes", "median ms", "slowest ms", "target ms"), listOf(row))
}

private fun measurePlainCalls(fleet: Fleet) {
    val caller = Caller()
    val directUrl = fleet.targets.first { it.service != MODEL_SERVICE }.targetUrl
    val entryUrl = fleet.entries.first().url
    val options = CallOptions(bookingName = "bench")
    val warmUp = LoadGenerator(WARM_UP_CALLERS) { caller.post("$entryUrl/services/booking/bookings", "{}", options) }.start()
    Thread.sleep(FIRST_WARM_UP_MILLIS)
    warmUp.stop()
    val rows =
        listOf(1, 8, 32).flatMap { callers ->
            listOf(
                measureRow("direct to the target", callers) { caller.post("$directUrl/bookings", "{}", options) },
                measureRow("through one entry, not repeatable", callers) {
                    caller.post("$entryUrl/services/booking/bookings", "{}", options)
                },
                measureRow("direct to the target, again", callers) { caller.post("$directUrl/bookings", "{}", options) },
            )
        }
    printTable("Plain calls", listOf("path", "callers", "p50 ms", "p95 ms", "p99 ms", "calls/s", "failed"), rows)
}

private fun measureStreams(fleet: Fleet) {
    val caller = Caller()
    val directUrl = fleet.targets.first { it.service == MODEL_SERVICE }.targetUrl
    val entryUrl = fleet.entries.first().url
    val rows =
        listOf(
            measureRow("direct to one engine", callers = 8) { caller.chat(directUrl, "question ${it % 20}", TOKENS) },
            measureRow("through one entry, 12 engines", callers = 8) { caller.chat(entryUrl, "question ${it % 20}", TOKENS) },
            measureRow("through one entry, 12 engines", callers = 64) { caller.chat(entryUrl, "question ${it % 20}", TOKENS) },
        )
    printTable("Streamed answers of $TOKENS tokens", listOf("path", "callers", "p50 ms", "p95 ms", "p99 ms", "answers/s", "failed"), rows)
}

private const val TOKENS = 20

private fun measureRow(name: String, callers: Int, send: (Int) -> io.jaybeam.scenarios.Reply): List<String> {
    LoadGenerator(callers, send).start().also { Thread.sleep(WARM_UP_MILLIS) }.stop()
    val load = LoadGenerator(callers, send).start()
    Thread.sleep(MEASURE_MILLIS)
    load.stop()
    val rate = load.completeCount.get() * 1_000.0 / MEASURE_MILLIS
    return listOf(name, "$callers") + percentiles.map { format(load.totalMillis(it)) } + listOf(format(rate, 0), "${load.failures.size}")
}

/*
 * Latency and throughput of the real processes beside a direct baseline in the same run, memory at rest, and the time
 * from publishing to in force.
 */
package io.jaybeam.benchmark

import io.jaybeam.scenarios.CallOptions
import io.jaybeam.scenarios.Caller
import io.jaybeam.scenarios.Fleet
import io.jaybeam.scenarios.FleetPlan
import io.jaybeam.scenarios.Load
import io.jaybeam.scenarios.MODEL_SERVICE
import io.jaybeam.scenarios.logEnd
import io.jaybeam.scenarios.setInstance
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.TimeSource

private const val WARM_CALLERS = 32
private const val FIRST_WARM_MILLIS = 10_000L
private const val WARM_MILLIS = 2_000L
private const val MEASURE_MILLIS = 5_000L
private const val REST_MILLIS = 10_000L
private const val CHANGES = 10
private const val KILOBYTES_PER_MEGABYTE = 1_024
private val percents = listOf(50.0, 95.0, 99.0)

/** Starts a site of today's size and prints the tables. */
internal fun benchmarkSystem() {
    Fleet(FleetPlan(), ::println).use { fleet ->
        fleet.start()
        memory(fleet)
        inForce(fleet)
        println("measuring plain calls")
        plainCalls(fleet)
        println("measuring streamed answers")
        streams(fleet)
    }
}

private fun memory(fleet: Fleet) {
    val names = listOf("entry-1", "entry-2", "side-model-1", "side-booking-1")
    val before = names.map { processorMillis(fleet.process(it).pid) }
    Thread.sleep(REST_MILLIS)
    val rows =
        names.mapIndexed { index, name ->
            val pid = fleet.process(name).pid
            val percent = (processorMillis(pid) - before[index]) * 100.0 / REST_MILLIS
            listOf(name, "${residentKilobytes(pid) / KILOBYTES_PER_MEGABYTE}", "256", format(percent), "3.9")
        }
    val columns = listOf("process", "resident MB", "budget MB", "% of a core", "budget %")
    printTable("Memory and processor at rest, 15 links an entry", columns, rows)
}

/** Processor time that process [pid] has used, in milliseconds. */
private fun processorMillis(pid: Long): Long =
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

private fun inForce(fleet: Fleet) {
    val admin = fleet.entries.map { it.adminUrl } + fleet.targets.map { it.adminUrl }
    val millis =
        List(CHANGES) { index ->
            val mark = TimeSource.Monotonic.markNow()
            fleet.setInstance("idle-instance", inService = index % 2 == 1)
            val expected = fleet.logEnd()
            fleet.awaitTrue("change in force") { admin.all { (fleet.get("$it/dump") ?: "").contains("\"configVersion\":$expected") } }
            mark.elapsedNow().inWholeMilliseconds
        }.sorted()
    val row = listOf("${admin.size}", "${millis[CHANGES / 2]}", "${millis.last()}", "4000")
    printTable("From append to in force on every process, polled", listOf("processes", "median ms", "slowest ms", "target ms"), listOf(row))
}

private fun plainCalls(fleet: Fleet) {
    val caller = Caller()
    val direct = fleet.targets.first { it.service != MODEL_SERVICE }.targetUrl
    val entry = fleet.entries.first().url
    val options = CallOptions(booking = "bench")
    val warmUp = Load(WARM_CALLERS) { caller.post("$entry/services/booking/bookings", "{}", options) }.start()
    Thread.sleep(FIRST_WARM_MILLIS)
    warmUp.stop()
    val rows =
        listOf(1, 8, 32).flatMap { callers ->
            listOf(
                measured("direct to the target", callers) { caller.post("$direct/bookings", "{}", options) },
                measured("through one entry, not repeatable", callers) { caller.post("$entry/services/booking/bookings", "{}", options) },
                measured("direct to the target, again", callers) { caller.post("$direct/bookings", "{}", options) },
            )
        }
    printTable("Plain calls", listOf("path", "callers", "p50 ms", "p95 ms", "p99 ms", "calls/s", "failed"), rows)
}

private fun streams(fleet: Fleet) {
    val caller = Caller()
    val direct = fleet.targets.first { it.service == MODEL_SERVICE }.targetUrl
    val entry = fleet.entries.first().url
    val rows =
        listOf(
            measured("direct to one engine", callers = 8) { caller.chat(direct, "question ${it % 20}", TOKENS) },
            measured("through one entry, 12 engines", callers = 8) { caller.chat(entry, "question ${it % 20}", TOKENS) },
            measured("through one entry, 12 engines", callers = 64) { caller.chat(entry, "question ${it % 20}", TOKENS) },
        )
    printTable("Streamed answers of $TOKENS tokens", listOf("path", "callers", "p50 ms", "p95 ms", "p99 ms", "answers/s", "failed"), rows)
}

private const val TOKENS = 20

private fun measured(name: String, callers: Int, send: (Int) -> io.jaybeam.scenarios.Reply): List<String> {
    Load(callers, send).start().also { Thread.sleep(WARM_MILLIS) }.stop()
    val load = Load(callers, send).start()
    Thread.sleep(MEASURE_MILLIS)
    load.stop()
    val rate = load.whole.get() * 1_000.0 / MEASURE_MILLIS
    return listOf(name, "$callers") + percents.map { format(load.totalMillis(it)) } + listOf(format(rate, 0), "${load.failures.size}")
}

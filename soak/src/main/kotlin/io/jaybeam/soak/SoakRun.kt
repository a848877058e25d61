/*
 * A run: starts the store, targets, entries and callers, disrupts entries as the schedule says, and ends all that it started.
 */
package io.jaybeam.soak

import java.nio.file.Files
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random

/** Plays the schedule of [settings] and returns what was seen; [progress] gets the schedule first. */
public fun runSoak(settings: SoakSettings, progress: (String) -> Unit): SoakResult {
    settings.recordDirectory.toFile().deleteRecursively()
    Files.createDirectories(settings.recordDirectory)
    return SoakRun(settings, progress).use { it.play() }
}

private class SoakRun(
    private val settings: SoakSettings,
    private val progress: (String) -> Unit,
) : AutoCloseable {
    private val phases = phasesOf(settings.seed, settings.seconds)
    private val record = SoakRecord()
    private val store = StoreStandIn()
    private val isOver = AtomicBoolean()

    private val disruptions = mutableListOf<Thread>()

    @Volatile
    private var phase = phases.first()
    private val targets = List(settings.targetCount) { TargetStandIn("i-${it + 1}", settings.seed, record) { phase } }
    private val ports = EntryPorts()
    private val entries = List(settings.entryCount) { EntryProcess(it + 1, ports, settings, store.address) }
    private val endEntries = Thread { entries.forEach { it.close() } }

    fun play(): SoakResult {
        Runtime.getRuntime().addShutdownHook(endEntries)
        phases.forEach { progress("phase ${it.name}: ${it.disruption} each ${it.intervalMillis} ms") }
        store.write("keyed.op", "config", siteConfig())
        targets.forEach { store.write("keyed.servers", it.id, targetRecord(it.address)) }
        entries.forEach { it.start() }
        awaitReady()
        val workers = listOf(worker { pollReadiness() }) + callers().map { caller -> worker { caller.run(isOver::get) } }
        playPhases()
        isOver.set(true)
        (workers + disruptions).forEach { it.join(WORKER_END_MILLIS) }
        return record.result(entries.flatMap { it.interruptions }.groupingBy { it.disruption }.eachCount())
    }

    private fun callers() = List(settings.entryCount * CALLERS_PER_ENTRY) { SoakCaller(it + 1, settings.seed, entries, record) }

    private fun worker(work: () -> Unit) = thread(isDaemon = true) { work() }

    private fun awaitReady() {
        val deadlineNanos = System.nanoTime() + START_TIMEOUT_NANOS
        while (entries.any { !it.isReady }) {
            check(System.nanoTime() < deadlineNanos) { "entries are not ready after 60 s; see ${settings.recordDirectory}" }
            check(entries.none { it.hasEnded }) { "an entry ended by itself; see ${settings.recordDirectory}" }
            entries.forEach { it.checkReady() }
            Thread.sleep(READY_INTERVAL_MILLIS)
        }
    }

    private fun pollReadiness() {
        while (!isOver.get()) {
            entries.forEach { it.checkReady() }
            reportEnded()
            Thread.sleep(READY_INTERVAL_MILLIS)
        }
    }

    private fun reportEnded() {
        entries.filter { it.hasEnded }.forEach { entry ->
            record.onBroken("ENDED", "none", "${entry.name} ended by itself; see ${settings.recordDirectory}")
            entry.start()
        }
    }

    private fun playPhases() {
        val random = Random(settings.seed)
        val startNanos = System.nanoTime()
        val endNanos = startNanos + settings.seconds * NANOS_PER_SECOND
        while (System.nanoTime() < endNanos) {
            val index = ((System.nanoTime() - startNanos) / NANOS_PER_SECOND / PHASE_SECONDS).toInt()
            phase = phases[index.coerceAtMost(phases.lastIndex)]
            Thread.sleep(phase.intervalMillis)
            disrupt(random)
        }
    }

    /** Disrupts entries that have been ready for a while, so that each process serves before its end. */
    private fun disrupt(random: Random) {
        val settled = entries.filter { it.readyMillis >= MIN_READY_MILLIS }
        val chosen = settled.randomOrNull(random) ?: return
        when (phase.disruption) {
            Disruption.KILL -> restart(chosen) { kill() }
            Disruption.KILL_ALL -> settled.forEach { restart(it) { kill(Disruption.KILL_ALL) } }
            Disruption.STOP -> disruptions += worker { restart(chosen) { stop() } }
            Disruption.PAUSE -> random.nextLong(PAUSE_MILLIS).let { millis -> disruptions += worker { chosen.pause(millis) } }
        }
    }

    private fun restart(entry: EntryProcess, end: EntryProcess.() -> Unit) {
        entry.end()
        entry.start()
    }

    override fun close() {
        isOver.set(true)
        endEntries.run()
        Runtime.getRuntime().removeShutdownHook(endEntries)
        targets.forEach { it.close() }
        store.close()
    }
}

private const val CALLERS_PER_ENTRY = 8
private const val MIN_READY_MILLIS = 800L
private const val READY_INTERVAL_MILLIS = 100L
private const val WORKER_END_MILLIS = 10_000L
private const val PAUSE_MILLIS = 2_500L
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val START_TIMEOUT_NANOS = 60 * NANOS_PER_SECOND

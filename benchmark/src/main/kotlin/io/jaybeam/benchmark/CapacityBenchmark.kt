/*
 * Time and heap per item of the decision code and of the frames, each at several sizes. docs/CAPACITY.md is based on the results.
 */
package io.jaybeam.benchmark

import io.jaybeam.core.admission.QueuedRequest
import io.jaybeam.core.admission.TierQueue
import io.jaybeam.core.config.ChangeSigner
import io.jaybeam.core.config.ChangeVerifier
import io.jaybeam.core.config.ConfigChange
import io.jaybeam.core.config.ConfigRecord
import io.jaybeam.core.config.ConfigState
import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.config.TierClass
import io.jaybeam.core.config.recordJson
import io.jaybeam.core.quarantine.CrashTracker
import io.jaybeam.core.routing.Router
import io.jaybeam.core.routing.TargetSnapshot
import io.jaybeam.core.routing.subsetFor
import io.jaybeam.core.ticket.KeyBinding
import io.jaybeam.core.ticket.KeyBindings
import io.jaybeam.core.ticket.RequestLedger
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.wire.Frame
import io.jaybeam.wire.FrameCodec
import kotlinx.serialization.json.Json
import java.security.KeyPairGenerator
import java.util.UUID
import kotlin.random.Random
import kotlin.system.measureNanoTime

private const val WARM_UP_RUNS = 3
private const val NANOS_PER_MICRO = 1_000.0
private const val GC_PAUSE_MILLIS = 60L

/** Measures every operation and prints the results. */
internal fun benchmarkCapacity() {
    printTable(
        "Capacity slopes",
        listOf("what", "size", "microseconds each", "bytes each"),
        configRows() + ledgerRows() + bindingRows() + routerRows() + subsetRows() + queueRows() + crashRows() + frameRows(),
    )
}

private fun usedHeapBytes(): Long {
    repeat(3) {
        System.gc()
        Thread.sleep(GC_PAUSE_MILLIS)
    }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

/** Returns the result of [create] with the number of heap bytes that it takes. */
private fun <T : Any> measureHeap(create: () -> T): Pair<T, Long> {
    val before = usedHeapBytes()
    val value = create()
    return value to usedHeapBytes() - before
}

private fun microsEach(count: Int, action: () -> Unit): Double {
    repeat(WARM_UP_RUNS) { action() }
    return measureNanoTime(action) / NANOS_PER_MICRO / count
}

private fun slopeRow(
    operation: String,
    size: Int,
    micros: Double?,
    bytes: Double?,
) = listOf(operation, "$size", micros?.let { format(it, 3) } ?: "-", bytes?.let { format(it, 0) } ?: "-")

private fun configRows(): List<List<String>> {
    val keyPair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
    val signer = ChangeSigner("ops", keyPair.private)
    val verifier = ChangeVerifier(mapOf("ops" to keyPair.public))
    return listOf(250, 500, 1_000, 2_000, 4_000).flatMap { size ->
        val records =
            List(size) {
                ConfigRecord.Change(signer.sign(ConfigChange.SetInstance(UUID.randomUUID().toString(), -1, "ann", "instance-$it", false)))
            }
        val replay = {
            records.foldIndexed(
                ConfigState(),
            ) { offset, state, record -> state.applyRecord(offset.toLong(), record, verifier).state }
        }
        val micros = measureNanoTime { replay() } / NANOS_PER_MICRO / size
        val (state, bytes) = measureHeap(replay)
        val snapshot = recordJson.encodeToString(ConfigRecord.serializer(), state.snapshot()).length
        val record = recordJson.encodeToString(ConfigRecord.serializer(), records.first()).length
        listOf(
            slopeRow("configuration: fold one change (items held)", size, micros, bytes.toDouble() / size),
            slopeRow("configuration: snapshot, bytes an item", size, null, snapshot.toDouble() / size),
            slopeRow("configuration: one change in the log", size, null, record.toDouble()),
        )
    }
}

private fun newTicket(index: Int): Ticket {
    val members = List(3) { TargetIncarnation("booking-${(index + it) % 50}", "0b5c4e9a-7d1c-4f0e-9d3c-${100_000_000_000L + it}") }
    return Ticket(UUID(index.toLong(), index.toLong()).toString(), "booking", "org-${index % 100}", 0, members)
}

private fun ledgerRows(): List<List<String>> =
    listOf(5_000, 10_000, 20_000, 40_000).map { size ->
        val self = newTicket(0).members.first()
        val tickets = List(size) { newTicket(0).copy(id = UUID(it.toLong(), 7).toString()) }
        val fill = {
            RequestLedger(self, 600_000, 5_000, size).also { ledger ->
                tickets.forEach {
                    ledger.evaluate(it, "d", 0)
                    ledger.accept(it, "d")
                }
            }
        }
        val (_, bytes) = measureHeap(fill)
        slopeRow("ticket ledger: accept one (tickets held)", size, microsEach(size) { fill() }, bytes.toDouble() / size)
    }

private fun bindingRows(): List<List<String>> =
    listOf(5_000, 10_000, 20_000, 40_000).flatMap { size ->
        val texts = List(size) { Json.encodeToString(KeyBinding.serializer(), KeyBinding("org", "key-$it", "digest", newTicket(it))) }
        val fill = {
            KeyBindings(600_000).also { bindings ->
                texts.forEachIndexed {
                    index,
                    text,
                    ->
                    bindings.applyBatch(index.toLong(), listOf(Json.decodeFromString(KeyBinding.serializer(), text)))
                }
            }
        }
        val (_, bytes) = measureHeap(fill)
        listOf(
            slopeRow("key bindings: decode and fold one (keys held)", size, microsEach(size) { fill() }, bytes.toDouble() / size),
            slopeRow("key bindings: one in the log", size, null, texts.last().length.toDouble()),
        )
    }

private fun targetSnapshots(size: Int) =
    List(size) { TargetSnapshot(TargetIncarnation("model-$it", "a"), "chat", "dc-${it % 38}", 16, it % 16, 0, 100L + it % 400) }

private fun routerRows(): List<List<String>> =
    listOf(16, 64, 256, 1_024).map { size ->
        val router = Router(Random(1))
        val candidates = targetSnapshots(size)
        val pickCount = 20_000 / size + 100
        slopeRow(
            "routing: pick with prefix (targets)",
            size,
            microsEach(pickCount) { repeat(pickCount) { router.pick(candidates, it.toLong()) } },
            null,
        )
    }

private fun subsetRows(): List<List<String>> =
    listOf(500, 1_000, 2_000, 5_000, 10_000).map { size ->
        val names = List(size) { "model-$it" }
        slopeRow("membership: subset of 64 (targets listed)", size, microsEach(size) { subsetFor("entry-1", names, 64) }, null)
    }

private fun queueRows(): List<List<String>> =
    listOf(32, 64, 128, 256).map { size ->
        val tier = PriceTier("urgent", TierClass.URGENT, 1_000, 1)
        val offerAndPollAll = {
            val queue = TierQueue<Int>(size)
            repeat(size) { queue.offer(QueuedRequest(it, "org-${it % 10}", tier, it.toLong())) }
            repeat(size) { queue.poll(0) }
        }
        slopeRow("admission queue: offer and poll one (waiting)", size, microsEach(size, offerAndPollAll), null)
    }

private fun crashRows(): List<List<String>> =
    listOf(1_000, 2_000, 4_000, 8_000).map { size ->
        val fill = { CrashTracker(600_000, size).also { tracker -> tracker.onCrash("c", List(size) { "fingerprint-$it" }, 0) } }
        val (_, bytes) = measureHeap(fill)
        slopeRow("crash ledger: one fingerprint (held)", size, null, bytes.toDouble() / size)
    }

private fun frameRows(): List<List<String>> {
    val frames =
        listOf(
            "heartbeat" to Frame.Heartbeat(28_000_000),
            "load report" to Frame.Load(12, 3, 16, 12.5, false),
            "chunk of one token" to Frame.Chunk("0b5c4e9a-7d1c-4f0e-9d3c-100000000000", 1_000_000, 40, ByteArray(70)),
            "acknowledgement" to Frame.Ack("0b5c4e9a-7d1c-4f0e-9d3c-100000000000", 1_000_000, 41),
        )
    return frames.flatMap { (name, frame) ->
        listOf(1_000, 4_000, 16_000, 64_000).map { size ->
            val bytes = FrameCodec.encode(frame)
            val micros = microsEach(size) { repeat(size) { FrameCodec.decode(FrameCodec.encode(frame)) } }
            slopeRow("frame: encode and decode, $name (frames)", size, micros, bytes.size + 4.0)
        }
    }
}

/*
 * Binds idempotency keys to tickets through the log: the first record of a key wins. Bindings of many
 * requests are appended together.
 */
package io.jaybeam.entry.forward

import io.jaybeam.core.ticket.KeyBinding
import io.jaybeam.core.ticket.KeyBindings
import io.jaybeam.core.ticket.KeyValidity
import io.jaybeam.core.ticket.Ticket
import io.jaybeam.core.ticket.keyValidity
import io.jaybeam.entry.calls.Call
import io.jaybeam.entry.calls.Problem
import io.jaybeam.entry.calls.ProblemOutcome
import io.jaybeam.entry.calls.badRequest
import io.jaybeam.entry.calls.noTarget
import io.jaybeam.entry.calls.outcomeUnknown
import io.jaybeam.runtime.log.LogClient
import io.jaybeam.runtime.log.LogPage
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.time.Clock

/** Name of the log stream that binds keys. */
internal const val BINDINGS_STREAM = "bindings"

/** What came of binding a key. */
internal sealed class BindingResult {
    /** The key is bound to [ticket]. */
    data class Bound(
        val ticket: Ticket,
    ) : BindingResult()

    /** The key is not known to be bound. */
    data class Failed(
        val problem: Problem,
    ) : BindingResult()
}

private const val QUEUE_CAPACITY = 4_096
private const val MAX_BATCH = 512
private const val WAIT_MILLIS = 2_000L
private const val BACKOFF_MILLIS = 200L
private const val BIND_MILLIS = 3_000L
private const val MAX_SKEW_MILLIS = 5_000L
private val batchSerializer = ListSerializer(KeyBinding.serializer())

/** Binds keys for one entry. */
internal class KeyBindingController(
    private val log: LogClient,
    private val mint: TicketMint,
    private val windowMillis: Long,
    private val clock: Clock,
    private val events: EventLog,
) : AutoCloseable {
    private val lock = ReentrantLock()
    private val folded = lock.newCondition()
    private val bindings = KeyBindings(windowMillis)
    private val toAppend = ArrayBlockingQueue<KeyBinding>(QUEUE_CAPACITY)

    @Volatile
    private var caughtUp = false

    @Volatile
    private var reachable = true

    @Volatile
    private var running = true

    /** Number of keys bound. */
    val size: Int get() = lock.withLock { bindings.size }

    fun start() {
        thread(name = "bindings-tail", isDaemon = true) { guarded("bindings-tail", ::tailOnce) }
        thread(name = "bindings-append", isDaemon = true) { guarded("bindings-append", ::appendOnce) }
    }

    /** Returns the ticket to which [key] of the call's organisation is bound, binding it if need be. */
    fun bind(call: Call, key: String): BindingResult {
        val age = keyValidity(key, clock.now().toEpochMilliseconds(), windowMillis, MAX_SKEW_MILLIS)
        if (age != KeyValidity.VALID) return BindingResult.Failed(unusable(age))
        val known = lock.withLock { bindings.find(call.organisation, key) }
        return if (known == null) propose(call, key) else follow(known, call)
    }

    private fun propose(call: Call, key: String): BindingResult {
        val ticket = mint.mintOrNull(call.service, call.organisation)
        if (ticket == null) return BindingResult.Failed(notForwarded(noTargetTakesWork(call.service)))
        if (!caughtUp || !toAppend.offer(KeyBinding(call.organisation, key, call.fingerprint, ticket))) {
            return BindingResult.Failed(notForwarded("the log service is out of reach"))
        }
        val bound = awaitBinding(call, key) ?: return BindingResult.Failed(notForwarded("the log service did not confirm the key in time"))
        return follow(bound, call)
    }

    override fun close() {
        running = false
    }

    private fun follow(binding: KeyBinding, call: Call): BindingResult {
        if (binding.digest == call.fingerprint) return BindingResult.Bound(binding.ticket)
        val problem = badRequest("the Idempotency-Key came before with another request", "use a new key for a new request", status = 422)
        return BindingResult.Failed(problem)
    }

    private fun awaitBinding(call: Call, key: String): KeyBinding? =
        lock.withLock {
            var leftNanos = minOf(BIND_MILLIS, call.remainingMillis()) * 1_000_000
            while (leftNanos > 0) {
                bindings.find(call.organisation, key)?.let { return it }
                leftNanos = folded.awaitNanos(leftNanos)
            }
            bindings.find(call.organisation, key)
        }

    private fun tailOnce() {
        val from = lock.withLock { bindings.nextOffset }
        log.read(BINDINGS_STREAM, from, if (caughtUp) WAIT_MILLIS else 0).fold(
            { error ->
                if (reachable) events.write(LogEvent.BINDINGS_UNREACHABLE, LogField("detail", error.message))
                reachable = false
                caughtUp = false
                Thread.sleep(BACKOFF_MILLIS)
            },
            { page ->
                reachable = true
                fold(page)
            },
        )
    }

    private fun fold(page: LogPage) =
        lock.withLock {
            bindings.skipTo(page.startOffset)
            page.records.forEachIndexed { index, text -> bindings.applyBatch(page.startOffset + index, decode(text)) }
            bindings.expire(clock.now().toEpochMilliseconds())
            if (bindings.nextOffset >= page.nextOffset) caughtUp = true
            folded.signalAll()
        }

    private fun decode(text: String): List<KeyBinding> =
        try {
            Json.decodeFromString(batchSerializer, text)
        } catch (e: SerializationException) {
            emptyList()
        }

    private fun appendOnce() {
        val batch = mutableListOf(toAppend.take())
        toAppend.drainTo(batch, MAX_BATCH)
        log.append(BINDINGS_STREAM, Json.encodeToString(batchSerializer, batch))
    }

    private fun guarded(name: String, action: () -> Unit) {
        while (running) {
            runCatching(action).onFailure {
                events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", name), LogField("detail", it.toString()))
                Thread.sleep(BACKOFF_MILLIS)
            }
        }
    }

    private fun unusable(age: KeyValidity): Problem =
        when (age) {
            KeyValidity.EXPIRED -> {
                outcomeUnknown("the Idempotency-Key is older than ${windowMillis / 1_000} s", "look the outcome up at the service")
            }

            KeyValidity.FROM_THE_FUTURE -> {
                badRequest("the Idempotency-Key is from the future", "correct the caller's clock")
            }

            KeyValidity.NOT_A_UUID_V7, KeyValidity.VALID -> {
                badRequest("the Idempotency-Key is not a UUID of version 7", "make keys as UUIDv7, so that their age is known")
            }
        }

    private fun notForwarded(reason: String): Problem =
        noTarget("this attempt was not forwarded ($reason); an earlier attempt with the same key may have run").copy(
            title = "Not forwarded",
            outcome = ProblemOutcome.UNKNOWN,
            remedy = "send the same request with the same Idempotency-Key again; it runs at most once",
        )
}

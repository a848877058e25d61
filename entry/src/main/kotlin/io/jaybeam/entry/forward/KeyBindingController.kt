/*
 * Binds idempotency keys to tickets through the log. The first binding of a key in the log takes effect. Bindings of
 * several requests are appended as one record.
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

/** Name of the log stream that holds the bindings. */
internal const val BINDINGS_STREAM = "bindings"

/** Result of binding a key. */
internal sealed class BindingResult {
    /** The key is bound to [ticket]. */
    data class Bound(
        val ticket: Ticket,
    ) : BindingResult()

    /** The key could not be bound, or it is unknown whether it is bound. */
    data class Failed(
        val problem: Problem,
    ) : BindingResult()
}

private const val APPEND_QUEUE_CAPACITY = 4_096
private const val MAX_DRAINED_BINDINGS = 512
private const val READ_WAIT_MILLIS = 2_000L
private const val RETRY_DELAY_MILLIS = 200L
private const val BIND_TIMEOUT_MILLIS = 3_000L
private const val MAX_CLOCK_SKEW_MILLIS = 5_000L
private val batchSerializer = ListSerializer(KeyBinding.serializer())

/**
 * Binds the keys of one entry's calls.
 *
 * @property windowMillis maximum age of a key.
 */
internal class KeyBindingController(
    private val log: LogClient,
    private val ticketIssuer: TicketIssuer,
    private val windowMillis: Long,
    private val clock: Clock,
    private val events: EventLog,
) : AutoCloseable {
    private val lock = ReentrantLock()
    private val bindingsChanged = lock.newCondition()
    private val bindings = KeyBindings(windowMillis)
    private val appendQueue = ArrayBlockingQueue<KeyBinding>(APPEND_QUEUE_CAPACITY)

    @Volatile
    private var isCaughtUp = false

    @Volatile
    private var isLogReachable = true

    @Volatile
    private var isRunning = true

    /** Number of bound keys. */
    val size: Int get() = lock.withLock { bindings.size }

    fun start() {
        thread(name = "bindings-tail", isDaemon = true) { runLoop("bindings-tail", ::readPage) }
        thread(name = "bindings-append", isDaemon = true) { runLoop("bindings-append", ::appendBatch) }
    }

    /** Returns the ticket to which [key] of the call's organisation is bound; binds the key if it is new. */
    fun bind(call: Call, key: String): BindingResult {
        val validity = keyValidity(key, clock.now().toEpochMilliseconds(), windowMillis, MAX_CLOCK_SKEW_MILLIS)
        if (validity != KeyValidity.VALID) return BindingResult.Failed(invalidKey(validity))
        val existing = lock.withLock { bindings.find(call.organisation, key) }
        return if (existing == null) bindNewKey(call, key) else resultFor(existing, call)
    }

    private fun bindNewKey(call: Call, key: String): BindingResult {
        val ticket = ticketIssuer.issueOrNull(call.service, call.organisation)
        if (ticket == null) return BindingResult.Failed(notForwarded(noTargetAvailable(call.service)))
        if (!isCaughtUp || !appendQueue.offer(KeyBinding(call.organisation, key, call.fingerprint, ticket))) {
            return BindingResult.Failed(notForwarded("the log service is unreachable"))
        }
        val bound = awaitBinding(call, key) ?: return BindingResult.Failed(notForwarded("the log service did not confirm the key in time"))
        return resultFor(bound, call)
    }

    override fun close() {
        isRunning = false
    }

    private fun resultFor(binding: KeyBinding, call: Call): BindingResult {
        if (binding.digest == call.fingerprint) return BindingResult.Bound(binding.ticket)
        val problem =
            badRequest("the Idempotency-Key was used before for a different request", "use a new key for a new request", status = 422)
        return BindingResult.Failed(problem)
    }

    private fun awaitBinding(call: Call, key: String): KeyBinding? =
        lock.withLock {
            var remainingNanos = minOf(BIND_TIMEOUT_MILLIS, call.remainingMillis()) * 1_000_000
            while (remainingNanos > 0) {
                bindings.find(call.organisation, key)?.let { return it }
                remainingNanos = bindingsChanged.awaitNanos(remainingNanos)
            }
            bindings.find(call.organisation, key)
        }

    private fun readPage() {
        val from = lock.withLock { bindings.nextOffset }
        log.read(BINDINGS_STREAM, from, if (isCaughtUp) READ_WAIT_MILLIS else 0).fold(
            { error ->
                if (isLogReachable) events.write(LogEvent.BINDINGS_UNREACHABLE, LogField("detail", error.message))
                isLogReachable = false
                isCaughtUp = false
                Thread.sleep(RETRY_DELAY_MILLIS)
            },
            { page ->
                isLogReachable = true
                applyPage(page)
            },
        )
    }

    private fun applyPage(page: LogPage) =
        lock.withLock {
            bindings.skipTo(page.startOffset)
            page.records.forEachIndexed { index, text -> bindings.applyBatch(page.startOffset + index, decode(text)) }
            bindings.expire(clock.now().toEpochMilliseconds())
            if (bindings.nextOffset >= page.nextOffset) isCaughtUp = true
            bindingsChanged.signalAll()
        }

    private fun decode(text: String): List<KeyBinding> =
        try {
            Json.decodeFromString(batchSerializer, text)
        } catch (e: SerializationException) {
            emptyList()
        }

    private fun appendBatch() {
        val batch = mutableListOf(appendQueue.take())
        appendQueue.drainTo(batch, MAX_DRAINED_BINDINGS)
        log.append(BINDINGS_STREAM, Json.encodeToString(batchSerializer, batch))
    }

    private fun runLoop(name: String, action: () -> Unit) {
        while (isRunning) {
            runCatching(action).onFailure {
                events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", name), LogField("detail", it.toString()))
                Thread.sleep(RETRY_DELAY_MILLIS)
            }
        }
    }

    private fun invalidKey(validity: KeyValidity): Problem =
        when (validity) {
            KeyValidity.EXPIRED -> {
                outcomeUnknown(
                    "the Idempotency-Key is older than ${windowMillis / 1_000} s",
                    "query the service for the outcome of the request",
                )
            }

            KeyValidity.FROM_THE_FUTURE -> {
                badRequest("the Idempotency-Key was created in the future", "correct the clock that creates the keys")
            }

            KeyValidity.NOT_A_UUID_V7, KeyValidity.VALID -> {
                badRequest(
                    "the Idempotency-Key is not a UUID of version 7",
                    "generate keys as UUIDv7, which contain their time of creation",
                )
            }
        }

    private fun notForwarded(reason: String): Problem =
        noTarget("this attempt was not forwarded ($reason); an earlier attempt with the same key may have run").copy(
            title = "Not forwarded",
            outcome = ProblemOutcome.UNKNOWN,
            remedy = "send the same request with the same Idempotency-Key again; it runs at most once",
        )
}

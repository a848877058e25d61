/*
 * One TCP connection between an entry and a side, by Ktor sockets. A reader and a writer coroutine per link;
 * the writer drains a bounded queue. A link on which nothing arrives within the deadline is closed.
 */
package io.jaybeam.wire

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.TimeSource

/** Receives what happens on a link. Calls come from the link's reader thread and must not block. */
public interface LinkHandler {
    /** A frame arrived. */
    public fun onFrame(link: Link, frame: Frame)

    /** The link is closed; no frame follows. */
    public fun onClosed(link: Link, reason: String)
}

/**
 * Timing of links.
 *
 * @property checkMillis how often a link is checked for silence.
 * @property silenceMillis a link on which nothing arrives for this long is closed.
 */
public data class LinkTiming(
    val checkMillis: Long = 250,
    val silenceMillis: Long = 3_000,
    val connectMillis: Long = 1_000,
)

/** Time between heartbeats on a link, in milliseconds. */
public const val HEARTBEAT_MILLIS: Long = 1_000

private const val QUEUE_FRAMES = 4_096
private const val WIRE_THREADS = 2

/** Owns the threads and sockets of all links of one process. */
public class LinkRuntime(
    internal val timing: LinkTiming = LinkTiming(),
) : AutoCloseable {
    private val threadCount = AtomicInteger()
    private val executor =
        Executors.newFixedThreadPool(WIRE_THREADS) { task ->
            Thread(task, "wire-${threadCount.incrementAndGet()}").apply { isDaemon = true }
        }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(dispatcher + SupervisorJob())
    private val selector = SelectorManager(dispatcher)

    /** Listens on [host] and [port], a handler for each accepted link made by [handlerOf]; returns the bound port. */
    public fun listen(host: String, port: Int, handlerOf: () -> LinkHandler): Int {
        val server: ServerSocket = runBlocking { aSocket(selector).tcp().bind(host, port) { reuseAddress = true } }
        scope.launch {
            while (true) {
                val socket = server.accept()
                SocketLink(socket, handlerOf(), this@LinkRuntime, scope).start()
            }
        }
        return (server.localAddress as InetSocketAddress).port
    }

    /** Connects to [host] and [port]; [onFailed] hears of a failure, [handler] of everything after. */
    public fun connect(
        host: String,
        port: Int,
        handler: LinkHandler,
        onConnected: (Link) -> Unit,
        onFailed: (String) -> Unit,
    ) {
        scope.launch {
            val socket =
                try {
                    withTimeout(timing.connectMillis) { aSocket(selector).tcp().connect(host, port) { noDelay = true } }
                } catch (e: Exception) {
                    onFailed(e.message ?: e.toString())
                    return@launch
                }
            val link = SocketLink(socket, handler, this@LinkRuntime, scope)
            onConnected(link)
            link.start()
        }
    }

    override fun close() {
        scope.cancel()
        selector.close()
        executor.shutdown()
    }
}

/** One open connection to a peer. Thread-safe. */
public interface Link {
    /** Whether the link still takes frames. */
    public val isOpen: Boolean

    /** Queues [frame]; returns false if the link is closed. A link whose queue is full is closed. */
    public fun send(frame: Frame): Boolean

    /** Closes the link at once. */
    public fun close(reason: String)
}

/** A link over a socket: one coroutine reads, one drains the bounded queue, one watches for silence. */
internal class SocketLink(
    private val socket: Socket,
    private val handler: LinkHandler,
    private val runtime: LinkRuntime,
    private val scope: CoroutineScope,
) : Link {
    private val outgoing = Channel<Frame>(QUEUE_FRAMES)
    private val closed = AtomicBoolean()

    @Volatile
    private var heardAt = TimeSource.Monotonic.markNow()

    override val isOpen: Boolean get() = !closed.get()

    override fun send(frame: Frame): Boolean {
        if (closed.get()) return false
        if (outgoing.trySend(frame).isSuccess) return true
        close("its queue of $QUEUE_FRAMES frames is full")
        return false
    }

    override fun close(reason: String) {
        if (!closed.compareAndSet(false, true)) return
        outgoing.close()
        socket.close()
        handler.onClosed(this, reason)
    }

    fun start() {
        scope.launch { guarded("read") { readFrames(socket.openReadChannel()) } }
        scope.launch { guarded("write") { writeFrames(socket.openWriteChannel(autoFlush = false)) } }
        scope.launch { watchSilence() }
    }

    private suspend fun guarded(action: String, block: suspend () -> Unit) {
        try {
            block()
            close("$action ended")
        } catch (e: Exception) {
            close("$action failed: ${e.message}")
        }
    }

    private suspend fun readFrames(input: ByteReadChannel) {
        while (!closed.get()) {
            val size = input.readInt()
            if (size !in 1..MAX_FRAME_BYTES) return close("frame of $size bytes is not within 1..$MAX_FRAME_BYTES")
            val bytes = input.readByteArray(size)
            heardAt = TimeSource.Monotonic.markNow()
            FrameCodec.decode(bytes).fold(
                { return close("${it.problem}; ${it.remedy}") },
                { handler.onFrame(this, it) },
            )
        }
    }

    private suspend fun writeFrames(output: ByteWriteChannel) {
        for (frame in outgoing) {
            write(output, frame)
            while (true) write(output, outgoing.tryReceive().getOrNull() ?: break)
            output.flush()
        }
    }

    private suspend fun write(output: ByteWriteChannel, frame: Frame) {
        val bytes = FrameCodec.encode(frame)
        output.writeInt(bytes.size)
        output.writeFully(bytes)
    }

    private suspend fun watchSilence() {
        while (!closed.get()) {
            delay(runtime.timing.checkMillis)
            val silentMillis = heardAt.elapsedNow().inWholeMilliseconds
            if (silentMillis > runtime.timing.silenceMillis) close("nothing arrived for $silentMillis ms")
        }
    }
}

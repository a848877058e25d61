/*
 * TCP connections between processes, implemented with Ktor sockets. Each link has a reader and a writer coroutine;
 * the writer drains a bounded queue. A link that receives nothing within its idle timeout is closed.
 */
package io.jaybeam.wire

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.TimeSource

/**
 * Receives the events of a link.
 *
 * [onFrame] is called from the link's reader coroutine and [onClosed] from the thread that closes the link; neither may
 * block.
 */
public interface LinkHandler {
    /** Called when a frame was received. */
    public fun onFrame(link: Link, frame: Frame)

    /** Called once when the link was closed; no frame follows. */
    public fun onClosed(link: Link, reason: String)
}

/**
 * Timing of links.
 *
 * @property idleCheckMillis interval between two checks of the idle timeout.
 * @property idleTimeoutMillis time without a received frame after which a link is closed.
 */
public data class LinkTiming(
    val idleCheckMillis: Long = 250,
    val idleTimeoutMillis: Long = 3_000,
    val connectTimeoutMillis: Long = 1_000,
)

/** Interval between heartbeats on a link, in milliseconds. */
public const val HEARTBEAT_INTERVAL_MILLIS: Long = 1_000

private const val MAX_QUEUED_FRAMES = 4_096
private const val IO_THREADS = 2
private const val ACCEPT_RETRY_DELAY_MILLIS = 50L

/**
 * Owns the threads and sockets of all links of one process. [onAcceptFailure] is called with what kept a link from being accepted;
 * others are accepted after it.
 */
public class LinkRuntime(
    internal val timing: LinkTiming = LinkTiming(),
    private val onAcceptFailure: (Throwable) -> Unit = {},
) : AutoCloseable {
    /** Traffic on all links of this runtime. */
    public val traffic: LinkTraffic = LinkTraffic()

    private val threadCount = AtomicInteger()
    private val executor =
        Executors.newFixedThreadPool(IO_THREADS) { task ->
            Thread(task, "wire-${threadCount.incrementAndGet()}").apply { isDaemon = true }
        }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(dispatcher + SupervisorJob())
    internal val selector = SelectorManager(dispatcher)
    private val listeners = CopyOnWriteArrayList<ServerSocket>()

    @Volatile
    private var isClosed = false

    /** Listens on [host] and [port] and returns the bound port. Each accepted link gets a handler from [newHandler]. */
    public fun listen(host: String, port: Int, newHandler: () -> LinkHandler): Int {
        val server: ServerSocket = runBlocking { aSocket(selector).tcp().bind(host, port) { reuseAddress = true } }
        listeners += server
        scope.launch {
            while (true) {
                try {
                    accept(server, newHandler)
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Throwable) {
                    if (isClosed) return@launch
                    onAcceptFailure(e)
                    // A lack of file descriptors lasts for some time.
                    delay(ACCEPT_RETRY_DELAY_MILLIS)
                }
            }
        }
        return (server.localAddress as InetSocketAddress).port
    }

    private suspend fun accept(server: ServerSocket, newHandler: () -> LinkHandler) {
        val socket = server.accept()
        val link =
            try {
                SocketLink(socket, newHandler(), this, scope)
            } catch (e: Throwable) {
                socket.close()
                throw e
            }
        link.start()
    }

    /**
     * Connects to [host] and [port] and returns without waiting for the result.
     *
     * Calls [onFailed] with the reason if the connection fails. Otherwise calls [onConnected], and [handler] receives
     * the events of the link.
     */
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
                    withTimeout(timing.connectTimeoutMillis) { aSocket(selector).tcp().connect(host, port) { noDelay = true } }
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
        isClosed = true
        listeners.forEach { it.close() }
        scope.cancel()
        selector.close()
        executor.shutdown()
    }
}

/** One open connection to a peer. Thread-safe. */
public interface Link {
    /** Whether the link still accepts frames. */
    public val isOpen: Boolean

    /** Queues [frame]; returns false if the link is closed. Closes the link if its queue is full. */
    public fun send(frame: Frame): Boolean

    /** Queues [frame] like any other, without encoding it again. */
    public fun send(frame: SharedFrame): Boolean = send(frame.frame)

    /** Closes the link immediately, without waiting for queued frames to be sent. */
    public fun close(reason: String)
}

/** A link over a socket. One coroutine reads frames, one writes queued frames and one enforces the idle timeout. */
internal class SocketLink(
    private val socket: Socket,
    private val handler: LinkHandler,
    private val runtime: LinkRuntime,
    private val scope: CoroutineScope,
) : Link {
    private val sendQueue = Channel<SharedFrame>(MAX_QUEUED_FRAMES)
    private val isClosed = AtomicBoolean()

    @Volatile
    private var lastReceivedAt = TimeSource.Monotonic.markNow()

    override val isOpen: Boolean get() = !isClosed.get()

    override fun send(frame: Frame): Boolean = send(SharedFrame(frame))

    override fun send(frame: SharedFrame): Boolean {
        if (isClosed.get()) return false
        if (sendQueue.trySend(frame).isSuccess) return true
        close("its send queue of $MAX_QUEUED_FRAMES frames is full")
        return false
    }

    override fun close(reason: String) {
        if (!isClosed.compareAndSet(false, true)) return
        sendQueue.close()
        socket.close()
        handler.onClosed(this, reason)
    }

    fun start() {
        scope.launch { closeAfter("read") { readFrames(socket.openReadChannel()) } }
        scope.launch { closeAfter("write") { writeFrames(SocketWriter(socket, runtime.selector)) } }
        scope.launch { closeWhenIdle() }
    }

    private suspend fun closeAfter(action: String, block: suspend () -> Unit) {
        try {
            block()
            close("$action ended")
        } catch (e: Exception) {
            close("$action failed: ${e.message}")
        } catch (e: Error) {
            close("$action failed: $e")
        }
    }

    private suspend fun readFrames(input: ByteReadChannel) {
        while (!isClosed.get()) {
            val size = input.readInt()
            if (size !in 1..MAX_FRAME_BYTES) return close("frame size of $size bytes is not within 1..$MAX_FRAME_BYTES")
            val bytes = input.readByteArray(size)
            lastReceivedAt = TimeSource.Monotonic.markNow()
            runtime.traffic.onReceived(Int.SIZE_BYTES + size)
            FrameCodec.decode(bytes).fold(
                { return close("${it.problem}; ${it.remedy}") },
                { handler.onFrame(this, it) },
            )
        }
    }

    private suspend fun writeFrames(output: SocketWriter) {
        for (frame in sendQueue) {
            writeFrame(output, frame)
            while (true) writeFrame(output, sendQueue.tryReceive().getOrNull() ?: break)
            output.flush()
        }
    }

    private suspend fun writeFrame(output: SocketWriter, frame: SharedFrame) {
        val bytes = frame.bytes
        output.writeInt(bytes.size)
        output.write(bytes)
        runtime.traffic.onSent(Int.SIZE_BYTES + bytes.size)
    }

    private suspend fun closeWhenIdle() {
        while (!isClosed.get()) {
            delay(runtime.timing.idleCheckMillis)
            val idleMillis = lastReceivedAt.elapsedNow().inWholeMilliseconds
            if (idleMillis > runtime.timing.idleTimeoutMillis) close("nothing arrived for $idleMillis ms")
        }
    }
}

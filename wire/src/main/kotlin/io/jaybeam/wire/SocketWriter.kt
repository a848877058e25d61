/*
 * Writes to a Ktor socket. Ktor's write channel repeats the system call without a pause while the send buffer of the socket is
 * full, so a peer that reads slowly would keep a thread busy. Here the coroutine is suspended until the socket is writable.
 */
package io.jaybeam.wire

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import java.nio.ByteBuffer
import java.nio.channels.WritableByteChannel

private const val BUFFER_BYTES = 16 * 1024

/** Collects bytes and writes them to one socket. Not thread-safe. */
internal class SocketWriter(
    socket: Socket,
    private val selector: SelectorManager,
) {
    private val selectable = socket as Selectable
    private val channel = selectable.channel as WritableByteChannel
    private val buffer = ByteBuffer.allocate(BUFFER_BYTES)

    /** Adds [value] in network byte order. */
    suspend fun writeInt(value: Int) {
        if (buffer.remaining() < Int.SIZE_BYTES) flush()
        buffer.putInt(value)
    }

    /** Adds [bytes], and writes each full buffer to the socket. */
    suspend fun write(bytes: ByteArray) {
        var offset = 0
        while (offset < bytes.size) {
            if (!buffer.hasRemaining()) flush()
            val count = minOf(buffer.remaining(), bytes.size - offset)
            buffer.put(bytes, offset, count)
            offset += count
        }
    }

    /** Writes all added bytes to the socket, and waits while it does not take them. */
    suspend fun flush() {
        buffer.flip()
        while (buffer.hasRemaining()) {
            if (channel.write(buffer) == 0) awaitWritable()
        }
        buffer.clear()
    }

    private suspend fun awaitWritable() {
        selectable.interestOp(SelectInterest.WRITE, true)
        try {
            selector.select(selectable, SelectInterest.WRITE)
        } finally {
            selectable.interestOp(SelectInterest.WRITE, false)
        }
    }
}

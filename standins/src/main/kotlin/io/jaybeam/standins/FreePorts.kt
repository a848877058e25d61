/*
 * Ports for the processes and servers of tests.
 *
 * A port is given out before the process that listens on it has started, so several runs on one machine could give out the same one.
 * Each run therefore takes ports from blocks of its own: it owns a block as long as it listens on the first port of the block.
 */
package io.jaybeam.standins

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

private const val BACKLOG = 1

// Below the range from which the operating system assigns ports to outgoing connections.
private const val MIN_PORT = 20_000
private const val BLOCK_SIZE = 100
private const val BLOCK_COUNT = 120

/** Gives out ports of the blocks that this run owns. Thread-safe. */
internal class FreePorts : AutoCloseable {
    private val ownedBlocks = ArrayList<ServerSocket>()
    private var nextPort = 0
    private var blockEnd = 0

    /**
     * Returns a port that nobody listens on and that was not given out before.
     *
     * @throws IllegalStateException if all blocks are owned.
     */
    @Synchronized
    fun next(): Int {
        while (true) {
            if (nextPort >= blockEnd) takeBlock()
            val port = nextPort++
            listenOrNull(port)?.use { return port }
        }
    }

    @Synchronized
    override fun close() = ownedBlocks.forEach { it.close() }

    private fun takeBlock() {
        val firstBlock = Random.nextInt(BLOCK_COUNT)
        repeat(BLOCK_COUNT) {
            val blockStart = MIN_PORT + (firstBlock + it) % BLOCK_COUNT * BLOCK_SIZE
            val owned = listenOrNull(blockStart) ?: return@repeat
            ownedBlocks += owned
            nextPort = blockStart + 1
            blockEnd = blockStart + BLOCK_SIZE
            return
        }
        error("all $BLOCK_COUNT blocks of ports from $MIN_PORT are in use; end other runs of the tests")
    }

    private fun listenOrNull(port: Int): ServerSocket? =
        try {
            ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress())
        } catch (e: IOException) {
            null
        }
}

private val ports = FreePorts()

/** Returns a port that nobody listens on and that this run has not given out before. */
public fun freePort(): Int = ports.next()

/*
 * Ports for the servers of a training run.
 */
package io.jaybeam.runtime

import java.net.ServerSocket

/** Returns [count] different ports that nobody listens on. */
public fun unusedPorts(count: Int): List<Int> {
    // Open all together: a port that was closed again can be assigned once more.
    val sockets = List(count) { ServerSocket(0) }
    return sockets.map { socket -> socket.localPort }.also { sockets.forEach { it.close() } }
}

/*
 * Sockets over which a request is withdrawn when its connection is closed before the answer has ended.
 *
 * After a regular close, the system still delivers what it has taken from the process. A server whose machine was suspended would thereby
 * receive requests whose callers left long ago. A reset discards what is held up on the way.
 */
package io.jaybeam.runtime.http

import java.net.SocketException

/** A socket that resets its connection if it is closed within an exchange. Otherwise the connection ends regularly. */
public open class WithdrawingSocket : BoundedSocket() {
    override fun close() {
        if (isAnswerPending) discardUnsentBytes()
        super.close()
    }

    private fun discardUnsentBytes() {
        try {
            setSoLinger(true, 0)
        } catch (e: SocketException) {
            // The socket was closed meanwhile, or has not been connected.
        }
    }
}

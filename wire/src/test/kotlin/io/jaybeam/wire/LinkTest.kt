package io.jaybeam.wire

import java.io.DataOutputStream
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

internal class LinkTest {
    private class Recorder : LinkHandler {
        val frames = LinkedBlockingQueue<Frame>()
        val closed = LinkedBlockingQueue<String>()

        override fun onFrame(link: Link, frame: Frame) {
            frames += frame
        }

        override fun onClosed(link: Link, reason: String) {
            closed += reason
        }
    }

    private fun <T> LinkedBlockingQueue<T>.soon(): T = assertNotNull(poll(5, TimeUnit.SECONDS))

    @Test
    fun `a garbled peer is closed with a reason and others are served on`() {
        LinkRuntime().use { runtime ->
            val served = Recorder()
            val port = runtime.listen("127.0.0.1", 0) { served }
            val good = Recorder()
            var link: Link? = null
            runtime.connect("127.0.0.1", port, good, { link = it }, { error(it) })
            Socket("127.0.0.1", port).use { socket ->
                DataOutputStream(socket.getOutputStream()).run {
                    writeInt(8)
                    write(ByteArray(8) { -1 })
                    flush()
                }
                assertTrue("not a CBOR frame" in served.closed.soon())
            }
            assertTrue(assertNotNull(link).send(Frame.Heartbeat(7)))
            assertEquals(Frame.Heartbeat(7), served.frames.soon())
        }
    }

    @Test
    fun `a frame larger than allowed closes its link before it is read`() {
        LinkRuntime().use { runtime ->
            val served = Recorder()
            val port = runtime.listen("127.0.0.1", 0) { served }
            Socket("127.0.0.1", port).use { socket ->
                DataOutputStream(socket.getOutputStream()).run {
                    writeInt(MAX_FRAME_BYTES + 1)
                    flush()
                }
                assertTrue("is not within" in served.closed.soon())
            }
        }
    }

    @Test
    fun `a silent peer is closed`() {
        LinkRuntime(LinkTiming(checkMillis = 20, silenceMillis = 100)).use { runtime ->
            val served = Recorder()
            val port = runtime.listen("127.0.0.1", 0) { served }
            Socket("127.0.0.1", port).use {
                assertTrue("nothing arrived" in served.closed.soon())
            }
        }
    }
}

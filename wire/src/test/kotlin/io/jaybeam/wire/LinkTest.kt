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
    private class RecordingHandler : LinkHandler {
        val frames = LinkedBlockingQueue<Frame>()
        val closeReasons = LinkedBlockingQueue<String>()

        override fun onFrame(link: Link, frame: Frame) {
            frames += frame
        }

        override fun onClosed(link: Link, reason: String) {
            closeReasons += reason
        }
    }

    private fun <T> LinkedBlockingQueue<T>.awaitNext(): T = assertNotNull(poll(5, TimeUnit.SECONDS))

    @Test
    fun `a malformed frame closes its link with a reason and leaves other links open`() {
        LinkRuntime().use { runtime ->
            val serverHandler = RecordingHandler()
            val port = runtime.listen("127.0.0.1", 0) { serverHandler }
            val clientHandler = RecordingHandler()
            val links = LinkedBlockingQueue<Link>()
            runtime.connect("127.0.0.1", port, clientHandler, { links += it }, { error(it) })
            Socket("127.0.0.1", port).use { socket ->
                DataOutputStream(socket.getOutputStream()).run {
                    writeInt(8)
                    write(ByteArray(8) { -1 })
                    flush()
                }
                assertTrue("not a CBOR frame" in serverHandler.closeReasons.awaitNext())
            }
            assertTrue(links.awaitNext().send(Frame.Heartbeat(7)))
            assertEquals(Frame.Heartbeat(7), serverHandler.frames.awaitNext())
        }
    }

    @Test
    fun `a frame above the size limit closes its link before the frame is read`() {
        LinkRuntime().use { runtime ->
            val serverHandler = RecordingHandler()
            val port = runtime.listen("127.0.0.1", 0) { serverHandler }
            Socket("127.0.0.1", port).use { socket ->
                DataOutputStream(socket.getOutputStream()).run {
                    writeInt(MAX_FRAME_BYTES + 1)
                    flush()
                }
                assertTrue("is not within" in serverHandler.closeReasons.awaitNext())
            }
        }
    }

    @Test
    fun `a failure while a link is accepted leaves others to be accepted`() {
        LinkRuntime().use { runtime ->
            val serverHandler = RecordingHandler()
            val failures = listOf(IllegalStateException("test"), StackOverflowError("test")).iterator()
            val port = runtime.listen("127.0.0.1", 0) { if (failures.hasNext()) throw failures.next() else serverHandler }
            repeat(2) { Socket("127.0.0.1", port).use { assertEquals(-1, it.also { it.soTimeout = 2_000 }.getInputStream().read()) } }
            val links = LinkedBlockingQueue<Link>()
            runtime.connect("127.0.0.1", port, RecordingHandler(), { links += it }, { error(it) })
            assertTrue(links.awaitNext().send(Frame.Heartbeat(7)))
            assertEquals(Frame.Heartbeat(7), serverHandler.frames.awaitNext())
        }
    }

    @Test
    fun `an error while a frame is handled closes its link`() {
        LinkRuntime().use { runtime ->
            val closeReasons = LinkedBlockingQueue<String>()
            val port =
                runtime.listen("127.0.0.1", 0) {
                    object : LinkHandler {
                        override fun onFrame(link: Link, frame: Frame): Unit = throw StackOverflowError("test")

                        override fun onClosed(link: Link, reason: String) {
                            closeReasons += reason
                        }
                    }
                }
            val links = LinkedBlockingQueue<Link>()
            runtime.connect("127.0.0.1", port, RecordingHandler(), { links += it }, { error(it) })
            links.awaitNext().send(Frame.Heartbeat(7))
            assertTrue("StackOverflowError" in closeReasons.awaitNext())
        }
    }

    @Test
    fun `an idle link is closed`() {
        LinkRuntime(LinkTiming(idleCheckMillis = 20, idleTimeoutMillis = 100)).use { runtime ->
            val serverHandler = RecordingHandler()
            val port = runtime.listen("127.0.0.1", 0) { serverHandler }
            Socket("127.0.0.1", port).use {
                assertTrue("nothing arrived" in serverHandler.closeReasons.awaitNext())
            }
        }
    }
}

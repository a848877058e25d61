package io.jaybeam.entry.targets

import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.runtime.instances.InstanceRole
import io.jaybeam.runtime.instances.ListedInstance
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull

internal class TargetChannelTest {
    private class OpenLink : Link {
        override var isOpen = true

        override fun send(frame: Frame) = isOpen

        override fun close(reason: String) {
            isOpen = false
        }
    }

    private class BlameRecorder : ChannelListener {
        val blamed = mutableListOf<String>()

        override fun onControlFrame(link: Link, frame: Frame) = Unit

        override fun onReplaced(identity: TargetIncarnation, fingerprints: List<String>) {
            blamed += fingerprints
        }

        override fun onLinkClosed(instance: String, reason: String) = Unit
    }

    private val listener = BlameRecorder()
    private val channel =
        TargetChannel(ListedInstance("model-1", InstanceRole.SIDE, "pdx", "127.0.0.1", 1, "chat"), listener)

    private fun link(side: String, target: String?): Link {
        val link = OpenLink()
        channel.connected(link)
        channel.onFrame(link, Frame.Hello(1, TargetIncarnation("model-1", side), "pdx", "chat", 0))
        if (target != null) channel.onFrame(link, Frame.TargetLife(target))
        return link
    }

    private fun send(side: String) {
        val execute =
            Frame.Execute("r", 1, null, "o", "t", "POST", "/", emptyList(), ByteArray(0), "fingerprint", false, 1_000, 0, false)
        assertNotNull(channel.open(TargetIncarnation("model-1", side), execute))
    }

    @Test
    fun `a side that was replaced beside a living target blames no request`() {
        val first = link("first", target = "life-1")
        send("first")
        channel.onClosed(first, "cut")
        val second = link("second", target = null)
        channel.onFrame(second, Frame.TargetLife("life-1"))
        assertEquals(emptyList(), listener.blamed)
    }

    @Test
    fun `a target that died together with its side blames the requests that were in flight`() {
        val first = link("first", target = "life-1")
        send("first")
        channel.onClosed(first, "cut")
        link("second", target = "life-2")
        assertEquals(listOf("fingerprint"), listener.blamed)
    }

    @Test
    fun `a replaced side whose target is not up yet blames nothing until it is`() {
        val first = link("first", target = "life-1")
        send("first")
        channel.onClosed(first, "cut")
        val second = link("second", target = null)
        assertEquals(emptyList(), listener.blamed)
        channel.onFrame(second, Frame.TargetLife("life-2"))
        assertEquals(listOf("fingerprint"), listener.blamed)
    }

    @Test
    fun `a new link takes no work before its side has introduced itself`() {
        val first = link("first", target = "life-1")
        channel.onClosed(first, "nothing arrived")
        channel.connected(OpenLink())
        assertFalse(channel.isUp)
        assertEquals(Reach.DOWN, channel.await(TargetIncarnation("model-1", "first"), timeoutMillis = 10))
    }

    @Test
    fun `a cut connection to the same side blames nothing`() {
        val first = link("first", target = "life-1")
        send("first")
        channel.onClosed(first, "cut")
        link("first", target = "life-2")
        assertEquals(emptyList(), listener.blamed)
    }
}

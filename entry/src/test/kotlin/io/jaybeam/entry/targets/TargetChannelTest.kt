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
    private class FakeLink : Link {
        override var isOpen = true

        override fun send(frame: Frame) = isOpen

        override fun close(reason: String) {
            isOpen = false
        }
    }

    private class SuspectRecorder : ChannelListener {
        val suspects = mutableListOf<String>()

        override fun onControlFrame(link: Link, frame: Frame) = Unit

        override fun onTargetCrashed(identity: TargetIncarnation, fingerprints: List<String>) {
            suspects += fingerprints
        }

        override fun onLinkClosed(instance: String, reason: String) = Unit
    }

    private val listener = SuspectRecorder()
    private val channel =
        TargetChannel(ListedInstance("model-1", InstanceRole.SIDE, "pdx", "127.0.0.1", 1, "chat"), listener)

    private fun openLink(side: String, target: String?): Link {
        val link = FakeLink()
        channel.onConnected(link)
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
    fun `if only the side is replaced, no request is a suspect`() {
        val first = openLink("first", target = "incarnation-1")
        send("first")
        channel.onClosed(first, "read failed")
        val second = openLink("second", target = null)
        channel.onFrame(second, Frame.TargetLife("incarnation-1"))
        assertEquals(emptyList(), listener.suspects)
    }

    @Test
    fun `if the target is replaced together with its side, the requests in flight are suspects`() {
        val first = openLink("first", target = "incarnation-1")
        send("first")
        channel.onClosed(first, "read failed")
        openLink("second", target = "incarnation-2")
        assertEquals(listOf("fingerprint"), listener.suspects)
    }

    @Test
    fun `if the side is replaced, no request is a suspect until the new target is reported`() {
        val first = openLink("first", target = "incarnation-1")
        send("first")
        channel.onClosed(first, "read failed")
        val second = openLink("second", target = null)
        assertEquals(emptyList(), listener.suspects)
        channel.onFrame(second, Frame.TargetLife("incarnation-2"))
        assertEquals(listOf("fingerprint"), listener.suspects)
    }

    @Test
    fun `a new link accepts no work before the Hello frame of its side was received`() {
        val first = openLink("first", target = "incarnation-1")
        channel.onClosed(first, "nothing arrived")
        channel.onConnected(FakeLink())
        assertFalse(channel.isUp)
        assertEquals(Reachability.DOWN, channel.await(TargetIncarnation("model-1", "first"), timeoutMillis = 10))
    }

    @Test
    fun `if the link to the same side is lost, no request is a suspect`() {
        val first = openLink("first", target = "incarnation-1")
        send("first")
        channel.onClosed(first, "read failed")
        openLink("first", target = "incarnation-2")
        assertEquals(emptyList(), listener.suspects)
    }
}

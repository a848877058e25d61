/*
 * A frame for several links. A complete configuration takes a noticeable time to encode, so its bytes are kept.
 */
package io.jaybeam.wire

/** A [frame] that is encoded once, however many links it is sent over. Thread-safe. */
public class SharedFrame(
    /** The frame that is sent. */
    public val frame: Frame,
) {
    internal val bytes: ByteArray by lazy { FrameCodec.encode(frame) }

    /** Encodes the frame now on the calling thread, so that no link has to. */
    public fun encode(): SharedFrame = also { bytes }
}

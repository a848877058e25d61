/*
 * CBOR form of frames.
 */
package io.jaybeam.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Largest frame that is read, in bytes. */
public const val MAX_FRAME_BYTES: Int = 24 * 1024 * 1024

/** Why bytes are not a frame. */
public data class FrameFault(
    val problem: String,
    val remedy: String,
)

/** Encodes and decodes frames. */
public object FrameCodec {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }

    /** Returns the CBOR bytes of [frame]. */
    public fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(Frame.serializer(), frame)

    /** Decodes one frame, or says why [bytes] are none. */
    public fun decode(bytes: ByteArray): Either<FrameFault, Frame> =
        try {
            cbor.decodeFromByteArray(Frame.serializer(), bytes).right()
        } catch (e: SerializationException) {
            malformed(e).left()
        } catch (e: IllegalArgumentException) {
            malformed(e).left()
        } catch (e: IndexOutOfBoundsException) {
            malformed(e).left()
        } catch (e: NegativeArraySizeException) {
            malformed(e).left()
        }

    private fun malformed(e: Exception) =
        FrameFault("frame is not a CBOR frame of protocol version $PROTOCOL_VERSION: ${e.message}", "run the same release on both ends")
}

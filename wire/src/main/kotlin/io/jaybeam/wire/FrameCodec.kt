/*
 * CBOR encoding of frames.
 */
package io.jaybeam.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Maximum size of a received frame, in bytes. */
public const val MAX_FRAME_BYTES: Int = 24 * 1024 * 1024

/** Reason why bytes could not be decoded as a frame. */
public data class FrameError(
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

    /** Decodes one frame, or returns the reason why [bytes] are not a frame. */
    public fun decode(bytes: ByteArray): Either<FrameError, Frame> =
        try {
            cbor.decodeFromByteArray(Frame.serializer(), bytes).right()
        } catch (e: SerializationException) {
            malformedFrame(e).left()
        } catch (e: IllegalArgumentException) {
            malformedFrame(e).left()
        } catch (e: IndexOutOfBoundsException) {
            malformedFrame(e).left()
        } catch (e: NegativeArraySizeException) {
            malformedFrame(e).left()
        }

    private fun malformedFrame(e: Exception) =
        FrameError("bytes are not a CBOR frame of protocol version $PROTOCOL_VERSION: ${e.message}", "run the same release on both ends")
}

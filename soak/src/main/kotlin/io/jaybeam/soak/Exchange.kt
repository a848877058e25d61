/*
 * A request as its caller and as targets saw it, on one clock.
 */
package io.jaybeam.soak

/** A request that a caller sent on the connection to [entry] that it opened at [connectedNanos]. */
internal class SentRequest(
    val id: String,
    val route: SoakRoute,
    val requestLine: String,
    val body: ByteArray,
    val entry: EntryProcess,
    val connectedNanos: Long,
) {
    val sentNanos: Long = System.nanoTime()

    /** Status of the complete answer, or null. */
    @Volatile
    var status: Int? = null

    /** When the connection ended without a complete answer, or null. */
    @Volatile
    var lostNanos: Long? = null
}

/** A request as the target [target] got it, and what it does about it. */
internal class Arrival(
    val id: String,
    val atNanos: Long,
    val target: String,
    val requestLine: String,
    val body: ByteArray,
    val remainingMillis: Long?,
    val behaviour: Behaviour,
) {
    val isRun: Boolean get() = behaviour != Behaviour.NOT_RUN
}

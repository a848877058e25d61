/*
 * Orders to a rank, which carry a fencing token, and their outcomes.
 */
package io.jaybeam.core.rankgroup

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An order to one rank. The rank refuses it in another epoch or after an order with a higher fencing token.
 *
 * @property epoch epoch of the group for which the order was made.
 * @property fence fencing token of the coordinator that sends the order.
 */
@Serializable
public sealed class FencedOrder {
    public abstract val rank: Int
    public abstract val epoch: Long
    public abstract val fence: Long

    /** Raises the rank's fencing token and has no other effect. */
    @Serializable
    @SerialName("c")
    public data class Claim(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
    ) : FencedOrder()

    /** Loads the expert weights that the rank needs for map [version] and does not hold yet. */
    @Serializable
    @SerialName("p")
    public data class Prepare(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val version: Long,
    ) : FencedOrder()

    /** Keeps the rank from beginning [pass] until a [Release] order. */
    @Serializable
    @SerialName("h")
    public data class Hold(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val pass: Long,
    ) : FencedOrder()

    /** Switches to map [version] when [pass] begins. */
    @Serializable
    @SerialName("a")
    public data class Arm(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val version: Long,
        val pass: Long,
    ) : FencedOrder()

    /** Cancels the switch to the armed map [version]. */
    @Serializable
    @SerialName("d")
    public data class Disarm(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val version: Long,
    ) : FencedOrder()

    /** Ends the hold on [pass]. */
    @Serializable
    @SerialName("r")
    public data class Release(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val pass: Long,
    ) : FencedOrder()
}

/** Outcome of an order. */
@Serializable
public enum class OrderOutcome {
    /** The rank has begun to carry out the order, or was already in the requested state. */
    ACCEPTED,

    /** The order does not fit the rank's state, which is unchanged. */
    CONFLICT,

    /** The rank has received a higher fencing token. */
    FENCED,

    /** The rank did not answer; the order may have been carried out, or may be later. */
    UNKNOWN,
}

/**
 * Reply to an order.
 *
 * @property reading state of the rank, read after the order; null if the rank could not be read.
 */
public data class OrderReply(
    val order: FencedOrder,
    val outcome: OrderOutcome,
    val reading: RankReading?,
) {
    /** Whether the rank has received the order's fencing token and was read afterwards. */
    val isAnswered: Boolean get() = outcome != OrderOutcome.UNKNOWN && reading != null
}

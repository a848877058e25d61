/*
 * Orders to a rank under a fencing token, and what becomes of them.
 */
package io.jaybeam.core.rankgroup

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An order to one rank. The rank refuses it in another [epoch] or after a higher [fence]. */
@Serializable
public sealed class FencedOrder {
    public abstract val rank: Int
    public abstract val epoch: Long
    public abstract val fence: Long

    /** Raises the rank's fencing token and changes nothing else. */
    @Serializable
    @SerialName("c")
    public data class Claim(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
    ) : FencedOrder()

    /** Load the weights that map [version] adds. */
    @Serializable
    @SerialName("p")
    public data class Prepare(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val version: Long,
    ) : FencedOrder()

    /** Do not begin [pass] until it is released. */
    @Serializable
    @SerialName("h")
    public data class Hold(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val pass: Long,
    ) : FencedOrder()

    /** Use map [version] from [pass] on. */
    @Serializable
    @SerialName("a")
    public data class Arm(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val version: Long,
        val pass: Long,
    ) : FencedOrder()

    /** Forget the armed map [version]. */
    @Serializable
    @SerialName("d")
    public data class Disarm(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val version: Long,
    ) : FencedOrder()

    /** Begin [pass] after all. */
    @Serializable
    @SerialName("r")
    public data class Release(
        override val rank: Int,
        override val epoch: Long,
        override val fence: Long,
        val pass: Long,
    ) : FencedOrder()
}

/** What became of an order. */
@Serializable
public enum class OrderOutcome {
    /** Begun, or its result is there already. */
    ACCEPTED,

    /** Does not fit the rank's state; nothing changed. */
    CONFLICT,

    /** A higher fencing token has been used on the rank. */
    FENCED,

    /** No answer: it may have been carried out, or may be later. */
    UNKNOWN,
}

/** Answer to an order, with what was read of the rank afterwards; [reading] is null if the rank did not answer. */
public data class OrderReply(
    val order: FencedOrder,
    val outcome: OrderOutcome,
    val reading: RankReading?,
) {
    /** Whether the rank has seen the order's fencing token and was read after that. */
    val isAnswered: Boolean get() = outcome != OrderOutcome.UNKNOWN && reading != null
}

/*
 * Which ticket each idempotency key is bound to: a fold over the bindings stream in which the first
 * record of a key wins. Keys are UUIDv7, so that their age is known without state.
 */
package io.jaybeam.core.ticket

import kotlinx.serialization.Serializable
import java.util.UUID

private const val UUID_VERSION_7 = 7
private const val TIMESTAMP_SHIFT_BITS = 16

/** One record of the bindings stream; several are appended together. */
@Serializable
public data class KeyBinding(
    val organisation: String,
    val key: String,
    val digest: String,
    val ticket: Ticket,
)

/** Whether an idempotency key may be used. */
public enum class KeyAge {
    /** Within the binding window. */
    USABLE,

    /** Not a UUID of version 7. */
    NOT_A_UUID_V7,

    /** Older than the binding window. */
    TOO_OLD,

    /** Further in the future than clocks may differ. */
    FROM_THE_FUTURE,
}

/** Returns whether idempotency key [text] may be used at [nowMillis]. */
public fun keyAge(
    text: String,
    nowMillis: Long,
    windowMillis: Long,
    maxSkewMillis: Long,
): KeyAge {
    val uuid =
        try {
            UUID.fromString(text)
        } catch (e: IllegalArgumentException) {
            return KeyAge.NOT_A_UUID_V7
        }
    val madeAtMillis = uuid.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS
    return when {
        uuid.version() != UUID_VERSION_7 -> KeyAge.NOT_A_UUID_V7
        nowMillis - madeAtMillis > windowMillis -> KeyAge.TOO_OLD
        madeAtMillis - nowMillis > maxSkewMillis -> KeyAge.FROM_THE_FUTURE
        else -> KeyAge.USABLE
    }
}

/** The bindings of all keys within the window. Not thread-safe: one thread owns it. */
public class KeyBindings(
    private val windowMillis: Long,
) {
    private data class ScopedKey(
        val organisation: String,
        val key: String,
    )

    private val bindings = LinkedHashMap<ScopedKey, KeyBinding>()

    /** First offset of the stream that is not folded yet. */
    public var nextOffset: Long = 0
        private set

    /** Number of keys bound. */
    public val size: Int get() = bindings.size

    /** Starts at the stream's first retained offset. */
    public fun startAt(offset: Long) {
        nextOffset = maxOf(nextOffset, offset)
    }

    /** Folds the bindings appended at [offset]; an offset already folded changes nothing. */
    public fun fold(offset: Long, appended: List<KeyBinding>) {
        if (offset < nextOffset) return
        appended.forEach { bindings.putIfAbsent(ScopedKey(it.organisation, it.key), it) }
        nextOffset = offset + 1
    }

    /** Returns the binding of [key], or null if no record bound it yet. */
    public fun find(organisation: String, key: String): KeyBinding? = bindings[ScopedKey(organisation, key)]

    /** Forgets bindings older than the window. */
    public fun expire(nowMillis: Long) {
        bindings.values.removeIf { nowMillis - it.ticket.mintedAtMillis > 2 * windowMillis }
    }
}

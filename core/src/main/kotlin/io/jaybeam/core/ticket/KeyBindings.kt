/*
 * Bindings of idempotency keys to tickets, computed by replaying the bindings stream. The first binding of a key takes
 * effect and later ones are ignored. Keys are UUIDv7, which contain their time of creation, so the age of a key is known
 * without stored state.
 */
package io.jaybeam.core.ticket

import kotlinx.serialization.Serializable
import java.util.UUID

private const val UUID_VERSION_7 = 7
private const val TIMESTAMP_SHIFT_BITS = 16

/**
 * Binds an idempotency key to a ticket. A record of the bindings stream holds a list of bindings.
 *
 * @property organisation the organisation to which the key belongs.
 * @property digest fingerprint of the request for which the key was first used.
 */
@Serializable
public data class KeyBinding(
    val organisation: String,
    val key: String,
    val digest: String,
    val ticket: Ticket,
)

/** Result of validating an idempotency key. */
public enum class KeyValidity {
    /** The key is within the binding window. */
    VALID,

    /** The key is not a UUID of version 7. */
    NOT_A_UUID_V7,

    /** The key is older than the binding window. */
    EXPIRED,

    /** The key was created in the future by more than the permitted clock skew. */
    FROM_THE_FUTURE,
}

/**
 * Validates idempotency key [text] at wall-clock time [nowMillis], in milliseconds since the epoch.
 *
 * A key is valid if it is at most [windowMillis] old and its creation is at most [maxSkewMillis] in the future.
 */
public fun keyValidity(
    text: String,
    nowMillis: Long,
    windowMillis: Long,
    maxSkewMillis: Long,
): KeyValidity {
    val uuid =
        try {
            UUID.fromString(text)
        } catch (e: IllegalArgumentException) {
            return KeyValidity.NOT_A_UUID_V7
        }
    val createdAtMillis = uuid.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS
    return when {
        uuid.version() != UUID_VERSION_7 -> KeyValidity.NOT_A_UUID_V7
        nowMillis - createdAtMillis > windowMillis -> KeyValidity.EXPIRED
        createdAtMillis - nowMillis > maxSkewMillis -> KeyValidity.FROM_THE_FUTURE
        else -> KeyValidity.VALID
    }
}

/**
 * The bindings of all keys within the window. Not thread-safe.
 *
 * @property windowMillis greatest age at which a key can be used.
 */
public class KeyBindings(
    private val windowMillis: Long,
) {
    private data class ScopedKey(
        val organisation: String,
        val key: String,
    )

    private val bindings = LinkedHashMap<ScopedKey, KeyBinding>()

    /** Offset of the next record to apply. */
    public var nextOffset: Long = 0
        private set

    /** Number of bound keys. */
    public val size: Int get() = bindings.size

    /** Skips records before [offset], the first that the stream retains. */
    public fun skipTo(offset: Long) {
        nextOffset = maxOf(nextOffset, offset)
    }

    /** Applies the record at [offset], which holds the bindings in [batch]. Does nothing if it was already applied. */
    public fun applyBatch(offset: Long, batch: List<KeyBinding>) {
        if (offset < nextOffset) return
        batch.forEach { bindings.putIfAbsent(ScopedKey(it.organisation, it.key), it) }
        nextOffset = offset + 1
    }

    /** Returns the binding of [key] in [organisation], or null if the key is not bound. */
    public fun find(organisation: String, key: String): KeyBinding? = bindings[ScopedKey(organisation, key)]

    /** Removes bindings whose tickets were issued more than two windows ago. */
    public fun expire(nowMillis: Long) {
        bindings.values.removeIf { nowMillis - it.ticket.issuedAtMillis > 2 * windowMillis }
    }
}

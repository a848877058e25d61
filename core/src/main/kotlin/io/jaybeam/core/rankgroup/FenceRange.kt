/*
 * Fencing tokens of the coordinators of a rank group.
 *
 * A token consists of the generation of the group's membership, the number of a term within that generation, and a count within
 * that term. The generation alone does not identify a coordinator: a process that restarts before its registration expires is
 * named coordinator again in the same generation. The term number comes from a counter in the store and never repeats, so a later
 * coordinator has higher tokens than all earlier ones, and the versions of maps, which are made of tokens, are unique.
 */
package io.jaybeam.core.rankgroup

private const val TERM_BITS = 8
private const val COUNT_BITS = 12
private const val TERMS_PER_GENERATION = 1L shl TERM_BITS
private const val TOKENS_PER_TERM = 1L shl COUNT_BITS

// Abandoning a change, or finding a pass on hold, takes tokens without a new change.
private const val RESERVED_TOKENS = 64L

/**
 * The fencing tokens of one term.
 *
 * @property first the lowest of them.
 */
public data class FenceRange(
    val first: Long,
) {
    /** Whether no token is left for another map change once [fence] has been used. */
    public fun isUsedUpAt(fence: Long): Boolean = fence - first >= TOKENS_PER_TERM - RESERVED_TOKENS
}

/** Returns the tokens of term [number], counted from 1, in [generation]; null if the generation has no tokens for this term. */
public fun fenceRangeOrNull(generation: Long, number: Long): FenceRange? {
    require(number >= 1) { "number of a term is $number; terms are counted from 1" }
    if (number > TERMS_PER_GENERATION) return null
    return FenceRange((generation shl TERM_BITS + COUNT_BITS) + ((number - 1) shl COUNT_BITS))
}

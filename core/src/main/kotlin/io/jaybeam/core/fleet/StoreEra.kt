/*
 * Positions and numbers of the platform's store that stay in order when the store comes back from an older copy.
 *
 * After such a return, offsets and the generations of groups are given out again. The era, which rises by one with each return, tells them
 * apart. So it is a part of each position and of each number: those of a later era are higher than all earlier ones.
 */
package io.jaybeam.core.fleet

private const val OFFSET_BITS = 40
private const val MAX_OFFSET = (1L shl OFFSET_BITS) - 1

// More changes of a group's membership than a copy that is some seconds old can lack.
private const val NUMBERS_PER_ERA = 4_096L

/**
 * The highest era that can be used. Versions of maps, which are made of numbers of the store, then stay integers that JSON represents
 * exactly.
 */
public const val MAX_STORE_ERA: Long = 2_047L

/** Returns the position of [offset] in a log of the store in [era]; the offset alone in era 0. */
public fun logPosition(era: Long, offset: Long): Long {
    require(era in 0..MAX_STORE_ERA) { "era of the store is $era; it must be within 0..$MAX_STORE_ERA" }
    require(offset in 0..MAX_OFFSET) { "offset in a log is $offset; it must be within 0..$MAX_OFFSET" }
    return (era shl OFFSET_BITS) + offset
}

/** Returns the era of [position]; 0 for the position of a log that has not been read. */
public fun eraOfPosition(position: Long): Long = if (position < 0) 0 else position shr OFFSET_BITS

/** Returns the offset of [position]. */
public fun offsetOfPosition(position: Long): Long = position and MAX_OFFSET

/**
 * Returns the number that stands for [number] of the store in [era], such as a generation; the number itself in era 0. It is higher than
 * all of earlier eras if the store's number fell by fewer than 4,096 with each return.
 */
public fun numberInEra(era: Long, number: Long): Long = era * NUMBERS_PER_ERA + number

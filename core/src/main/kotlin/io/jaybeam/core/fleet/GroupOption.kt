/*
 * What is known of a group when the group of a request is chosen.
 */
package io.jaybeam.core.fleet

/**
 * A group that can be chosen.
 *
 * @property passMillis duration of its passes; 0 if unknown.
 * @property requestCount requests that its ranks run or that wait for them; null if no recent report says so.
 * @property ownStarts requests that this entry has started there since that report.
 * @property ownInFlight requests that this entry has in flight there, which counts where there is no recent report.
 */
public data class GroupOption(
    val group: String,
    val isOpen: Boolean,
    val rankCount: Int,
    val passMillis: Long,
    val requestCount: Int?,
    val ownStarts: Int,
    val ownInFlight: Int,
)

/*
 * State of a rank group as its coordinator knows it, which entries receive so that they can choose a group and a rank.
 */
package io.jaybeam.core.fleet

import kotlinx.serialization.Serializable

/**
 * Load of one rank, as read by the process beside it.
 *
 * @property address address at which the rank takes requests.
 * @property running requests in the current batch.
 * @property waiting requests that wait for a place in the batch.
 * @property usedMemoryTokens tokens in the rank's memory that cannot be dropped.
 * @property totalMemoryTokens size of the rank's memory, in tokens; 0 if unknown.
 * @property slowness time that the rank takes for its work, relative to a sound one; 1 if it is not slow.
 */
@Serializable
public data class RankLoad(
    val address: HostPort,
    val rank: Int,
    val running: Int,
    val waiting: Int,
    val usedMemoryTokens: Long,
    val totalMemoryTokens: Long,
    val slowness: Double,
) {
    /** Requests that the rank runs or that wait for it. */
    val requestCount: Int get() = running + waiting

    /** Returns why the load cannot be used, or null if it can. */
    internal fun faultOrNull(): String? =
        when {
            !isIpAddress(address.host) || address.port !in 1..MAX_PORT -> "a rank's address is not an IP address and a port"
            running !in 0..MAX_REQUESTS || waiting !in 0..MAX_REQUESTS -> "a rank's requests are not within 0..$MAX_REQUESTS"
            usedMemoryTokens < 0 || totalMemoryTokens < 0 -> "a rank's memory is negative"
            !slowness.isFinite() || slowness <= 0 -> "a rank's slowness is not above 0"
            else -> null
        }

    private companion object {
        const val MAX_PORT = 65_535
        const val MAX_REQUESTS = 65_536
    }
}

/**
 * State of one group. Reports of one group are ordered by [term] and, within a term, by [sequence].
 *
 * @property group name of the group, unique in its service.
 * @property epoch incarnation of the group; it changes when the group forms again.
 * @property term increases with each coordinator of the group.
 * @property isOpen whether the group runs passes and takes requests.
 * @property rankCount number of ranks that the group needs; [ranks] holds those that have reported in this epoch.
 * @property passMillis duration of recent passes; 0 if unknown.
 * @property ranks empty if the report states no loads; those of an earlier report of the same epoch then still describe the group.
 */
@Serializable
public data class GroupReport(
    val service: String,
    val group: String,
    val epoch: Long,
    val term: Long,
    val sequence: Long,
    val isOpen: Boolean,
    val rankCount: Int,
    val passMillis: Long,
    val ranks: List<RankLoad>,
) {
    /** Returns why the report cannot be used, or null if it can. Reports of other processes are checked with it. */
    public fun faultOrNull(): String? =
        when {
            !isName(service) || !isName(group) -> "service or group is not of 1 to $MAX_NAME_CHARS visible ASCII characters"
            epoch < 0 || term < 0 || sequence < 0 -> "epoch, term or sequence is negative"
            rankCount !in 1..MAX_RANKS -> "rank count is not within 1..$MAX_RANKS"
            passMillis !in 0..MAX_PASS_MILLIS -> "pass duration is not within 0..$MAX_PASS_MILLIS ms"
            ranks.size > MAX_RANKS -> "more than $MAX_RANKS ranks have a load"
            else -> ranks.firstNotNullOfOrNull { it.faultOrNull() }
        }

    private fun isName(text: String) = text.length in 1..MAX_NAME_CHARS && text.all { it in VISIBLE_ASCII }

    private companion object {
        const val MAX_NAME_CHARS = 255
        val VISIBLE_ASCII = '!'..'~'
        const val MAX_RANKS = 4_096
        const val MAX_PASS_MILLIS = 3_600_000L
    }
}

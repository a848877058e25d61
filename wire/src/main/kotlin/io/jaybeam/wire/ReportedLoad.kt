/*
 * Loads as they are stated in frames.
 */
package io.jaybeam.wire

import io.jaybeam.core.admission.ServiceLoad
import io.jaybeam.core.fleet.HostPort
import io.jaybeam.core.fleet.RankLoad
import io.jaybeam.core.rankgroup.RankStatus
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import kotlin.math.roundToInt

private const val PERCENT = 100.0

/** Load of a rank as read by its side; see [RankLoad]. */
@Serializable
public data class ReportedLoad(
    @CborLabel(1) val running: Int,
    @CborLabel(2) val waiting: Int,
    @CborLabel(3) val usedMemoryTokens: Long,
    @CborLabel(4) val totalMemoryTokens: Long,
    @CborLabel(5) val slownessPercent: Int,
) {
    /** Returns the load of rank number [rank] that takes requests at [address]. */
    public fun toRankLoad(address: HostPort, rank: Int): RankLoad =
        RankLoad(address, rank, running, waiting, usedMemoryTokens, totalMemoryTokens, slownessPercent / PERCENT)
}

/** Returns the load of a rank with [status]. */
public fun reportedLoadOf(status: RankStatus): ReportedLoad =
    ReportedLoad(
        status.running,
        status.waiting,
        status.usedMemoryTokens,
        status.totalMemoryTokens,
        (status.slowness * PERCENT).coerceIn(1.0, PERCENT * PERCENT).roundToInt(),
    )

/** Requests of a service at an entry; see [ServiceLoad]. */
@Serializable
public data class ReportedServiceLoad(
    @CborLabel(1) val service: String,
    @CborLabel(2) val started: List<Int>,
    @CborLabel(3) val waiting: List<Int>,
    @CborLabel(4) val waitingForMillis: Long,
) {
    /** Returns the load as entries keep it. */
    public fun toServiceLoad(): ServiceLoad = ServiceLoad(service, started, waiting, waitingForMillis)
}

/** Returns [load] as it is sent. */
public fun reportedServiceLoadOf(load: ServiceLoad): ReportedServiceLoad =
    ReportedServiceLoad(load.service, load.started, load.waiting, load.waitingForMillis)

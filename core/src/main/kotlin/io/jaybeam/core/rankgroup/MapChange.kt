/*
 * Changes the expert map of a rank group that can switch maps only while its ranks are held. All ranks use the same map in
 * each forward pass.
 *
 * Three rules hold even if orders are lost, repeated or delayed, and whether or not ranks check fencing tokens:
 * - a rank switches only while it is held, only from the version that the order expects and only to a higher version;
 * - no version is ever used twice;
 * - a rank is resumed at a version only after every rank was read at that version.
 *
 * Once all ranks were at a version, no rank can be at a lower one, so running ranks always use the same map.
 */
package io.jaybeam.core.rankgroup

/** Map state that was read from one rank. */
public data class RankMapState(
    val rank: Int,
    val version: Long,
    val preparedVersion: Long,
    val isHeld: Boolean,
)

/**
 * An order to one rank.
 *
 * @property expectedVersion map version that the rank must be at; otherwise it ignores the order.
 */
public sealed class RankOrder {
    public abstract val rank: Int
    public abstract val expectedVersion: Long

    /** Loads the weights of map [version] in addition to those in use. */
    public data class Prepare(
        override val rank: Int,
        override val expectedVersion: Long,
        val version: Long,
    ) : RankOrder()

    /** Begins no further pass until a [Resume] order. */
    public data class Hold(
        override val rank: Int,
        override val expectedVersion: Long,
    ) : RankOrder()

    /** Uses map [version] from the next pass on. */
    public data class Switch(
        override val rank: Int,
        override val expectedVersion: Long,
        val version: Long,
    ) : RankOrder()

    /** Ends a hold. */
    public data class Resume(
        override val rank: Int,
        override val expectedVersion: Long,
    ) : RankOrder()
}

/** Next action after all ranks have been read. */
public sealed class MapChangeAction {
    /** Send these orders, then read the ranks again. */
    public data class Send(
        val orders: List<RankOrder>,
    ) : MapChangeAction()

    /** All ranks run at [version]; nothing is to be done. */
    public data class Settled(
        val version: Long,
    ) : MapChangeAction()

    /** Ranks are at different versions and no version is desired; the caller must choose one that all ranks can switch to. */
    public data object NeedsDesiredVersion : MapChangeAction()
}

/**
 * Returns the next action for ranks in [states] to reach map version [desiredVersion], or to run at their current version
 * if that is null.
 *
 * A desired version below that of any rank is treated as null, because a side process that started later has replaced it.
 */
public fun nextMapChangeAction(states: List<RankMapState>, desiredVersion: Long?): MapChangeAction =
    actionTowards(states, desiredVersion?.takeIf { version -> states.none { it.version > version } })

private fun actionTowards(states: List<RankMapState>, desiredVersion: Long?): MapChangeAction {
    val versions = states.map { it.version }.toSet()
    val commonVersion = versions.singleOrNull()
    if (commonVersion != null && (desiredVersion == null || commonVersion == desiredVersion)) return resumeAt(states, commonVersion)
    if (desiredVersion == null) return MapChangeAction.NeedsDesiredVersion
    val outdated = states.filter { it.version != desiredVersion }
    val unprepared = outdated.filter { it.preparedVersion != desiredVersion }
    if (unprepared.isNotEmpty()) return MapChangeAction.Send(unprepared.map { RankOrder.Prepare(it.rank, it.version, desiredVersion) })
    val runningRanks = states.filter { !it.isHeld }
    if (runningRanks.isNotEmpty()) return MapChangeAction.Send(runningRanks.map { RankOrder.Hold(it.rank, it.version) })
    return MapChangeAction.Send(outdated.map { RankOrder.Switch(it.rank, it.version, desiredVersion) })
}

private fun resumeAt(states: List<RankMapState>, version: Long): MapChangeAction {
    val heldRanks = states.filter { it.isHeld }
    if (heldRanks.isEmpty()) return MapChangeAction.Settled(version)
    return MapChangeAction.Send(heldRanks.map { RankOrder.Resume(it.rank, version) })
}

/**
 * Issues map versions, each of which is used only once.
 *
 * @property fence fencing token of the side process, derived from the log offset of its start record; processes started later
 *   have higher ones.
 */
public class MapVersionSequence(
    public val fence: Long,
) {
    private var issuedCount = 0L

    /** Returns the next version, which is higher than all versions issued by this process or by processes started before it. */
    public fun next(): Long {
        issuedCount += 1
        check(issuedCount < VERSIONS_PER_FENCE) {
            "a side process can issue fewer than $VERSIONS_PER_FENCE map versions; restart it to issue more"
        }
        return fence * VERSIONS_PER_FENCE + issuedCount
    }
}

private const val VERSIONS_PER_FENCE = 1L shl 20

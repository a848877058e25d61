/*
 * How the side beside a rank group changes the expert map without a step in which ranks differ.
 *
 * Three rules hold however orders are lost, repeated or late, and whether or not ranks check fencing numbers:
 * a rank switches only while held, only from the version that the order expects and only to a higher one; no
 * version number is ever used twice; and a rank is told to resume at a version only after every rank was read
 * at that version. Once all ranks were at a version none can be below it, so ranks that run never differ.
 */
package io.jaybeam.core.rankgroup

/** What was read of one rank. */
public data class RankView(
    val rank: Int,
    val version: Long,
    val preparedVersion: Long,
    val held: Boolean,
)

/** An order to one rank, obeyed only while the rank is at version [expected]. */
public sealed class RankOrder {
    public abstract val rank: Int
    public abstract val expected: Long

    /** Load the weights of map [version] beside those in use. */
    public data class Prepare(
        override val rank: Int,
        override val expected: Long,
        val version: Long,
    ) : RankOrder()

    /** Take no step until resumed. */
    public data class Hold(
        override val rank: Int,
        override val expected: Long,
    ) : RankOrder()

    /** Use map [version] from the next step on. */
    public data class Switch(
        override val rank: Int,
        override val expected: Long,
        val version: Long,
    ) : RankOrder()

    /** Take steps again. */
    public data class Resume(
        override val rank: Int,
        override val expected: Long,
    ) : RankOrder()
}

/** What to do after reading all ranks. */
public sealed class MapRound {
    /** Give these orders and read again. */
    public data class Give(
        val orders: List<RankOrder>,
    ) : MapRound()

    /** All ranks run at one version. */
    public data class Settled(
        val version: Long,
    ) : MapRound()

    /** Ranks are at different versions and no goal is set: set one that all can move to. */
    public data object NeedsGoal : MapRound()
}

/**
 * Returns the next round of orders for ranks read as [views], towards map version [goal], or to run as they are.
 *
 * A goal below the version of any rank was overtaken by a later side's and counts as none.
 */
public fun nextMapRound(views: List<RankView>, goal: Long?): MapRound =
    roundTowards(views, goal?.takeIf { wanted -> views.none { it.version > wanted } })

private fun roundTowards(views: List<RankView>, goal: Long?): MapRound {
    val versions = views.map { it.version }.toSet()
    val common = versions.singleOrNull()
    if (common != null && (goal == null || common == goal)) return runAt(views, common)
    if (goal == null) return MapRound.NeedsGoal
    val behind = views.filter { it.version != goal }
    val unprepared = behind.filter { it.preparedVersion != goal }
    if (unprepared.isNotEmpty()) return MapRound.Give(unprepared.map { RankOrder.Prepare(it.rank, it.version, goal) })
    val running = views.filter { !it.held }
    if (running.isNotEmpty()) return MapRound.Give(running.map { RankOrder.Hold(it.rank, it.version) })
    return MapRound.Give(behind.map { RankOrder.Switch(it.rank, it.version, goal) })
}

private fun runAt(views: List<RankView>, version: Long): MapRound {
    val held = views.filter { it.held }
    if (held.isEmpty()) return MapRound.Settled(version)
    return MapRound.Give(held.map { RankOrder.Resume(it.rank, version) })
}

/**
 * Numbers map versions so that none is used twice.
 *
 * @property fence log offset of the side's start record; later sides have higher ones.
 */
public class MapVersions(
    public val fence: Long,
) {
    private var count = 0L

    /** Returns the next version; higher than any of this side or of sides started before it. */
    public fun next(): Long {
        count += 1
        check(count < VERSIONS_PER_FENCE) { "one side process numbers at most $VERSIONS_PER_FENCE map versions; restart it" }
        return fence * VERSIONS_PER_FENCE + count
    }
}

private const val VERSIONS_PER_FENCE = 1L shl 20

/*
 * Changes the expert map of a running rank group between two passes, without a pass in which ranks differ.
 *
 * The new map is prepared on all ranks and armed on all ranks for one pass. That pass is first held on one rank, so no
 * rank can begin it, and released only after every rank was read as armed for it, or after every rank was read as
 * disarmed. Each order carries a fencing token and the group's epoch. To give a change up, the coordinator takes a
 * higher token and disarms with it, after which ranks refuse the earlier orders however late they arrive. A new
 * coordinator first raises the token on every rank and only then reads them.
 *
 * A coordinator that freezes may take the rank on its own machine with it, and must not leave the group on hold. So the
 * coordinator's own rank, the anchor of the change, is armed after all others and disarmed before all others: while any
 * other rank is not armed, the anchor is not armed either and never will be. A new coordinator that reaches all ranks but
 * the anchor, and finds one that is not armed, can therefore disarm those it reaches and release the pass. The version of a
 * map names its anchor.
 */
package io.jaybeam.core.rankgroup

/**
 * Timing of a change.
 *
 * @property leadMillis time that holding, arming and releasing take; a map is armed for a pass that begins after it.
 * @property prepareMillis time after which a change whose weights have not arrived is given up.
 * @property armMillis time after which a change that is not armed everywhere is given up.
 */
public data class MapTiming(
    val leadMillis: Long = 30,
    val prepareMillis: Long = 6_000,
    val armMillis: Long = 600,
)

/**
 * Coordinates one group of [size] ranks; passes are held on [holder], which must be on another machine than [anchor], the
 * rank beside this coordinator, so that one machine that stands still does not block the group.
 *
 * Not thread-safe. [firstFence] must be higher than any that another coordinator has used.
 */
public class ArmedMapChange(
    public val size: Int,
    private val holder: Int,
    private val anchor: Int,
    firstFence: Long,
    private val timing: MapTiming = MapTiming(),
) {
    private val readings = HashMap<Int, RankReading>()
    private val passClock = PassClock()

    /** Token of the next order. */
    public var fence: Long = firstFence
        private set

    /** How far the coordinator is. */
    public var phase: MapPhase = MapPhase.Claiming(firstFence)
        private set

    /** Whether a new map may be proposed. */
    public val isSettled: Boolean get() = phase is MapPhase.Settled && isUniform()

    /** Version in use on all ranks; null where it is not known or ranks await a change. */
    public val mapVersion: Long? get() = if (isSettled) readings.getValue(0).mapVersion else null

    /** Last reading of each rank that is known, by rank. */
    public val known: Map<Int, RankReading> get() = readings

    /** Begins the change to a new map and returns its version, which is higher than any before. */
    public fun propose(nowMillis: Long): Long {
        check(isSettled) { "a change is under way; wait until the coordinator is settled" }
        // Orders of an earlier change that are carried out late are refused from here on.
        fence += 1
        val version = fence * MAX_RANKS + anchor
        phase = MapPhase.Preparing(version, nowMillis)
        return version
    }

    /** Notes what was read of a rank. */
    public fun onReading(reading: RankReading) {
        val before = readings.put(reading.rank, reading)
        if (phase is MapPhase.Deposed) return
        // Ranks forget maps, holds and tokens in a new epoch.
        if (before != null && reading.epoch != before.epoch) phase = MapPhase.Claiming(fence)
    }

    /** Notes the answer to an order. Answers to orders under an earlier token change nothing but the reading. */
    public fun onReply(reply: OrderReply) {
        reply.reading?.let(::onReading)
        if (phase is MapPhase.Deposed || reply.order.fence != fence) return
        if (reply.outcome == OrderOutcome.FENCED) {
            phase = MapPhase.Deposed
            return
        }
        if (reply.order.epoch != readings[reply.order.rank]?.epoch) return
        when (reply.order) {
            is FencedOrder.Claim, is FencedOrder.Disarm -> if (reply.isAnswered) noteAnswered(reply.order)
            is FencedOrder.Prepare -> if (reply.outcome == OrderOutcome.CONFLICT && phase is MapPhase.Preparing) phase = MapPhase.Settled
            is FencedOrder.Hold -> onHoldAnswered(reply.order, reply.outcome)
            is FencedOrder.Arm -> if (reply.outcome == OrderOutcome.CONFLICT && phase is MapPhase.Arming) giveUp()
            is FencedOrder.Release -> Unit
        }
    }

    private fun onHoldAnswered(order: FencedOrder.Hold, outcome: OrderOutcome) {
        val now = phase
        if (now !is MapPhase.Holding || now.pass != order.pass) return
        if (outcome == OrderOutcome.ACCEPTED) phase = MapPhase.Arming(now.version, now.pass, now.sinceMillis)
        // The pass has begun, so nothing is held or armed: a later pass will do.
        if (outcome == OrderOutcome.CONFLICT) phase = MapPhase.Preparing(now.version, now.sinceMillis)
    }

    private fun noteAnswered(order: FencedOrder) {
        val now = phase
        if (now is MapPhase.Claiming && order is FencedOrder.Claim) phase = now.copy(claimed = now.claimed + order.rank)
        if (now is MapPhase.Undoing && order is FencedOrder.Disarm) phase = now.copy(disarmed = now.disarmed + order.rank)
    }

    /** Moves on as far as the readings allow and returns the orders that are due; unanswered ones are due again. */
    public fun ordersDue(nowMillis: Long): List<FencedOrder> {
        if (!isWholeAndOpen()) return if (phase is MapPhase.Claiming && isOpenButForOne()) orders() else emptyList()
        passClock.onPass(readings.values.maxOf { it.lastPass }, nowMillis)
        repeat(MAX_ADVANCES) {
            val before = phase
            advance(nowMillis)
            if (phase == before) return orders()
        }
        return orders()
    }

    private fun advance(nowMillis: Long) {
        when (val now = phase) {
            is MapPhase.Claiming -> if (now.claimed.size == size) phase = afterClaim()
            is MapPhase.Settled -> if (readings.values.any { it.heldPass != null }) giveUp()
            is MapPhase.Preparing -> advancePreparing(now, nowMillis)
            is MapPhase.Holding -> advanceHolding(now, nowMillis)
            is MapPhase.Arming -> advanceArming(now, nowMillis)
            is MapPhase.Releasing -> if (isUniform()) phase = MapPhase.Settled
            is MapPhase.Undoing -> if (now.disarmed.size == size && isUniform()) phase = MapPhase.Settled
            is MapPhase.Deposed -> Unit
        }
    }

    private fun afterClaim(): MapPhase {
        if (isUniform()) return MapPhase.Settled
        val armed =
            readings.values
                .map { it.armed }
                .toSet()
                .singleOrNull()
        if (armed != null && isOneMap()) return MapPhase.Releasing(armed.version, armed.pass)
        return MapPhase.Undoing()
    }

    private fun advancePreparing(now: MapPhase.Preparing, nowMillis: Long) {
        if (readings.values.all { it.preparedVersion == now.version }) {
            val pass = readings.values.maxOf { it.lastPass } + passClock.passesToSkip(timing.leadMillis, nowMillis) + 1
            phase = MapPhase.Holding(now.version, pass, nowMillis)
        } else if (nowMillis - now.sinceMillis > timing.prepareMillis) {
            phase = MapPhase.Settled
        }
    }

    private fun advanceHolding(now: MapPhase.Holding, nowMillis: Long) {
        when {
            readings.getValue(holder).heldPass == now.pass -> phase = MapPhase.Arming(now.version, now.pass, nowMillis)
            nowMillis - now.sinceMillis > timing.armMillis -> giveUp()
        }
    }

    private fun advanceArming(now: MapPhase.Arming, nowMillis: Long) {
        val wanted = ArmedMap(now.version, now.pass)
        when {
            readings.values.all { it.armed == wanted } -> phase = MapPhase.Releasing(now.version, now.pass)
            nowMillis - now.sinceMillis > timing.armMillis -> giveUp()
        }
    }

    private fun giveUp() {
        fence += 1
        phase = MapPhase.Undoing()
    }

    private fun orders(): List<FencedOrder> =
        when (val now = phase) {
            is MapPhase.Claiming -> {
                unclaimed(now.claimed).map { FencedOrder.Claim(it.rank, it.epoch, fence) } + ordersWithoutAnchor(now.claimed)
            }

            is MapPhase.Preparing -> {
                readings.values.filter { it.preparedVersion != now.version }.map {
                    FencedOrder.Prepare(
                        it.rank,
                        it.epoch,
                        fence,
                        now.version,
                    )
                }
            }

            is MapPhase.Holding -> {
                listOf(readings.getValue(holder)).map { FencedOrder.Hold(it.rank, it.epoch, fence, now.pass) }
            }

            is MapPhase.Arming -> {
                unarmed(ArmedMap(now.version, now.pass)).map { FencedOrder.Arm(it.rank, it.epoch, fence, now.version, now.pass) }
            }

            is MapPhase.Releasing -> {
                releases()
            }

            is MapPhase.Undoing -> {
                if (now.disarmed.size < size) disarms(now) else releases()
            }

            is MapPhase.Settled, MapPhase.Deposed -> {
                emptyList()
            }
        }

    /** Returns the ranks to be armed now: the anchor after all others. */
    private fun unarmed(wanted: ArmedMap): List<RankReading> {
        val (anchors, others) = readings.values.filter { it.armed != wanted }.partition { it.rank == anchor }
        return others.ifEmpty { anchors }
    }

    /** Returns orders that end a hold while the anchor of its change does not answer, where that is safe. */
    private fun ordersWithoutAnchor(claimed: Set<Int>): List<FencedOrder> {
        val absent = (0 until size).singleOrNull { it !in claimed } ?: return emptyList()
        val present = claimed.map { readings.getValue(it) }
        val version = present.maxOf { it.preparedVersion }
        val isAnchorUnarmed = anchorOf(version) == absent && present.all { it.mapVersion < version } && present.any { it.armed == null }
        if (!isAnchorUnarmed || present.none { it.heldPass != null }) return emptyList()
        val armed = present.filter { it.armed != null }
        if (armed.isEmpty()) return releases(present)
        return armed.map { FencedOrder.Disarm(it.rank, it.epoch, fence, version) }
    }

    private fun unclaimed(claimed: Set<Int>) = readings.values.filter { it.rank !in claimed }

    /** The anchor of the change before all others. */
    private fun disarms(now: MapPhase.Undoing): List<FencedOrder> {
        val first = anchorOf(readings.values.maxOf { it.preparedVersion })
        val (anchors, others) = unclaimed(now.disarmed).partition { it.rank == first }
        return anchors.ifEmpty { others }.map { FencedOrder.Disarm(it.rank, it.epoch, fence, it.armed?.version ?: it.preparedVersion) }
    }

    private fun releases(ranks: Collection<RankReading> = readings.values): List<FencedOrder> =
        ranks.mapNotNull { reading -> reading.heldPass?.let { FencedOrder.Release(reading.rank, reading.epoch, fence, it) } }

    private fun isWholeAndOpen() = readings.size == size && isOpenInOneEpoch()

    private fun isOpenButForOne() = readings.size == size - 1 && isOpenInOneEpoch()

    private fun isOpenInOneEpoch() =
        readings.values.all { it.isOpen } &&
            readings.values
                .map { it.epoch }
                .toSet()
                .size == 1

    private fun isOneMap() =
        readings.values
            .map { it.mapVersion }
            .toSet()
            .size == 1

    private fun isUniform() = readings.size == size && isOneMap() && readings.values.all { it.armed == null && it.heldPass == null }
}

private const val MAX_ADVANCES = 8

// A version is a token and, in what is left of it, the rank that was the anchor.
private const val MAX_RANKS = 1_024

private fun anchorOf(version: Long): Int = (version % MAX_RANKS).toInt()

/*
 * Changes the expert map of a running rank group between two forward passes, so that all ranks use the same map in each
 * pass.
 *
 * All ranks first load the new map. The coordinator then picks a future pass, holds it on one rank, which keeps the whole
 * group from beginning it, and arms every rank to switch to the map at that pass. It releases the pass once every rank was
 * read as armed, or once every rank was read as disarmed. Each order carries a fencing token and the group's epoch. To
 * abandon a change, the coordinator raises the token and disarms the ranks with it; ranks then refuse all earlier orders,
 * however late they arrive. A new coordinator raises the token on every rank before it relies on what it reads from them.
 *
 * If the coordinator's instance freezes, the rank on that instance may freeze too, and the group must not stay on hold.
 * The coordinator's rank is therefore armed after and disarmed before all other ranks: while any other rank is not armed,
 * the coordinator's rank is not armed and cannot become armed. A new coordinator that reaches all ranks except that one
 * and finds one of them not armed can safely disarm the ranks that it reaches and release the pass. The version of a map
 * encodes the rank of the coordinator that issued it.
 *
 * Where a share of the orders goes unanswered, arming takes several rounds. Preparing asks every rank before anything is held
 * and shows that share, and the pass to switch at is then chosen so much later that unanswered orders can be repeated before it
 * is due ([UnansweredOrders]). Nothing else depends on how late the pass is: it is held and released as before.
 */
package io.jaybeam.core.rankgroup

/**
 * Timing of a map change.
 *
 * @property leadTimeMillis time that holding, arming and releasing take; a map is armed for a pass that begins later than this.
 * @property repeatMillis time after which an order that goes unanswered has been repeated and answered.
 * @property maxLeadTimeMillis longest lead time that is chosen when orders go unanswered. A map that comes later than this is late
 *   for a demand that shifts every few seconds.
 * @property prepareTimeoutMillis time after which a change is abandoned if a rank has not loaded its weights.
 * @property armTimeoutMillis least time after which a change is abandoned if the pass is not held or a rank is not armed.
 */
public data class MapChangeTiming(
    val leadTimeMillis: Long = 30,
    val repeatMillis: Long = 60,
    val maxLeadTimeMillis: Long = 500,
    val prepareTimeoutMillis: Long = 6_000,
    val armTimeoutMillis: Long = 600,
)

/**
 * Coordinates the map changes of one group of [size] ranks.
 *
 * [coordinatorRank] is the rank on the coordinator's own instance. Passes are held on [holdRank], which must be on another
 * instance, so that one frozen instance does not block the group. [firstFence] must be higher than any fencing token that
 * another coordinator has used. Not thread-safe.
 */
public class MapChangeCoordinator(
    public val size: Int,
    private val holdRank: Int,
    private val coordinatorRank: Int,
    firstFence: Long,
    private val timing: MapChangeTiming = MapChangeTiming(),
) {
    private val readings = HashMap<Int, RankReading>()
    private val passStartPredictor = PassStartPredictor()
    private val unansweredOrders = UnansweredOrders()

    /** Fencing token of the next order. */
    public var fence: Long = firstFence
        private set

    /** Current phase of the coordinator. */
    public var phase: MapPhase = MapPhase.Claiming(firstFence)
        private set

    /** Whether all ranks use one map and a new one may be proposed. */
    public val isSettled: Boolean get() = phase is MapPhase.Settled && isUniform()

    /** Map version in use on all ranks, or null if it is unknown or a change is in progress. */
    public val mapVersion: Long? get() = if (isSettled) readings.getValue(0).mapVersion else null

    /** Share of the orders of the present change and the last one whose first sending went unanswered. */
    public val unansweredShare: Double get() = unansweredOrders.share

    /** Time from the choice of the pass at which the map changes to its predicted beginning, at the present [unansweredShare]. */
    public val leadTimeMillis: Long
        get() {
            val repeatsMillis = repeatsExpected(unansweredShare, size) * timing.repeatMillis
            return (timing.leadTimeMillis + repeatsMillis).coerceAtMost(maxOf(timing.maxLeadTimeMillis, timing.leadTimeMillis))
        }

    /** Last reading of each rank, by rank; ranks that have not been read are absent. */
    public val lastReadings: Map<Int, RankReading> get() = readings

    /**
     * Begins the change to a new map and returns its version, which is higher than all earlier ones.
     *
     * @throws IllegalStateException if [isSettled] is false.
     */
    public fun propose(nowMillis: Long): Long {
        check(isSettled) { "a map change is in progress; propose the next one when isSettled is true" }
        // Under the higher token, ranks refuse delayed orders of an earlier change.
        fence += 1
        val version = fence * MAX_RANKS + coordinatorRank
        phase = MapPhase.Preparing(version, nowMillis)
        unansweredOrders.onChange()
        return version
    }

    /** Records the state that was read from a rank. */
    public fun onReading(reading: RankReading) {
        val previous = readings.put(reading.rank, reading)
        if (phase is MapPhase.Deposed) return
        // Ranks lose their maps, holds and tokens when a new epoch begins.
        if (previous != null && reading.epoch != previous.epoch) phase = MapPhase.Claiming(fence)
    }

    /** Handles the reply to an order. From a reply to an order with an earlier token, only the reading is recorded. */
    public fun onReply(reply: OrderReply) {
        reply.reading?.let(::onReading)
        if (phase is MapPhase.Deposed || reply.order.fence != fence) return
        if (reply.outcome == OrderOutcome.FENCED) {
            phase = MapPhase.Deposed
            return
        }
        if (reply.order.epoch != readings[reply.order.rank]?.epoch) return
        unansweredOrders.onOutcome(reply.order, reply.outcome)
        when (reply.order) {
            is FencedOrder.Claim, is FencedOrder.Disarm -> if (reply.isAnswered) recordAnswer(reply.order)
            is FencedOrder.Prepare -> if (reply.outcome == OrderOutcome.CONFLICT && phase is MapPhase.Preparing) phase = MapPhase.Settled
            is FencedOrder.Hold -> onHoldReply(reply.order, reply.outcome)
            is FencedOrder.Arm -> if (reply.outcome == OrderOutcome.CONFLICT && phase is MapPhase.Arming) startUndoing()
            is FencedOrder.Release -> Unit
        }
    }

    private fun onHoldReply(order: FencedOrder.Hold, outcome: OrderOutcome) {
        val current = phase
        if (current !is MapPhase.Holding || current.pass != order.pass) return
        if (outcome == OrderOutcome.ACCEPTED) phase = MapPhase.Arming(current.version, current.pass, current.sinceMillis)
        // The pass has already begun, so nothing is held or armed; a later pass is tried next.
        if (outcome == OrderOutcome.CONFLICT) phase = MapPhase.Preparing(current.version, current.sinceMillis)
    }

    private fun recordAnswer(order: FencedOrder) {
        val current = phase
        if (current is MapPhase.Claiming && order is FencedOrder.Claim) phase = current.copy(claimed = current.claimed + order.rank)
        if (current is MapPhase.Undoing && order is FencedOrder.Disarm) phase = current.copy(disarmed = current.disarmed + order.rank)
    }

    /** Advances the phase as far as the readings allow and returns the orders to send; unanswered orders are returned again. */
    public fun ordersDue(nowMillis: Long): List<FencedOrder> {
        if (!isCompleteAndOpen()) return if (phase is MapPhase.Claiming && isOpenExceptOne()) ordersOfPhase() else emptyList()
        passStartPredictor.onPass(readings.values.maxOf { it.lastPass }, nowMillis)
        repeat(MAX_ADVANCES_PER_CALL) {
            val previous = phase
            advance(nowMillis)
            if (phase == previous) return ordersOfPhase()
        }
        return ordersOfPhase()
    }

    private fun advance(nowMillis: Long) {
        when (val current = phase) {
            is MapPhase.Claiming -> if (current.claimed.size == size) phase = phaseAfterClaiming()
            is MapPhase.Settled -> if (readings.values.any { it.heldPass != null }) startUndoing()
            is MapPhase.Preparing -> advancePreparing(current, nowMillis)
            is MapPhase.Holding -> advanceHolding(current, nowMillis)
            is MapPhase.Arming -> advanceArming(current, nowMillis)
            is MapPhase.Releasing -> if (isUniform()) phase = MapPhase.Settled
            is MapPhase.Undoing -> if (current.disarmed.size == size && isUniform()) phase = MapPhase.Settled
            is MapPhase.Deposed -> Unit
        }
    }

    private fun phaseAfterClaiming(): MapPhase {
        if (isUniform()) return MapPhase.Settled
        val armed =
            readings.values
                .map { it.armed }
                .toSet()
                .singleOrNull()
        if (armed != null && hasSingleMapVersion()) return MapPhase.Releasing(armed.version, armed.pass)
        return MapPhase.Undoing()
    }

    private fun advancePreparing(current: MapPhase.Preparing, nowMillis: Long) {
        if (readings.values.all { it.preparedVersion == current.version }) {
            val pass =
                readings.values.maxOf { it.lastPass } + passStartPredictor.passesBeginningWithin(timing.leadTimeMillis, nowMillis) + 1 +
                    passStartPredictor.passesLasting(leadTimeMillis - timing.leadTimeMillis)
            phase = MapPhase.Holding(current.version, pass, nowMillis)
        } else if (nowMillis - current.sinceMillis > timing.prepareTimeoutMillis) {
            phase = MapPhase.Settled
        }
    }

    private fun advanceHolding(current: MapPhase.Holding, nowMillis: Long) {
        when {
            readings.getValue(holdRank).heldPass == current.pass -> phase = MapPhase.Arming(current.version, current.pass, nowMillis)
            nowMillis - current.sinceMillis > armTimeoutMillis() -> startUndoing()
        }
    }

    private fun advanceArming(current: MapPhase.Arming, nowMillis: Long) {
        val armedMap = ArmedMap(current.version, current.pass)
        when {
            readings.values.all { it.armed == armedMap } -> phase = MapPhase.Releasing(current.version, current.pass)
            nowMillis - current.sinceMillis > armTimeoutMillis() -> startUndoing()
        }
    }

    /** Undoing a change takes as many orders as completing it, so a few more repeats than expected are awaited. */
    private fun armTimeoutMillis() = maxOf(timing.armTimeoutMillis, leadTimeMillis + EXCESS_REPEATS * timing.repeatMillis)

    private fun startUndoing() {
        fence += 1
        phase = MapPhase.Undoing()
    }

    private fun ordersOfPhase(): List<FencedOrder> =
        when (val current = phase) {
            is MapPhase.Claiming -> {
                readingsExcept(current.claimed).map { FencedOrder.Claim(it.rank, it.epoch, fence) } +
                    ordersWithoutCoordinatorRank(current.claimed)
            }

            is MapPhase.Preparing -> {
                readings.values
                    .filter { it.preparedVersion != current.version }
                    .map { FencedOrder.Prepare(it.rank, it.epoch, fence, current.version) }
            }

            is MapPhase.Holding -> {
                listOf(readings.getValue(holdRank)).map { FencedOrder.Hold(it.rank, it.epoch, fence, current.pass) }
            }

            is MapPhase.Arming -> {
                ranksToArm(ArmedMap(current.version, current.pass))
                    .map { FencedOrder.Arm(it.rank, it.epoch, fence, current.version, current.pass) }
            }

            is MapPhase.Releasing -> {
                releaseOrders()
            }

            is MapPhase.Undoing -> {
                if (current.disarmed.size < size) disarmOrders(current) else releaseOrders()
            }

            is MapPhase.Settled, MapPhase.Deposed -> {
                emptyList()
            }
        }

    /** Returns the ranks to arm now; the coordinator's rank follows only when all others are armed. */
    private fun ranksToArm(armedMap: ArmedMap): List<RankReading> {
        val (coordinatorReadings, others) = readings.values.filter { it.armed != armedMap }.partition { it.rank == coordinatorRank }
        return others.ifEmpty { coordinatorReadings }
    }

    /**
     * Returns the orders that end a hold while the rank of the coordinator that began it is unreachable.
     *
     * Empty unless no reachable rank uses the new map and one of them is not armed, so that the unreachable rank is not armed
     * either.
     */
    private fun ordersWithoutCoordinatorRank(claimed: Set<Int>): List<FencedOrder> {
        val unreachableRank = (0 until size).singleOrNull { it !in claimed } ?: return emptyList()
        val reachable = claimed.map { readings.getValue(it) }
        val version = reachable.maxOf { it.preparedVersion }
        val isCoordinatorRankUnarmed =
            coordinatorRankOf(version) == unreachableRank && reachable.all { it.mapVersion < version } && reachable.any { it.armed == null }
        if (!isCoordinatorRankUnarmed || reachable.none { it.heldPass != null }) return emptyList()
        val armed = reachable.filter { it.armed != null }
        if (armed.isEmpty()) return releaseOrders(reachable)
        return armed.map { FencedOrder.Disarm(it.rank, it.epoch, fence, version) }
    }

    private fun readingsExcept(ranks: Set<Int>) = readings.values.filter { it.rank !in ranks }

    /** Returns the disarm orders to send now; the rank of the coordinator that began the change precedes all others. */
    private fun disarmOrders(current: MapPhase.Undoing): List<FencedOrder> {
        val firstRank = coordinatorRankOf(readings.values.maxOf { it.preparedVersion })
        val (coordinatorReadings, others) = readingsExcept(current.disarmed).partition { it.rank == firstRank }
        return coordinatorReadings
            .ifEmpty { others }
            .map { FencedOrder.Disarm(it.rank, it.epoch, fence, it.armed?.version ?: it.preparedVersion) }
    }

    private fun releaseOrders(ranks: Collection<RankReading> = readings.values): List<FencedOrder> =
        ranks.mapNotNull { reading -> reading.heldPass?.let { FencedOrder.Release(reading.rank, reading.epoch, fence, it) } }

    private fun isCompleteAndOpen() = readings.size == size && isOpenInSingleEpoch()

    private fun isOpenExceptOne() = readings.size == size - 1 && isOpenInSingleEpoch()

    private fun isOpenInSingleEpoch() =
        readings.values.all { it.isOpen } &&
            readings.values
                .map { it.epoch }
                .toSet()
                .size == 1

    private fun hasSingleMapVersion() =
        readings.values
            .map { it.mapVersion }
            .toSet()
            .size == 1

    private fun isUniform() =
        readings.size == size && hasSingleMapVersion() && readings.values.all { it.armed == null && it.heldPass == null }
}

private const val MAX_ADVANCES_PER_CALL = 8

// More repeats than these, beyond those expected, mean that a rank does not answer at all.
private const val EXCESS_REPEATS = 2

// A version is the fencing token times this number, plus the rank of the coordinator that issued it.
private const val MAX_RANKS = 1_024

private fun coordinatorRankOf(version: Long): Int = (version % MAX_RANKS).toInt()

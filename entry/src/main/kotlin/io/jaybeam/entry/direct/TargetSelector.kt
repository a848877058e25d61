/*
 * Selects the target of an attempt among those that the store lists, that take requests and that have room while they are cold.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.cost.RequestCost
import io.jaybeam.core.cost.StartRate
import io.jaybeam.core.fleet.ColdStartRateLimiter
import io.jaybeam.core.fleet.EngineModel
import io.jaybeam.core.fleet.FleetTarget
import io.jaybeam.core.fleet.GroupChance
import io.jaybeam.core.fleet.PlacementRequest
import io.jaybeam.core.fleet.TargetChance
import io.jaybeam.core.fleet.TargetLoad
import io.jaybeam.core.fleet.TargetNotices
import io.jaybeam.core.fleet.chooseTarget
import io.jaybeam.core.fleet.coldStartRatePerInstance
import io.jaybeam.core.fleet.spreadDelayMillis
import io.jaybeam.core.fleet.targetChances
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Selects targets for one entry. Thread-safe. */
internal class TargetSelector(
    private val localDataCentre: String,
    private val snapshot: () -> FleetSnapshot,
    private val loads: TargetLoads,
    private val notices: TargetNotices,
    private val presence: TargetPresence,
    private val entryCount: () -> Int,
    private val groups: GroupSelector,
) {
    private val coldStartLimiter = ColdStartRateLimiter()
    private val startRates = ConcurrentHashMap<String, StartRate>()

    /**
     * Returns the target of [service] for the next attempt of a request that was sent to [triedTargetIds] and is expected to cause
     * [cost]; null if there is none. If [group] was chosen for the request, its targets come first.
     */
    fun next(
        service: String,
        triedTargetIds: Set<String>,
        cost: RequestCost,
        group: String? = null,
    ): FleetTarget? {
        val snapshot = snapshot()
        val nowNanos = System.nanoTime()
        val requestsPerSecond = snapshot.routes?.service(service)?.coldStartRequestsPerSecond ?: 0.0
        val rate = coldStartRatePerInstance(requestsPerSecond, entryCount())
        val isLimited = requestsPerSecond > 0.0
        val candidates = listed(service).filterTo(mutableListOf()) { it.id !in triedTargetIds && notices.acceptsRequests(it) }
        if (isLimited) candidates.removeAll { snapshot.isInColdStart(it.id, nowNanos) && !coldStartLimiter.hasCapacity(it.id, rate) }
        val preferred = if (group == null) candidates else preferred(service, group, candidates, triedTargetIds)
        val startRate = startRates.computeIfAbsent(rateKey(service, group)) { StartRate { System.nanoTime() / NANOS_PER_MILLI } }
        val chosen = chooseAmong(preferred, cost, snapshot.routes?.service(service)?.engine, startRate) ?: return null
        val isAcquired =
            !isLimited || !snapshot.isInColdStart(chosen.id, nowNanos) || coldStartLimiter.tryAcquire(chosen.id, rate)
        return chosen.takeIf { isAcquired }
    }

    /** Returns what [next] would decide on each listed target of [service] for a new request, without counting one anywhere. */
    fun preview(service: String, cost: RequestCost, group: String?): List<TargetPreview> {
        val listed =
            snapshot()
                .targets.byId.values
                .filter { it.service == service }
        val present = listed(service).toSet()
        val reasons = listed.associateWith { exclusionOf(it, it in present) }
        val candidates = listed.filter { reasons[it] == null }
        val preferred = if (group == null) candidates else preferred(service, group, candidates, emptySet())
        val engine = snapshot().routes?.service(service)?.engine
        val loadsOfPreferred = preferred.map { loads.of(it, typicalCost(engine, cost)) }
        val request = PlacementRequest(cost, engine, startRates[rateKey(service, group)]?.let { unseenRequests(preferred, it) } ?: 0.0)
        val chances = targetChances(loadsOfPreferred, localDataCentre, request).associateBy { it.load.target }
        return listed.map {
            val chance = chances[it]
            val reason = reasons[it] ?: if (chance == null) TargetExclusion.OTHER_GROUP else null
            TargetPreview(chance?.load ?: loads.of(it), groups.groupOf(it), chance, reason)
        }
    }

    private fun exclusionOf(target: FleetTarget, isPresent: Boolean): TargetExclusion? {
        val snapshot = snapshot()
        return when {
            target.isDraining || notices.isLeaving(target) -> TargetExclusion.LEAVING
            target.dataCentre in snapshot.dataCentresOut -> TargetExclusion.DATA_CENTRE_OUT
            !isPresent -> TargetExclusion.GONE
            notices.pauseMillisOf(target) > 0 -> TargetExclusion.PAUSING
            isFullInColdStart(target, snapshot) -> TargetExclusion.COLD_START
            else -> null
        }
    }

    private fun isFullInColdStart(target: FleetTarget, snapshot: FleetSnapshot): Boolean {
        val requestsPerSecond = snapshot.routes?.service(target.service)?.coldStartRequestsPerSecond ?: 0.0
        if (requestsPerSecond <= 0.0 || !snapshot.isInColdStart(target.id, System.nanoTime())) return false
        return !coldStartLimiter.hasCapacity(target.id, coldStartRatePerInstance(requestsPerSecond, entryCount()))
    }

    /** Chooses the group of a new request; null if the service is served as a whole. */
    fun chooseGroup(service: String): String? = groups.choose(service) { accepting(service) }

    /** Returns what [chooseGroup] would decide, without counting a request. */
    fun previewGroups(service: String): List<GroupChance> = groups.preview(service) { accepting(service) }

    /** Whether targets of another group of [service] than [group] take requests. */
    fun hasOtherOpenGroup(service: String, group: String?): Boolean = groups.hasOtherOpenGroup(service, group, accepting(service))

    private fun accepting(service: String) = listed(service).filter(notices::acceptsRequests)

    private fun preferred(
        service: String,
        group: String,
        candidates: List<FleetTarget>,
        triedTargetIds: Set<String>,
    ): List<FleetTarget> {
        val listedById = snapshot().targets.byId
        return groups.preferred(service, group, candidates, triedTargetIds.mapNotNull(listedById::get), triedTargetIds.isNotEmpty())
    }

    private fun chooseAmong(
        candidates: List<FleetTarget>,
        cost: RequestCost,
        engine: EngineModel?,
        startRate: StartRate,
    ): FleetTarget? {
        val candidateLoads = candidates.map { loads.of(it, typicalCost(engine, cost)) }
        val request = PlacementRequest(cost, engine, unseenRequests(candidates, startRate))
        startRate.onStart()
        return chooseTarget(candidateLoads, localDataCentre, Random.Default, request)
    }

    private fun typicalCost(engine: EngineModel?, cost: RequestCost) =
        engine?.let { RequestCost(it.readMillis(it.meanPromptTokens), it.meanAnswerTokens.toDouble(), 0.0) } ?: cost

    private fun rateKey(service: String, group: String?) = "$service/${group.orEmpty()}"

    /** Returns how many requests other entries are expected to have sent since the targets' reports, if all entries send as many. */
    private fun unseenRequests(candidates: List<FleetTarget>, startRate: StartRate): Double {
        val meanAgeMillis = candidates.mapNotNull(loads::reportAgeMillis).ifEmpty { return 0.0 }.average()
        return startRate.expectedIn(meanAgeMillis.toLong()) * (entryCount() - 1)
    }

    /** Whether the store lists targets of [service] but each of them leaves or pauses. */
    fun isUnavailable(service: String): Boolean {
        val targets = listed(service)
        return targets.isNotEmpty() && targets.none(notices::acceptsRequests)
    }

    /**
     * Returns the time until a target of [service] takes requests again, in milliseconds, with an addition that differs by caller;
     * null if one takes them now or if none will.
     */
    fun retryAfterPauseMillis(service: String): Long? =
        notices.millisUntilAccepted(listed(service))?.let { spreadDelayMillis(it, Random.Default) }

    private fun listed(service: String): List<FleetTarget> =
        snapshot().let { presence.present(it.targets.availableTargets(service, it.dataCentresOut)) }
}

/** Why a target gets no new request. */
internal enum class TargetExclusion(
    val detail: String,
) {
    LEAVING("it takes no new work, because it leaves"),
    DATA_CENTRE_OUT("its data centre is out of service"),
    GONE("it is gone from its address, or another target has taken that over"),
    PAUSING("it has asked for a pause"),
    COLD_START("it is in cold start and has as many requests a second as it takes"),
    OTHER_GROUP("another group was chosen"),
}

/**
 * What would be decided on one target.
 *
 * @property group group of the target; null if it is unknown.
 * @property chance null if the target would not be considered.
 * @property exclusion null if the target would be considered.
 */
internal class TargetPreview(
    val load: TargetLoad,
    val group: String?,
    val chance: TargetChance?,
    val exclusion: TargetExclusion?,
)

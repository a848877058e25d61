/*
 * What is known about a request when its target is chosen.
 */
package io.jaybeam.core.fleet

import io.jaybeam.core.cost.RequestCost

/**
 * A request that is to be placed.
 *
 * @property engine null for a plain service.
 * @property unseenRequests requests that other entries are expected to have sent to the candidates, all together, since these
 *   have reported.
 */
public data class PlacementRequest(
    val cost: RequestCost = RequestCost.UNKNOWN,
    val engine: EngineModel? = null,
    val unseenRequests: Double = 0.0,
)

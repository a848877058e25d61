/*
 * Place of a request among those that wait at one service: work that can be on time, then more urgent work, then that of
 * organisations and sessions that were served least.
 */
package io.jaybeam.core.admission

/** What decides on the place of [request] among those that wait; [rank] is its urgency with what it gained by waiting. */
internal data class WaitingPlace<T>(
    val request: WaitingRequest<T>,
    val isLate: Boolean,
    val rank: Int,
    val isOverShare: Boolean,
    val servedOfOrganisation: Double,
    val isSessionServed: Boolean,
) : Comparable<WaitingPlace<T>> {
    override fun compareTo(other: WaitingPlace<T>): Int = order.compare(this, other)

    private companion object {
        val order: Comparator<WaitingPlace<*>> =
            compareBy<WaitingPlace<*>> { it.isLate }
                .thenBy { it.rank }
                .thenBy { it.isOverShare }
                .thenBy { !it.request.isReturning }
                .thenBy { it.isSessionServed }
                .thenBy { it.servedOfOrganisation }
                .thenBy { it.request.arrivedAtMillis }
    }
}

/*
 * The stop of an entry: since when it goes on, and which requests are still taken.
 */
package io.jaybeam.entry.direct

import io.jaybeam.core.admission.StopAdmission

/**
 * The stop of an entry, which began at [startedNanos].
 *
 * @property isRefusingAll whether no request is taken any more, because the connections are about to be closed.
 */
internal class EntryStop(
    private val startedNanos: Long,
    val admission: StopAdmission,
) {
    @Volatile
    var isRefusingAll = false

    fun elapsedMillis(): Long = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI
}

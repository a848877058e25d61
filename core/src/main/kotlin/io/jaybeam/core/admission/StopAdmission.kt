/*
 * Decides which requests a stopping instance still takes.
 *
 * Answers a load pattern in which callers use their open connections until the instance is gone: a request that arrives late in the
 * grace period would be cut at its end, after it was sent to a target. It is refused instead, and callers send it again to another
 * instance, unless its own time limit ends before the stop. How long earlier requests have taken is no bound for the next one.
 */
package io.jaybeam.core.admission

/** Decides for one stop; the process ends [stopMillis] after it began. */
public class StopAdmission(
    private val stopMillis: Long,
) {
    /** Whether to take a request that arrives [elapsedMillis] after the stop began and has a time limit of [limitMillis]. */
    public fun accepts(elapsedMillis: Long, limitMillis: Long): Boolean = elapsedMillis + limitMillis <= stopMillis
}

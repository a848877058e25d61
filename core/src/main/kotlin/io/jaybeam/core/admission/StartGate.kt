/*
 * Whether the targets of a service can take requests at all, apart from how many they have room for.
 */
package io.jaybeam.core.admission

/** State of a [StartGate]. */
public sealed class GateState {
    /** Requests may be sent. */
    public data object Open : GateState()

    /**
     * Requests would be turned away.
     *
     * @property opensInMillis time until they are expected to be accepted; null if it cannot be predicted.
     */
    public data class Closed(
        val opensInMillis: Long?,
    ) : GateState()
}

/** Keeps requests back while the targets of a service form their group again. Thread-safe; times are monotonic milliseconds. */
public interface StartGate {
    /** Returns whether requests may be sent at [nowMillis]. */
    public fun state(nowMillis: Long): GateState

    /**
     * Whether one request may be sent at [nowMillis] to find out whether the targets take requests again. Each `true` allows one
     * request; always `true` while the gate is open.
     */
    public fun tryPass(nowMillis: Long): Boolean
}

/** A gate that is always open, for services whose targets do not depend on one another. */
public object OpenGate : StartGate {
    override fun state(nowMillis: Long): GateState = GateState.Open

    override fun tryPass(nowMillis: Long): Boolean = true
}

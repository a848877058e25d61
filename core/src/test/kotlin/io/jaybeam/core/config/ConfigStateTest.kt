package io.jaybeam.core.config

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

internal class ConfigStateTest {
    private fun change(base: Long, inService: Boolean) = ConfigChange.SetDataCentre("id-$base-$inService", base, "ann", "pdx", inService)

    private fun record(change: ConfigChange) = ConfigRecord.Change(OperatorKeys.signer.sign(change))

    @Test
    fun `accepts the first of two conflicting changes and rejects the second`() {
        val first = ConfigState().applyRecord(0, record(change(-1, false)), OperatorKeys.verifier)
        val second = first.state.applyRecord(1, record(change(-1, true)), OperatorKeys.verifier)
        val conflict = assertIs<ApplyOutcome.Conflict>(second.outcome)
        assertEquals(0, conflict.current?.version)
        assertEquals(setOf("pdx"), second.state.effective().dataCentresOut)
    }

    @Test
    fun `a new bundle does not put a data centre back into service`() {
        val out = ConfigState().applyRecord(0, record(change(-1, false)), OperatorKeys.verifier).state
        val bundle = ConfigChange.PutBundle("b", -1, "ben", validBundle)
        val state = out.applyRecord(1, record(bundle), OperatorKeys.verifier).state
        assertEquals("b", state.effective().bundle?.name)
        assertEquals(setOf("pdx"), state.effective().dataCentresOut)
    }

    @Test
    fun `ignores a change signed with an untrusted key`() {
        val forged = ConfigRecord.Change(OperatorKeys.untrustedSigner.sign(change(-1, false)))
        val result = ConfigState().applyRecord(0, forged, OperatorKeys.verifier)
        assertIs<ApplyOutcome.Invalid>(result.outcome)
        assertEquals(emptySet(), result.state.effective().dataCentresOut)
    }

    @Test
    fun `does not merge a forged change from a peer`() {
        val forged = AcceptedChange(3, OperatorKeys.untrustedSigner.sign(change(-1, false)))
        assertEquals(ConfigState(), ConfigState().merge(ConfigDelta(-1, 3, listOf(forged)), OperatorKeys.verifier))
    }

    @Test
    fun `bootstrap returns null for a truncated log without a covering snapshot`() {
        assertNull(ConfigState.bootstrap(5, listOf(record(change(-1, false))), OperatorKeys.verifier))
    }
}

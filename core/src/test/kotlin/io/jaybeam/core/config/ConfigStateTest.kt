package io.jaybeam.core.config

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

internal class ConfigStateTest {
    private fun change(base: Long, inService: Boolean) = ConfigChange.SetDataCentre("id-$base-$inService", base, "ann", "pdx", inService)

    private fun record(change: ConfigChange) = ConfigRecord.Change(OperatorKeys.signer.sign(change))

    @Test
    fun `of two racing changes the first in the log wins and the second is told`() {
        val first = ConfigState().fold(0, record(change(-1, false)), OperatorKeys.verifier)
        val second = first.state.fold(1, record(change(-1, true)), OperatorKeys.verifier)
        val lost = assertIs<FoldVerdict.Lost>(second.verdict)
        assertEquals(0, lost.winner?.version)
        assertEquals(setOf("pdx"), second.state.effective().dataCentresOut)
    }

    @Test
    fun `a new bundle does not defeat an urgent data centre out`() {
        val out = ConfigState().fold(0, record(change(-1, false)), OperatorKeys.verifier).state
        val bundle = ConfigChange.PutBundle("b", -1, "ben", validBundle)
        val state = out.fold(1, record(bundle), OperatorKeys.verifier).state
        assertEquals("b", state.effective().bundle?.name)
        assertEquals(setOf("pdx"), state.effective().dataCentresOut)
    }

    @Test
    fun `an unsigned change is ignored`() {
        val forged = ConfigRecord.Change(OperatorKeys.strangerSigner.sign(change(-1, false)))
        val result = ConfigState().fold(0, forged, OperatorKeys.verifier)
        assertIs<FoldVerdict.Invalid>(result.verdict)
        assertEquals(emptySet(), result.state.effective().dataCentresOut)
    }

    @Test
    fun `a forged change from a peer is not merged`() {
        val forged = AcceptedChange(3, OperatorKeys.strangerSigner.sign(change(-1, false)))
        assertEquals(ConfigState(), ConfigState().merge(ConfigDelta(-1, 3, listOf(forged)), OperatorKeys.verifier))
    }

    @Test
    fun `without a covering snapshot no state is made from a truncated log`() {
        assertNull(ConfigState.bootstrap(5, listOf(record(change(-1, false))), OperatorKeys.verifier))
    }
}

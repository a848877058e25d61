package io.jaybeam.core.quarantine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class CrashLedgerTest {
    private val ledger = CrashLedger(retentionMillis = 1_000, capacity = 100)

    @Test
    fun `one crash makes suspects and two crashes quarantine`() {
        assertTrue(ledger.onCrash("c1", listOf("killer", "innocent"), 0))
        assertEquals(Standing.SUSPECT, ledger.standing("innocent", 1))
        ledger.onCompleted("innocent")
        ledger.onCrash("c2", listOf("killer"), 2)
        assertEquals(Standing.QUARANTINED, ledger.standing("killer", 3))
        assertEquals(Standing.CLEAR, ledger.standing("innocent", 3))
    }

    @Test
    fun `the same crash told twice counts once`() {
        ledger.onCrash("c1", listOf("killer"), 0)
        assertFalse(ledger.onCrash("c1", listOf("killer"), 1))
        assertEquals(Standing.SUSPECT, ledger.standing("killer", 2))
    }

    @Test
    fun `a quarantine ends after its time`() {
        ledger.onCrash("c1", listOf("killer"), 0)
        ledger.onCrash("c2", listOf("killer"), 0)
        assertEquals(Standing.CLEAR, ledger.standing("killer", 1_001))
    }
}

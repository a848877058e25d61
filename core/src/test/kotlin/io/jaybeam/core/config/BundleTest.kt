package io.jaybeam.core.config

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class BundleTest {
    @Test
    fun `parses a valid bundle`() {
        assertEquals(listOf("pdx", "sea"), parseBundle(validBundle).getOrNull()?.dataCentres)
    }

    @Test
    fun `reports every fault with path and remedy`() {
        val invalid =
            validBundle
                .replace("\"maxWaitMillis\": 1,", "\"maxWaitMillis\": -4,")
                .replace("\"kind\": \"MODEL\"", "\"kind\": \"TOASTER\"")
                .replace("\"fullConcurrency\": 4", "\"fullConcurency\": 4")
        val faults = parseBundle(invalid).leftOrNull().orEmpty()
        val paths = faults.map { it.path }
        assertTrue("$.priceTiers[0].maxWaitMillis" in paths, "$paths")
        assertTrue("$.services[0].kind" in paths, "$paths")
        assertTrue("$.freshTargetLimits.fullConcurrency" in paths, "$paths")
        assertTrue("$.freshTargetLimits.fullConcurency" in paths, "$paths")
        assertTrue(faults.all { it.remedy.isNotBlank() })
    }

    @Test
    fun `reports malformed JSON as a single fault at the root`() {
        assertEquals("$", parseBundle("{\"a\": ").leftOrNull()?.single()?.path)
    }

    @Test
    fun `reports JSON that is nested too deeply as a single fault at the root`() {
        assertEquals("$", parseBundle("[".repeat(100_000) + "]".repeat(100_000)).leftOrNull()?.single()?.path)
    }

    @Test
    fun `rejects a bundle truncated at any character without throwing`() {
        validBundle.indices.forEach { end -> assertTrue(parseBundle(validBundle.take(end)).isLeft(), "truncated at $end") }
    }
}

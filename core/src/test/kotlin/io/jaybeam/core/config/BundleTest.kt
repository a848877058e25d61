package io.jaybeam.core.config

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class BundleTest {
    @Test
    fun `a valid bundle is parsed`() {
        assertEquals(listOf("pdx", "sea"), parseBundle(validBundle).getOrNull()?.dataCentres)
    }

    @Test
    fun `every fault is named by its path and remedy`() {
        val bad =
            validBundle
                .replace("\"maxWaitMillis\": 1,", "\"maxWaitMillis\": -4,")
                .replace("\"kind\": \"MODEL\"", "\"kind\": \"TOASTER\"")
                .replace("\"fullConcurrency\": 4", "\"fullConcurency\": 4")
        val faults = parseBundle(bad).leftOrNull().orEmpty()
        val paths = faults.map { it.path }
        assertTrue("$.priceTiers[0].maxWaitMillis" in paths, "$paths")
        assertTrue("$.services[0].kind" in paths, "$paths")
        assertTrue("$.freshTargetLimits.fullConcurrency" in paths, "$paths")
        assertTrue("$.freshTargetLimits.fullConcurency" in paths, "$paths")
        assertTrue(faults.all { it.remedy.isNotBlank() })
    }

    @Test
    fun `text that is no JSON is one fault at the root`() {
        assertEquals("$", parseBundle("{\"a\": ").leftOrNull()?.single()?.path)
    }

    @Test
    fun `a bundle cut at any character is refused and never crashes the reader`() {
        validBundle.indices.forEach { end -> assertTrue(parseBundle(validBundle.take(end)).isLeft(), "cut at $end") }
    }
}

package io.jaybeam.runtime

import io.jaybeam.runtime.config.decodeConfigRecordOrNull
import kotlin.test.Test
import kotlin.test.assertNull

internal class ConfigRecordTest {
    @Test
    fun `a record nested too deeply is no configuration`() {
        // The thread that follows the configuration must outlive a record that overflows its stack.
        for (depth in listOf(1_000, 100_000)) {
            val text = """{"note":${"[".repeat(depth)}${"]".repeat(depth)},"type":"change"}"""
            var outcome: Result<Any?> = Result.success("not run")
            val thread = Thread(null, { outcome = runCatching { decodeConfigRecordOrNull(text) } }, "small stack", 256L * 1_024)
            thread.start()
            thread.join()
            assertNull(outcome.exceptionOrNull()?.javaClass, "depth $depth")
            assertNull(outcome.getOrThrow(), "depth $depth")
        }
    }
}

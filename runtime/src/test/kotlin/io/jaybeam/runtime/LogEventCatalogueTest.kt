package io.jaybeam.runtime

import io.jaybeam.runtime.observe.LogEvent
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class LogEventCatalogueTest {
    private val catalogue = Files.readString(Path.of("..", "docs", "LOG-EVENTS.md"))

    @Test
    fun `the catalogue has a row for every event`() {
        LogEvent.entries.forEach { assertTrue("| ${it.number} | ${it.name} |" in catalogue, "${it.number} ${it.name}") }
    }

    @Test
    fun `no two events share a number`() {
        assertEquals(LogEvent.entries.size, LogEvent.entries.distinctBy { it.number }.size)
    }
}

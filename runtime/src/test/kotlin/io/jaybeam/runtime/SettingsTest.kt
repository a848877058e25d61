package io.jaybeam.runtime

import io.jaybeam.core.json.readJson
import io.jaybeam.runtime.settings.commonSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class SettingsTest {
    @Test
    fun `every fault of a settings file is reported with its path and a remedy`() {
        val text =
            """{"instance": "e1", "dataCentre": 4, "host": "localhost", "adminPort": 70000,
            "platform": {"logUrl": "tcp://x"}, "trustedKeys": [{"keyId": "ops", "publicKey": "zz"}], "colour": "red"}"""
        val faults = readJson(text) { commonSettings() }.leftOrNull().orEmpty()
        val expected =
            setOf(
                "$.dataCentre",
                "$.host",
                "$.adminPort",
                "$.platform.logUrl",
                "$.platform.instanceListUrl",
                "$.trustedKeys[0].publicKey",
                "$.colour",
            )
        assertEquals(expected, faults.map { it.path }.toSet())
        assertTrue(faults.all { it.remedy.isNotBlank() })
    }
}

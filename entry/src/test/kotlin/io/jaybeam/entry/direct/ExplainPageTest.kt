/*
 * Questions of operators about where a request would go, asked of an entry by the command.
 */
package io.jaybeam.entry.direct

import io.jaybeam.entry.operator.ExplainCommand
import kotlinx.serialization.json.Json
import picocli.CommandLine
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class ExplainPageTest : EntryFixture() {
    private class Printed(
        val exitCode: Int,
        val out: String,
        val err: String,
    )

    private fun explain(vararg arguments: String): Printed {
        val (previousOut, previousErr) = System.out to System.err
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        System.setOut(PrintStream(out))
        System.setErr(PrintStream(err))
        val exitCode =
            try {
                CommandLine(ExplainCommand()).execute(*arguments)
            } finally {
                System.setOut(previousOut)
                System.setErr(previousErr)
            }
        return Printed(exitCode, "$out", "$err")
    }

    private fun startExplainedEntry(vararg targets: ScriptedTarget): Pair<Int, String> {
        val (entry, ports) = newEntry(*targets)
        entry.start()
        awaitReady(ports[1])
        return ports[0] to "http://127.0.0.1:${ports[2]}"
    }

    private fun question(url: String, path: String) = arrayOf(url, "--host", "shop.example", "--path", path, "--key", "key-1")

    @Test
    fun `an explained request is not sent and changes nothing for the next one`() {
        val received = CopyOnWriteArrayList<String>()
        val targets =
            List(2) { index ->
                scriptedTarget { _, output ->
                    received += "t$index"
                    output.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".encodeToByteArray())
                }
            }
        val (_, url) = startExplainedEntry(*targets.toTypedArray())
        val before = explain(*question(url, "/safe/a"), "--json")
        val after = explain(*question(url, "/safe/a"), "--json")
        assertEquals(0, before.exitCode, before.err)
        val explanations = listOf(before, after).map { Json.decodeFromString(RequestExplanation.serializer(), it.out) }
        assertEquals(explanations[0].services, explanations[1].services)
        val service = explanations[0].services.single()
        assertEquals("plain", service.service)
        assertEquals(ExplainedDecision.START, service.decision)
        assertEquals(listOf(0.5, 0.5), service.targets.map { it.chance })
        assertTrue(received.isEmpty(), "$received")
    }

    @Test
    fun `the target with fewer requests in flight is named with its chance`() {
        val busy =
            scriptedTarget { _, _ ->
                Thread.sleep(LONG_TIMEOUT_MILLIS)
            }
        val (port, url) = startExplainedEntry(busy, scriptedTarget { _, _ -> Thread.sleep(LONG_TIMEOUT_MILLIS) })
        connectCaller(port).send("GET", "/safe/a")
        Thread.sleep(200)
        val printed = explain(*question(url, "/safe/a"))
        assertEquals(0, printed.exitCode, printed.err)
        assertContains(printed.out, "100.0%")
        assertContains(printed.out, "1 requests of this entry: others have less work left or more memory")
    }

    @Test
    fun `a path without a route is answered with one line and the remedy`() {
        val (_, url) = startExplainedEntry(scriptedTarget { _, _ -> })
        val printed = explain(*question(url, "/unknown/a"))
        assertEquals(2, printed.exitCode)
        assertEquals(
            1,
            printed.err
                .trim()
                .lines()
                .size,
            printed.err,
        )
        assertContains(printed.err, Refusal.NO_ROUTE.remedy)
    }

    @Test
    fun `an unknown key is answered with one line and the remedy`() {
        val (_, url) = startExplainedEntry(scriptedTarget { _, _ -> })
        val printed = explain(url, "--host", "shop.example", "--path", "/safe/a", "--key", "nobody")
        assertEquals(2, printed.exitCode)
        assertContains(printed.err, Refusal.UNKNOWN_KEY.remedy)
    }

    @Test
    fun `an address that is no entry is answered with one line`() {
        val printed = explain(*question("http://127.0.0.1:1", "/safe/a"))
        assertEquals(2, printed.exitCode)
        assertEquals(
            1,
            printed.err
                .trim()
                .lines()
                .size,
            printed.err,
        )
        assertContains(printed.err, "http://127.0.0.1:1 does not answer")
        val notUrl = explain(*question("nowhere", "/safe/a"))
        assertEquals(2, notUrl.exitCode)
        assertContains(notUrl.err, "specify it as http://ADDRESS:PORT")
    }

    @Test
    fun `a process that explains nothing is named`() {
        val (callerPort, _) = startExplainedEntry(scriptedTarget { _, _ -> })
        val printed = explain(*question("http://127.0.0.1:$callerPort", "/safe/a"))
        assertEquals(2, printed.exitCode)
        assertContains(printed.err, "explains no requests")
        assertFalse(printed.err.contains("Exception"), printed.err)
    }

    @Test
    fun `a key that cannot be sent is answered with one line`() {
        val printed = explain("http://127.0.0.1:1", "--host", "shop.example", "--path", "/safe/a", "--key", "k\u00e9y")
        assertEquals(2, printed.exitCode)
        assertEquals(
            1,
            printed.err
                .trim()
                .lines()
                .size,
            printed.err,
        )
        assertContains(printed.err, "--key cannot be sent")
    }

    @Test
    fun `a size that is no number of tokens is refused with the name of its parameter`() {
        val (_, url) = startExplainedEntry(scriptedTarget { _, _ -> })
        val printed = explain(*question(url, "/safe/a"), "--prompt-tokens", "-3")
        assertEquals(2, printed.exitCode)
        assertContains(printed.err, "promptTokens")
    }
}

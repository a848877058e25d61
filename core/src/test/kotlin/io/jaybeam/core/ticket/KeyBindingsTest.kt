package io.jaybeam.core.ticket

import kotlin.test.Test
import kotlin.test.assertEquals

internal class KeyBindingsTest {
    private val ticket = Ticket("first", "booking", "org", 0, listOf(TargetIncarnation("i", "a")))
    private val first = KeyBinding("org", "key", "d", ticket)

    @Test
    fun `keeps the first binding of a key in log order`() {
        val bindings = KeyBindings(1_000)
        bindings.applyBatch(0, listOf(first))
        bindings.applyBatch(1, listOf(first.copy(ticket = ticket.copy(id = "second"))))
        bindings.applyBatch(0, listOf(first.copy(ticket = ticket.copy(id = "again"))))
        assertEquals("first", bindings.find("org", "key")?.ticket?.id)
        assertEquals(2, bindings.nextOffset)
    }

    @Test
    fun `bindings of a key are separate for each organisation`() {
        val bindings = KeyBindings(1_000)
        bindings.applyBatch(0, listOf(first))
        assertEquals(null, bindings.find("other", "key"))
    }

    @Test
    fun `accepts only version 7 UUIDs within the window`() {
        val key = "0000000f-4240-7000-8000-000000000000"
        val createdAtMillis = 0xf4240L
        assertEquals(KeyValidity.VALID, keyValidity(key, createdAtMillis + 10, 1_000, 100))
        assertEquals(KeyValidity.EXPIRED, keyValidity(key, createdAtMillis + 1_001, 1_000, 100))
        assertEquals(KeyValidity.FROM_THE_FUTURE, keyValidity(key, createdAtMillis - 101, 1_000, 100))
        assertEquals(KeyValidity.NOT_A_UUID_V7, keyValidity("0000000f-4240-4000-8000-000000000000", createdAtMillis, 1_000, 100))
        assertEquals(KeyValidity.NOT_A_UUID_V7, keyValidity("not a UUID", createdAtMillis, 1_000, 100))
    }
}

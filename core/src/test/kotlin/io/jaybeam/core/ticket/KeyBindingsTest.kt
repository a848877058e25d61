package io.jaybeam.core.ticket

import kotlin.test.Test
import kotlin.test.assertEquals

internal class KeyBindingsTest {
    private val ticket = Ticket("first", "booking", "org", 0, listOf(TargetIncarnation("i", "a")))
    private val first = KeyBinding("org", "key", "d", ticket)

    @Test
    fun `the first binding of a key in log order wins`() {
        val bindings = KeyBindings(1_000)
        bindings.fold(0, listOf(first))
        bindings.fold(1, listOf(first.copy(ticket = ticket.copy(id = "second"))))
        bindings.fold(0, listOf(first.copy(ticket = ticket.copy(id = "again"))))
        assertEquals("first", bindings.find("org", "key")?.ticket?.id)
        assertEquals(2, bindings.nextOffset)
    }

    @Test
    fun `keys of different organisations are different keys`() {
        val bindings = KeyBindings(1_000)
        bindings.fold(0, listOf(first))
        assertEquals(null, bindings.find("other", "key"))
    }

    @Test
    fun `only version 7 keys within the window are usable`() {
        val key = "0000000f-4240-7000-8000-000000000000"
        val madeAt = 0xf4240L
        assertEquals(KeyAge.USABLE, keyAge(key, madeAt + 10, 1_000, 100))
        assertEquals(KeyAge.TOO_OLD, keyAge(key, madeAt + 1_001, 1_000, 100))
        assertEquals(KeyAge.FROM_THE_FUTURE, keyAge(key, madeAt - 101, 1_000, 100))
        assertEquals(KeyAge.NOT_A_UUID_V7, keyAge("0000000f-4240-4000-8000-000000000000", madeAt, 1_000, 100))
        assertEquals(KeyAge.NOT_A_UUID_V7, keyAge("nonsense", madeAt, 1_000, 100))
    }
}

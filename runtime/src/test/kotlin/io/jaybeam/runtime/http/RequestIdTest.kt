/*
 * A connection carries each request id once, so that a late answer to an earlier sending is not taken for the answer to a later one.
 */
package io.jaybeam.runtime.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class RequestIdTest {
    @Test
    fun `an id is not sent over a connection that carried it before`() {
        val ids = RecentRequestIds()
        val sent = List(64) { RequestId("r$it") }
        assertTrue(sent.all(ids::add))
        assertFalse(sent.any(ids::add))
    }

    @Test
    fun `the ids of old requests are forgotten first`() {
        val ids = RecentRequestIds()
        val sent = List(100) { RequestId("r$it") }
        assertTrue(sent.all(ids::add))
        assertEquals(emptyList(), sent.takeLast(64).filter(ids::add))
        assertTrue(ids.add(sent.first()))
    }
}

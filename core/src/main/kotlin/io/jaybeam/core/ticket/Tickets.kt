/*
 * A ticket binds a request that must run at most once to an ordered list of target incarnations.
 * Only the first may run it; each later one only after all before it recorded a refusal.
 */
package io.jaybeam.core.ticket

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.Base64

/** One life of a target: the instance it runs on and the identity its side process drew when it started. */
@Serializable
public data class TargetIncarnation(
    val instance: String,
    val incarnation: String,
)

/**
 * The right to run one request at most once.
 *
 * @property mintedAtMillis wall-clock time of the entry that minted it, since the epoch.
 * @property members the incarnations that may run it, in order.
 */
@Serializable
public data class Ticket(
    val id: String,
    val service: String,
    val organisation: String,
    val mintedAtMillis: Long,
    val members: List<TargetIncarnation>,
)

/** Returns the opaque text that a caller sends back in a header. */
public fun Ticket.encode(): String =
    Base64.getUrlEncoder().withoutPadding().encodeToString(Json.encodeToString(Ticket.serializer(), this).encodeToByteArray())

/** Decodes a ticket from header text; returns null if it is none. */
public fun decodeTicketOrNull(text: String): Ticket? =
    try {
        Json.decodeFromString(Ticket.serializer(), Base64.getUrlDecoder().decode(text).decodeToString()).takeIf { it.members.isNotEmpty() }
    } catch (e: IllegalArgumentException) {
        null
    } catch (e: SerializationException) {
        null
    }

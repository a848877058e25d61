/*
 * Reads a caller's HTTP request into a [Call], or says what is wrong with it.
 */
package io.jaybeam.entry.calls

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.javalin.http.Context
import io.jaybeam.core.config.Bundle
import io.jaybeam.core.config.PriceTier
import io.jaybeam.core.config.ServiceKind
import io.jaybeam.core.ticket.decodeTicketOrNull
import io.jaybeam.wire.HeaderField
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.UUID

/** Names of the headers that callers use. */
internal object CallerHeaders {
    const val ORGANISATION = "Jaybeam-Organisation"
    const val TIER = "Jaybeam-Tier"
    const val DEADLINE = "Jaybeam-Deadline-Millis"
    const val NOT_REPEATABLE = "Jaybeam-Not-Repeatable"
    const val REPEATABLE = "Jaybeam-Repeatable"
    const val TICKET = "Jaybeam-Ticket"
    const val OUTCOME = "Jaybeam-Outcome"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
}

private const val MAX_DEADLINE_MILLIS = 86_400_000L
private const val CHAT_PATH = "/v1/chat/completions"
private val idempotentMethods = setOf("GET", "HEAD", "OPTIONS")

/** Reads calls under one bundle. */
internal class CallReader(
    private val bundle: Bundle,
    private val defaultDeadlineMillis: Long,
) {
    /** Reads a chat completion. */
    fun chat(context: Context): Either<Problem, Call> =
        either {
            val body = body(context).bind()
            val service = model(body).bind()
            call(context, service, CHAT_PATH, body, ServiceKind.MODEL).bind()
        }

    /** Reads a call to plain service [service] at [path]. */
    fun plain(context: Context, service: String, path: String): Either<Problem, Call> =
        either {
            val body = body(context).bind()
            call(context, service, path, body, ServiceKind.PLAIN).bind()
        }

    /** Returns the organisation named by the caller. */
    fun organisation(context: Context): Either<Problem, String> {
        val name = context.header(CallerHeaders.ORGANISATION)?.takeIf { it.isNotBlank() }
        return name?.right() ?: badRequest("header ${CallerHeaders.ORGANISATION} is missing", "send the organisation's name in it").left()
    }

    private fun call(
        context: Context,
        service: String,
        path: String,
        body: ByteArray,
        kind: ServiceKind,
    ): Either<Problem, Call> =
        either {
            val organisation = organisation(context).bind()
            service(service, kind).bind()
            Call(
                requestId = UUID.randomUUID().toString(),
                organisation = organisation,
                tier = tier(context).bind(),
                service = service,
                method = context.req().method,
                path = path,
                headers = headers(context),
                body = body,
                repeatability = repeatability(context, kind).bind(),
                deadlineNanos = System.nanoTime() + deadlineMillis(context).bind() * 1_000_000,
                prefixHash = if (kind == ServiceKind.MODEL) prefixHashOf(body) else null,
                bundle = bundle,
            )
        }

    private fun body(context: Context): Either<Problem, ByteArray> {
        val limit = bundle.requestLimits.maxBodyBytes.toInt()
        val bytes = context.req().inputStream.readNBytes(limit + 1)
        if (bytes.size <= limit) return bytes.right()
        return badRequest(
            "the body is over $limit bytes",
            "send a smaller body, or raise requestLimits.maxBodyBytes in the bundle",
            413,
        ).left()
    }

    private fun model(body: ByteArray): Either<Problem, String> {
        val remedy = "send a chat completion with the members model and messages"
        val json =
            try {
                Json.parseToJsonElement(body.decodeToString())
            } catch (e: SerializationException) {
                return badRequest("the body is not JSON: ${e.message?.lineSequence()?.first()}", remedy).left()
            }
        val model = ((json as? JsonObject)?.get("model") as? JsonPrimitive)?.takeIf { it.isString }?.content
        return model?.right() ?: badRequest("the body has no string member \"model\"", remedy).left()
    }

    private fun service(name: String, kind: ServiceKind): Either<Problem, Unit> {
        if (bundle.serviceOrNull(name)?.kind == kind) return Unit.right()
        val known = bundle.services.filter { it.kind == kind }.map { it.name }
        return badRequest("service \"$name\" is not a ${kind.name.lowercase()} service of the bundle", "name one of $known", 404).left()
    }

    private fun tier(context: Context): Either<Problem, PriceTier> {
        val name = context.header(CallerHeaders.TIER)
        val known = bundle.priceTiers.map { it.name }
        return bundle.tierOrNull(name)?.right() ?: badRequest("price tier \"$name\" is not in the bundle", "name one of $known").left()
    }

    private fun deadlineMillis(context: Context): Either<Problem, Long> {
        val text = context.header(CallerHeaders.DEADLINE) ?: return defaultDeadlineMillis.right()
        val millis = text.toLongOrNull()?.takeIf { it in 1..MAX_DEADLINE_MILLIS }
        val detail = "${CallerHeaders.DEADLINE} \"$text\" is not a number from 1 to $MAX_DEADLINE_MILLIS"
        return millis?.right() ?: badRequest(detail, "send the milliseconds that the caller will wait").left()
    }

    private fun repeatability(context: Context, kind: ServiceKind): Either<Problem, Repeatability> {
        val ticketText = context.header(CallerHeaders.TICKET)
        val key = context.header(CallerHeaders.IDEMPOTENCY_KEY)
        if (ticketText != null) {
            val ticket = decodeTicketOrNull(ticketText)
            val problem = badRequest("${CallerHeaders.TICKET} is not a ticket", "send back the ticket as it was given")
            return ticket?.let { Repeatability.UnderTicket(it) }?.right() ?: problem.copy(outcome = ProblemOutcome.UNKNOWN).left()
        }
        if (key != null) return Repeatability.UnderKey(key).right()
        return (if (mayRepeat(context, kind)) Repeatability.Idempotent else Repeatability.Once).right()
    }

    private fun mayRepeat(context: Context, kind: ServiceKind): Boolean {
        if (context.header(CallerHeaders.NOT_REPEATABLE).toBoolean()) return false
        if (context.header(CallerHeaders.REPEATABLE).toBoolean()) return true
        return kind == ServiceKind.MODEL || context.req().method in idempotentMethods
    }

    private fun headers(context: Context): List<HeaderField> =
        context
            .req()
            .headerNames
            .toList()
            .filter { !it.startsWith("Jaybeam-", ignoreCase = true) }
            .flatMap { name ->
                context
                    .req()
                    .getHeaders(name)
                    .toList()
                    .map { HeaderField(name, it) }
            }
}

/*
 * Converts a caller's HTTP request to a [Call], or to the problem that describes its fault.
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
import io.jaybeam.core.json.parseJson
import io.jaybeam.core.ticket.decodeTicketOrNull
import io.jaybeam.wire.HeaderField
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.UUID

/** Names of the headers of requests and answers. */
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

/**
 * Reads calls according to [bundle].
 *
 * @property defaultDeadlineMillis deadline of calls whose caller sends none.
 */
internal class CallReader(
    private val bundle: Bundle,
    private val defaultDeadlineMillis: Long,
) {
    /** Reads a chat completion request. */
    fun readChat(context: Context): Either<Problem, Call> =
        either {
            val body = readBody(context).bind()
            val service = readModel(body).bind()
            readCall(context, service, CHAT_PATH, body, ServiceKind.MODEL).bind()
        }

    /** Reads a request for [path] of the plain service [service]. */
    fun readPlain(context: Context, service: String, path: String): Either<Problem, Call> =
        either {
            val body = readBody(context).bind()
            readCall(context, service, path, body, ServiceKind.PLAIN).bind()
        }

    /** Returns the organisation that the request names. */
    fun readOrganisation(context: Context): Either<Problem, String> {
        val name = context.header(CallerHeaders.ORGANISATION)?.takeIf { it.isNotBlank() }
        return name?.right()
            ?: badRequest("header ${CallerHeaders.ORGANISATION} is missing", "send the name of the organisation in this header").left()
    }

    private fun readCall(
        context: Context,
        service: String,
        path: String,
        body: ByteArray,
        kind: ServiceKind,
    ): Either<Problem, Call> =
        either {
            val organisation = readOrganisation(context).bind()
            checkService(service, kind).bind()
            Call(
                requestId = UUID.randomUUID().toString(),
                organisation = organisation,
                tier = readTier(context).bind(),
                service = service,
                method = context.req().method,
                path = path,
                headers = forwardedHeaders(context),
                body = body,
                repeatability = readRepeatability(context, kind).bind(),
                deadlineNanos = System.nanoTime() + readDeadlineMillis(context).bind() * 1_000_000,
                prefixHash = if (kind == ServiceKind.MODEL) prefixHashOf(body) else null,
                bundle = bundle,
            )
        }

    private fun readBody(context: Context): Either<Problem, ByteArray> {
        val limitBytes = bundle.requestLimits.maxBodyBytes.toInt()
        val bytes = context.req().inputStream.readNBytes(limitBytes + 1)
        if (bytes.size <= limitBytes) return bytes.right()
        return badRequest(
            "the body is larger than $limitBytes bytes",
            "send a smaller body, or raise requestLimits.maxBodyBytes in the bundle",
            413,
        ).left()
    }

    private fun readModel(body: ByteArray): Either<Problem, String> {
        val remedy = "send a JSON object with the members model and messages"
        val json =
            try {
                parseJson(body.decodeToString())
            } catch (e: SerializationException) {
                return badRequest("the body is not JSON: ${e.message?.lineSequence()?.first()}", remedy).left()
            }
        val model = ((json as? JsonObject)?.get("model") as? JsonPrimitive)?.takeIf { it.isString }?.content
        return model?.right() ?: badRequest("the body has no string member \"model\"", remedy).left()
    }

    private fun checkService(name: String, kind: ServiceKind): Either<Problem, Unit> {
        if (bundle.serviceOrNull(name)?.kind == kind) return Unit.right()
        val knownNames = bundle.services.filter { it.kind == kind }.map { it.name }
        return badRequest(
            "service \"$name\" is not a ${kind.name.lowercase()} service of the bundle",
            "name one of $knownNames",
            404,
        ).left()
    }

    private fun readTier(context: Context): Either<Problem, PriceTier> {
        val name = context.header(CallerHeaders.TIER)
        val knownNames = bundle.priceTiers.map { it.name }
        return bundle.tierOrNull(name)?.right() ?: badRequest("price tier \"$name\" is not in the bundle", "name one of $knownNames").left()
    }

    private fun readDeadlineMillis(context: Context): Either<Problem, Long> {
        val text = context.header(CallerHeaders.DEADLINE) ?: return defaultDeadlineMillis.right()
        val millis = text.toLongOrNull()?.takeIf { it in 1..MAX_DEADLINE_MILLIS }
        val detail = "${CallerHeaders.DEADLINE} \"$text\" is not a number from 1 to $MAX_DEADLINE_MILLIS"
        return millis?.right() ?: badRequest(detail, "send the time that the caller will wait, in milliseconds").left()
    }

    private fun readRepeatability(context: Context, kind: ServiceKind): Either<Problem, Repeatability> {
        val ticketText = context.header(CallerHeaders.TICKET)
        val key = context.header(CallerHeaders.IDEMPOTENCY_KEY)
        if (ticketText != null) {
            val ticket = decodeTicketOrNull(ticketText)
            val problem = badRequest("${CallerHeaders.TICKET} is not a ticket", "send the ticket exactly as it was issued")
            return ticket?.let { Repeatability.WithTicket(it) }?.right() ?: problem.copy(outcome = ProblemOutcome.UNKNOWN).left()
        }
        if (key != null) return Repeatability.WithKey(key).right()
        return (if (isIdempotent(context, kind)) Repeatability.Idempotent else Repeatability.AtMostOnce).right()
    }

    private fun isIdempotent(context: Context, kind: ServiceKind): Boolean {
        if (context.header(CallerHeaders.NOT_REPEATABLE).toBoolean()) return false
        if (context.header(CallerHeaders.REPEATABLE).toBoolean()) return true
        return kind == ServiceKind.MODEL || context.req().method in idempotentMethods
    }

    private fun forwardedHeaders(context: Context): List<HeaderField> =
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

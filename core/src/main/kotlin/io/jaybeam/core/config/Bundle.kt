/*
 * The operators' versioned bundle: price tiers, services, accepted expert placement, data centre
 * membership and limits for fresh targets. docs/SETTINGS.md is the reference for its JSON form.
 */
package io.jaybeam.core.config

import arrow.core.Either
import io.jaybeam.core.json.JsonFault
import io.jaybeam.core.json.JsonShape
import io.jaybeam.core.json.readJson

/** How soon work of a price tier has to run. */
public enum class TierClass {
    /** Work that a person waits for. */
    URGENT,

    /** Work that may wait and is shed first. */
    PATIENT,
}

/**
 * One price tier.
 *
 * @property maxWaitMillis longest time in a target's queue; patient work older than this is served as urgent,
 *   urgent work older than this is refused as not run.
 */
public data class PriceTier(
    val name: String,
    val tierClass: TierClass,
    val maxWaitMillis: Long,
    val priceMicrosPerToken: Long,
)

/** What kind of back end serves a service. */
public enum class ServiceKind {
    /** A model engine; calls are idempotent unless marked otherwise. */
    MODEL,

    /** A plain HTTP service. */
    PLAIN,
}

/** A service that callers may name, and what kind of target runs it. */
public data class ServiceEntry(
    val name: String,
    val kind: ServiceKind,
)

/** How much concurrent work a target bears from its start until it is warm. */
public data class FreshTargetLimits(
    val initialConcurrency: Int,
    val fullConcurrency: Int,
    val rampMillis: Long,
)

/** What moves of experts between ranks operators accept. */
public data class ExpertPlacement(
    val slotsPerRank: Int,
    val maxBytesPerMove: Long,
    val minGainPercent: Int,
)

/** Bounds on requests of any kind. */
public data class RequestLimits(
    val maxBodyBytes: Long,
    val retryPercent: Int,
    val maxInFlightPerOrganisation: Int,
)

/** A validated bundle. */
public data class Bundle(
    val name: String,
    val priceTiers: List<PriceTier>,
    val services: List<ServiceEntry>,
    val dataCentres: List<String>,
    val freshTargetLimits: FreshTargetLimits,
    val expertPlacement: ExpertPlacement,
    val requestLimits: RequestLimits,
) {
    /** Returns the tier called [name], or the first urgent tier where [name] is null. */
    public fun tierOrNull(name: String?): PriceTier? =
        if (name == null) priceTiers.first { it.tierClass == TierClass.URGENT } else priceTiers.firstOrNull { it.name == name }

    /** Returns the service called [name]. */
    public fun serviceOrNull(name: String): ServiceEntry? = services.firstOrNull { it.name == name }
}

private const val BUNDLE_FORMAT_VERSION = 1L
private const val MAX_CONCURRENCY = 100_000
private const val MAX_SLOTS_PER_RANK = 1_024
private const val DAY_MILLIS = 86_400_000L
private const val MAX_BODY_BYTES = 16_777_216L
private const val DEFAULT_BODY_BYTES = 4_194_304L
private const val DEFAULT_RETRY_PERCENT = 10
private const val DEFAULT_ORGANISATION_IN_FLIGHT = 256

/**
 * Parses and validates a bundle.
 *
 * Returns every fault with its JSON path and remedy, or the bundle when there is none.
 */
public fun parseBundle(text: String): Either<List<JsonFault>, Bundle> = readJson(text) { bundle() }

private fun JsonShape.bundle(): Bundle {
    long("formatVersion", BUNDLE_FORMAT_VERSION..BUNDLE_FORMAT_VERSION)
    val tiers = children("priceTiers") { priceTier() }
    val services = children("services") { ServiceEntry(string("name"), enumeration("kind", ServiceKind.PLAIN)) }
    val dataCentres = strings("dataCentres")
    if (tiers.none { it.tierClass == TierClass.URGENT }) fault("priceTiers", "has no urgent tier", "add a tier with class URGENT")
    if (services.isEmpty()) fault("services", "is empty", "list each service that callers may name")
    if (dataCentres.isEmpty()) fault("dataCentres", "is empty", "list each data centre by name")
    refuseRepeats("priceTiers", tiers.map { it.name })
    refuseRepeats("services", services.map { it.name })
    refuseRepeats("dataCentres", dataCentres)
    return Bundle(
        name = string("name"),
        priceTiers = tiers,
        services = services,
        dataCentres = dataCentres,
        freshTargetLimits = child("freshTargetLimits") { freshTargetLimits() } ?: FreshTargetLimits(1, 1, 0),
        expertPlacement = child("expertPlacement") { expertPlacement() } ?: ExpertPlacement(1, 0, 0),
        requestLimits = child("requestLimits") { requestLimits() } ?: RequestLimits(0, 0, 1),
    )
}

private fun JsonShape.priceTier() =
    PriceTier(
        name = string("name"),
        tierClass = enumeration("class", TierClass.URGENT),
        maxWaitMillis = long("maxWaitMillis", 1..DAY_MILLIS),
        priceMicrosPerToken = long("priceMicrosPerToken", 0..Int.MAX_VALUE.toLong()),
    )

private fun JsonShape.freshTargetLimits(): FreshTargetLimits {
    val limits =
        FreshTargetLimits(
            initialConcurrency = int("initialConcurrency", 1..MAX_CONCURRENCY),
            fullConcurrency = int("fullConcurrency", 1..MAX_CONCURRENCY),
            rampMillis = long("rampMillis", 0..DAY_MILLIS),
        )
    if (limits.fullConcurrency < limits.initialConcurrency) {
        fault("fullConcurrency", "is below initialConcurrency", "raise it to at least ${limits.initialConcurrency}")
    }
    return limits
}

private fun JsonShape.expertPlacement() =
    ExpertPlacement(
        slotsPerRank = int("slotsPerRank", 1..MAX_SLOTS_PER_RANK),
        maxBytesPerMove = long("maxBytesPerMove", 0..Long.MAX_VALUE),
        minGainPercent = int("minGainPercent", 0..100),
    )

private fun JsonShape.requestLimits() =
    RequestLimits(
        maxBodyBytes = long("maxBodyBytes", 1..MAX_BODY_BYTES, DEFAULT_BODY_BYTES),
        retryPercent = int("retryPercent", 0..100, DEFAULT_RETRY_PERCENT),
        maxInFlightPerOrganisation = int("maxInFlightPerOrganisation", 1..MAX_CONCURRENCY, DEFAULT_ORGANISATION_IN_FLIGHT),
    )

private inline fun <reified E : Enum<E>> JsonShape.enumeration(name: String, placeholder: E): E {
    val text = string(name)
    val value = enumValues<E>().firstOrNull { it.name == text }
    if (value == null && text.isNotEmpty()) fault(name, "is \"$text\"", "write one of ${enumValues<E>().map { it.name }}")
    return value ?: placeholder
}

private fun JsonShape.refuseRepeats(name: String, values: List<String>) {
    val repeated =
        values
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
    repeated.forEach { fault(name, "names \"$it\" twice", "remove one of the two") }
}

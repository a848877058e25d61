/*
 * The versioned bundle that operators publish: price tiers, services, data centres, limits on expert placement,
 * slow start and requests. docs/SETTINGS.md describes its JSON form.
 */
package io.jaybeam.core.config

import arrow.core.Either
import io.jaybeam.core.json.JsonFault
import io.jaybeam.core.json.JsonObjectReader
import io.jaybeam.core.json.readJson

/** Scheduling class of a price tier. */
public enum class TierClass {
    /** Interactive work: a person waits for the answer. */
    URGENT,

    /** Work that can wait. It is shed first under overload. */
    PATIENT,
}

/**
 * A price tier.
 *
 * @property maxWaitMillis limit for the time in a target's queue. Beyond it, patient work is served as urgent, and
 *   urgent work is refused as not run.
 */
public data class PriceTier(
    val name: String,
    val tierClass: TierClass,
    val maxWaitMillis: Long,
    val priceMicrosPerToken: Long,
)

/** Kind of the targets that serve a service. */
public enum class ServiceKind {
    /** A model engine. Calls are idempotent unless the caller marks them otherwise. */
    MODEL,

    /** A plain HTTP service. */
    PLAIN,
}

/** A service that callers can request, and the kind of targets that serve it. */
public data class ServiceSpec(
    val name: String,
    val kind: ServiceKind,
)

/**
 * Limits on the concurrent requests of a target during its slow start.
 *
 * @property initialConcurrency limit when the target starts.
 * @property fullConcurrency limit at the end of the slow start window.
 * @property windowMillis time in which the limit rises from the initial to the full value.
 */
public data class SlowStartLimits(
    val initialConcurrency: Int,
    val fullConcurrency: Int,
    val windowMillis: Long,
)

/**
 * Limits on how experts are placed on ranks and moved between them.
 *
 * @property maxBytesPerMove limit for the weights that one change of the placement copies, in bytes.
 * @property minGainPercent reduction of the pass duration, in percent, that a change of the placement must reach.
 */
public data class ExpertPlacementLimits(
    val slotsPerRank: Int,
    val maxBytesPerMove: Long,
    val minGainPercent: Int,
)

/**
 * Limits on requests of all services.
 *
 * @property retryPercent limit for retries, as a percentage of first attempts.
 */
public data class RequestLimits(
    val maxBodyBytes: Long,
    val retryPercent: Int,
    val maxInFlightPerOrganisation: Int,
)

/** A validated bundle. */
public data class Bundle(
    val name: String,
    val priceTiers: List<PriceTier>,
    val services: List<ServiceSpec>,
    val dataCentres: List<String>,
    val slowStartLimits: SlowStartLimits,
    val expertPlacement: ExpertPlacementLimits,
    val requestLimits: RequestLimits,
) {
    /** Returns the tier named [name], or null if there is none. A null [name] selects the first urgent tier. */
    public fun tierOrNull(name: String?): PriceTier? =
        if (name == null) priceTiers.first { it.tierClass == TierClass.URGENT } else priceTiers.firstOrNull { it.name == name }

    /** Returns the service named [name], or null if there is none. */
    public fun serviceOrNull(name: String): ServiceSpec? = services.firstOrNull { it.name == name }
}

private const val BUNDLE_FORMAT_VERSION = 1L
private const val MAX_CONCURRENCY = 100_000
private const val MAX_SLOTS_PER_RANK = 1_024
private const val DAY_MILLIS = 86_400_000L
private const val MAX_BODY_BYTES = 16_777_216L
private const val DEFAULT_MAX_BODY_BYTES = 4_194_304L
private const val DEFAULT_RETRY_PERCENT = 10
private const val DEFAULT_MAX_IN_FLIGHT_PER_ORGANISATION = 256

/**
 * Parses and validates the JSON text of a bundle.
 *
 * Returns the bundle, or all faults with their JSON paths and remedies.
 */
public fun parseBundle(text: String): Either<List<JsonFault>, Bundle> = readJson(text) { bundle() }

private fun JsonObjectReader.bundle(): Bundle {
    long("formatVersion", BUNDLE_FORMAT_VERSION..BUNDLE_FORMAT_VERSION)
    val tiers = objects("priceTiers") { priceTier() }
    val services = objects("services") { ServiceSpec(string("name"), enumeration("kind", ServiceKind.PLAIN)) }
    val dataCentres = strings("dataCentres")
    if (tiers.none { it.tierClass == TierClass.URGENT }) fault("priceTiers", "has no tier of class URGENT", "add a tier of that class")
    if (services.isEmpty()) fault("services", "is empty", "add each service that callers can request")
    if (dataCentres.isEmpty()) fault("dataCentres", "is empty", "add the name of each data centre")
    reportDuplicates("priceTiers", tiers.map { it.name })
    reportDuplicates("services", services.map { it.name })
    reportDuplicates("dataCentres", dataCentres)
    return Bundle(
        name = string("name"),
        priceTiers = tiers,
        services = services,
        dataCentres = dataCentres,
        slowStartLimits = objectOrNull("freshTargetLimits") { slowStartLimits() } ?: SlowStartLimits(1, 1, 0),
        expertPlacement = objectOrNull("expertPlacement") { expertPlacement() } ?: ExpertPlacementLimits(1, 0, 0),
        requestLimits = objectOrNull("requestLimits") { requestLimits() } ?: RequestLimits(0, 0, 1),
    )
}

private fun JsonObjectReader.priceTier() =
    PriceTier(
        name = string("name"),
        tierClass = enumeration("class", TierClass.URGENT),
        maxWaitMillis = long("maxWaitMillis", 1..DAY_MILLIS),
        priceMicrosPerToken = long("priceMicrosPerToken", 0..Int.MAX_VALUE.toLong()),
    )

private fun JsonObjectReader.slowStartLimits(): SlowStartLimits {
    val limits =
        SlowStartLimits(
            initialConcurrency = int("initialConcurrency", 1..MAX_CONCURRENCY),
            fullConcurrency = int("fullConcurrency", 1..MAX_CONCURRENCY),
            windowMillis = long("rampMillis", 0..DAY_MILLIS),
        )
    if (limits.fullConcurrency < limits.initialConcurrency) {
        fault("fullConcurrency", "is less than initialConcurrency", "set it to at least ${limits.initialConcurrency}")
    }
    return limits
}

private fun JsonObjectReader.expertPlacement() =
    ExpertPlacementLimits(
        slotsPerRank = int("slotsPerRank", 1..MAX_SLOTS_PER_RANK),
        maxBytesPerMove = long("maxBytesPerMove", 0..Long.MAX_VALUE),
        minGainPercent = int("minGainPercent", 0..100),
    )

private fun JsonObjectReader.requestLimits() =
    RequestLimits(
        maxBodyBytes = long("maxBodyBytes", 1..MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES),
        retryPercent = int("retryPercent", 0..100, DEFAULT_RETRY_PERCENT),
        maxInFlightPerOrganisation = int("maxInFlightPerOrganisation", 1..MAX_CONCURRENCY, DEFAULT_MAX_IN_FLIGHT_PER_ORGANISATION),
    )

private inline fun <reified E : Enum<E>> JsonObjectReader.enumeration(name: String, placeholder: E): E {
    val text = string(name)
    val value = enumValues<E>().firstOrNull { it.name == text }
    if (value == null && text.isNotEmpty()) fault(name, "is \"$text\"", "use one of ${enumValues<E>().map { it.name }}")
    return value ?: placeholder
}

private fun JsonObjectReader.reportDuplicates(name: String, values: List<String>) {
    val duplicates =
        values
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
    duplicates.forEach { fault(name, "contains \"$it\" more than once", "remove the duplicates") }
}

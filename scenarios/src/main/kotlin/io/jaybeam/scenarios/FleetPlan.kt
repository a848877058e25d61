/*
 * Composition and configuration of the fleet of one site.
 */
package io.jaybeam.scenarios

/** Name of the model service. */
public const val MODEL_SERVICE: String = "counter-chat"

/** Name of the plain service. */
public const val PLAIN_SERVICE: String = "booking"

/**
 * Sizes and limits of a fleet. Its processes are distributed over [dataCentres] round robin.
 *
 * @property engineProfile JSON profile of the stand-in engines.
 */
public data class FleetPlan(
    val dataCentres: List<String> = listOf("pdx", "sea", "boi"),
    val entries: Int = 3,
    val modelTargets: Int = 12,
    val plainTargets: Int = 3,
    val engineProfile: String = "{}",
    val fullConcurrency: Int = 12,
    val initialConcurrency: Int = 2,
    val slowStartMillis: Long = 4_000,
    val snapshotIntervalMillis: Long = 600_000,
    val patientMaxWaitMillis: Long = 20_000,
    val maxInFlightPerOrganisation: Int = 256,
    val queueCapacity: Int = 256,
) {
    /** Placeholder that an engine profile may contain. */
    public companion object {
        /** Replaced by the URL of the weight store when an engine starts. */
        public const val WEIGHTS_PLACEHOLDER: String = "WEIGHTS-URL"
    }
}

/** Returns the configuration bundle of the plan as JSON, under [name]. */
public fun FleetPlan.bundleText(name: String = "first"): String =
    """
    {
      "formatVersion": 1,
      "name": "$name",
      "priceTiers": [
        {"name": "counter", "class": "URGENT", "maxWaitMillis": 5000, "priceMicrosPerToken": 12},
        {"name": "overnight", "class": "PATIENT", "maxWaitMillis": $patientMaxWaitMillis, "priceMicrosPerToken": 3}
      ],
      "services": [
        {"name": "$MODEL_SERVICE", "kind": "MODEL"},
        {"name": "$PLAIN_SERVICE", "kind": "PLAIN"}
      ],
      "dataCentres": [${dataCentres.joinToString { "\"$it\"" }}],
      "freshTargetLimits": {
        "initialConcurrency": $initialConcurrency,
        "fullConcurrency": $fullConcurrency,
        "rampMillis": $slowStartMillis
      },
      "expertPlacement": {"slotsPerRank": 3, "maxBytesPerMove": 8000000000, "minGainPercent": 5},
      "requestLimits": {"maxBodyBytes": 1048576, "retryPercent": 20, "maxInFlightPerOrganisation": $maxInFlightPerOrganisation}
    }
    """.trimIndent()

package io.jaybeam.core.config

import java.security.KeyPairGenerator

/** An operator's key pair for tests. */
internal object OperatorKeys {
    private val pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
    val signer = ChangeSigner("ops", pair.private)
    val verifier = ChangeVerifier(mapOf("ops" to pair.public))
    val strangerSigner = ChangeSigner("ops", KeyPairGenerator.getInstance("Ed25519").generateKeyPair().private)
}

internal val validBundle =
    """
    {"formatVersion": 1, "name": "b", "priceTiers": [{"name": "counter", "class": "URGENT", "maxWaitMillis": 1, "priceMicrosPerToken": 1}],
     "services": [{"name": "chat", "kind": "MODEL"}], "dataCentres": ["pdx", "sea"],
     "freshTargetLimits": {"initialConcurrency": 1, "fullConcurrency": 4, "rampMillis": 1000},
     "expertPlacement": {"slotsPerRank": 2, "maxBytesPerMove": 1, "minGainPercent": 1},
     "requestLimits": {}}
    """.trimIndent()

package io.jaybeam.core.config

import java.security.KeyPairGenerator

/** A trusted key pair, and a signer with an untrusted key under the same key id. */
internal object OperatorKeys {
    private val keyPair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
    val signer = ChangeSigner("ops", keyPair.private)
    val verifier = ChangeVerifier(mapOf("ops" to keyPair.public))
    val untrustedSigner = ChangeSigner("ops", KeyPairGenerator.getInstance("Ed25519").generateKeyPair().private)
}

internal val validBundle =
    """
    {"formatVersion": 1, "name": "b", "priceTiers": [{"name": "counter", "class": "URGENT", "maxWaitMillis": 1, "priceMicrosPerToken": 1}],
     "services": [{"name": "chat", "kind": "MODEL"}], "dataCentres": ["pdx", "sea"],
     "freshTargetLimits": {"initialConcurrency": 1, "fullConcurrency": 4, "rampMillis": 1000},
     "expertPlacement": {"slotsPerRank": 2, "maxBytesPerMove": 1, "minGainPercent": 1},
     "requestLimits": {}}
    """.trimIndent()

/*
 * What the operators' subcommands are told: who signs, with which key, and where the log is.
 */
package io.jaybeam.entry.operator

import io.jaybeam.core.config.ChangeSigner
import io.jaybeam.core.config.ChangeVerifier
import io.jaybeam.core.config.decodePrivateKeyOrNull
import io.jaybeam.core.config.decodePublicKeyOrNull
import io.jaybeam.core.json.JsonObjectReader
import io.jaybeam.runtime.settings.url
import java.security.PrivateKey
import java.security.PublicKey

/** An operator's settings. */
internal data class OperatorSettings(
    val operator: String,
    val keyId: String,
    val privateKey: PrivateKey?,
    val publicKey: PublicKey?,
    val logUrl: String,
) {
    fun signer(): ChangeSigner = ChangeSigner(keyId, checkNotNull(privateKey))

    fun verifier(): ChangeVerifier = ChangeVerifier(mapOf(keyId to checkNotNull(publicKey)))
}

internal fun JsonObjectReader.operatorSettings(): OperatorSettings {
    val privateKey = decodePrivateKeyOrNull(string("privateKey"))
    val publicKey = decodePublicKeyOrNull(string("publicKey"))
    if (privateKey == null) fault("privateKey", "is not a base64 PKCS#8 Ed25519 key", "paste the line printed by `jaybeam keys`")
    if (publicKey == null) fault("publicKey", "is not a base64 X.509 Ed25519 key", "paste the line printed by `jaybeam keys`")
    return OperatorSettings(string("operator"), string("keyId"), privateKey, publicKey, url("logUrl"))
}

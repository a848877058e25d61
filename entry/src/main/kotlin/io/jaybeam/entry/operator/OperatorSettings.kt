/*
 * Settings of the operators' subcommands: the operator's name and keys, and the address of the log.
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

/**
 * Settings of an operator.
 *
 * @property operator name of the operator, which is recorded in each change.
 * @property keyId identifier under which the processes trust the public key.
 * @property privateKey the key that signs changes, or null if its text is invalid.
 * @property publicKey the key that verifies signatures, or null if its text is invalid.
 * @property logUrl URL of the log service.
 */
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

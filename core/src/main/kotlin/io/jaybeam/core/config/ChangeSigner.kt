/*
 * Ed25519 signatures over configuration changes, by the platform's own cryptography.
 */
package io.jaybeam.core.config

import kotlinx.serialization.SerializationException
import java.security.GeneralSecurityException
import java.security.KeyFactory
import java.security.PrivateKey
import java.security.PublicKey
import java.security.Signature
import java.security.spec.PKCS8EncodedKeySpec
import java.security.spec.X509EncodedKeySpec
import java.util.Base64

private const val ALGORITHM = "Ed25519"

/** Signs changes with an operator's private key. */
public class ChangeSigner(
    private val keyId: String,
    private val privateKey: PrivateKey,
) {
    /** Returns [change] as JSON text with its signature. */
    public fun sign(change: ConfigChange): SignedChange {
        val payload = recordJson.encodeToString(ConfigChange.serializer(), change)
        val signature = Signature.getInstance(ALGORITHM)
        signature.initSign(privateKey)
        signature.update(payload.encodeToByteArray())
        return SignedChange(payload, keyId, Base64.getEncoder().encodeToString(signature.sign()))
    }
}

/** Verifies changes against the operators' public keys, by key id. */
public class ChangeVerifier(
    private val publicKeys: Map<String, PublicKey>,
) {
    /** Returns the change if its signature is by a trusted key and its text is a known change, else null. */
    public fun verifyOrNull(signed: SignedChange): ConfigChange? {
        val key = publicKeys[signed.keyId] ?: return null
        return try {
            val signature = Signature.getInstance(ALGORITHM)
            signature.initVerify(key)
            signature.update(signed.payload.encodeToByteArray())
            val genuine = signature.verify(Base64.getDecoder().decode(signed.signature))
            if (genuine) recordJson.decodeFromString(ConfigChange.serializer(), signed.payload) else null
        } catch (e: GeneralSecurityException) {
            null
        } catch (e: SerializationException) {
            null
        } catch (e: IllegalArgumentException) {
            null
        }
    }
}

/** Decodes a base64 X.509 Ed25519 public key; returns null if it is none. */
public fun decodePublicKeyOrNull(text: String): PublicKey? =
    decodeKeyOrNull(text) { KeyFactory.getInstance(ALGORITHM).generatePublic(X509EncodedKeySpec(it)) }

/** Decodes a base64 PKCS#8 Ed25519 private key; returns null if it is none. */
public fun decodePrivateKeyOrNull(text: String): PrivateKey? =
    decodeKeyOrNull(text) { KeyFactory.getInstance(ALGORITHM).generatePrivate(PKCS8EncodedKeySpec(it)) }

private fun <T> decodeKeyOrNull(text: String, decode: (ByteArray) -> T): T? =
    try {
        decode(Base64.getDecoder().decode(text.trim()))
    } catch (e: IllegalArgumentException) {
        null
    } catch (e: GeneralSecurityException) {
        null
    }

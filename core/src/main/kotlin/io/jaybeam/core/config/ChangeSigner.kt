/*
 * Ed25519 signatures of configuration changes, made and verified by the JDK's security provider.
 */
package io.jaybeam.core.config

import io.jaybeam.core.json.checkJsonDepth
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

/**
 * Signs configuration changes with an operator's private key.
 *
 * @property keyId identifier under which verifiers hold the matching public key.
 */
public class ChangeSigner(
    private val keyId: String,
    private val privateKey: PrivateKey,
) {
    /** Serializes [change] to JSON and signs that text. */
    public fun sign(change: ConfigChange): SignedChange {
        val payload = recordJson.encodeToString(ConfigChange.serializer(), change)
        val signature = Signature.getInstance(ALGORITHM)
        signature.initSign(privateKey)
        signature.update(payload.encodeToByteArray())
        return SignedChange(payload, keyId, Base64.getEncoder().encodeToString(signature.sign()))
    }
}

/**
 * Verifies signatures of configuration changes.
 *
 * @property publicKeys trusted public keys of operators by key id.
 */
public class ChangeVerifier(
    private val publicKeys: Map<String, PublicKey>,
) {
    /** Decodes the signed change. Returns null if no trusted key matches the signature or the payload is not a valid change. */
    public fun verifyOrNull(signed: SignedChange): ConfigChange? {
        val key = publicKeys[signed.keyId] ?: return null
        return try {
            val signature = Signature.getInstance(ALGORITHM)
            signature.initVerify(key)
            signature.update(signed.payload.encodeToByteArray())
            val isValid = signature.verify(Base64.getDecoder().decode(signed.signature))
            if (!isValid) return null
            checkJsonDepth(signed.payload)
            recordJson.decodeFromString(ConfigChange.serializer(), signed.payload)
        } catch (e: GeneralSecurityException) {
            null
        } catch (e: SerializationException) {
            null
        } catch (e: IllegalArgumentException) {
            null
        }
    }
}

/** Decodes an Ed25519 public key from base64-encoded X.509, or returns null if [text] is not such a key. */
public fun decodePublicKeyOrNull(text: String): PublicKey? =
    decodeKeyOrNull(text) { KeyFactory.getInstance(ALGORITHM).generatePublic(X509EncodedKeySpec(it)) }

/** Decodes an Ed25519 private key from base64-encoded PKCS#8, or returns null if [text] is not such a key. */
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

/*
 * Settings shared by entries and sides. docs/SETTINGS.md is the reference.
 */
package io.jaybeam.runtime.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.jaybeam.core.config.ChangeVerifier
import io.jaybeam.core.config.decodePublicKeyOrNull
import io.jaybeam.core.json.JsonFault
import io.jaybeam.core.json.JsonObjectReader
import io.jaybeam.core.json.readJson
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.PublicKey

/** Largest TCP port number. */
public const val MAX_PORT: Int = 65_535

/** URLs of the platform's services. */
public data class PlatformSettings(
    val logUrl: String,
    val instanceListUrl: String,
)

/** Settings common to all processes. */
public data class CommonSettings(
    val instance: String,
    val dataCentre: String,
    val host: String,
    val adminPort: Int,
    val platform: PlatformSettings,
    val trustedKeys: Map<String, PublicKey>,
) {
    /** Returns a verifier of operators' changes that uses [trustedKeys]. */
    public fun verifier(): ChangeVerifier = ChangeVerifier(trustedKeys)
}

private data class TrustedKey(
    val keyId: String,
    val publicKey: PublicKey?,
)

private val ipPattern = Regex("""\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]+""")

/** Reads the members common to all settings files. */
public fun JsonObjectReader.commonSettings(): CommonSettings =
    CommonSettings(
        instance = string("instance"),
        dataCentre = string("dataCentre"),
        host = ipAddress("host"),
        adminPort = int("adminPort", 0..MAX_PORT),
        platform = objectOrNull("platform") { PlatformSettings(url("logUrl"), url("instanceListUrl")) } ?: PlatformSettings("", ""),
        trustedKeys = trustedKeys(),
    )

/** Reads an IP address. */
public fun JsonObjectReader.ipAddress(name: String): String {
    val text = string(name)
    if (text.isNotEmpty() && !ipPattern.matches(text)) fault(name, "\"$text\" is not an IP address", "write an address such as 127.0.0.1")
    return text
}

/** Reads an http URL and removes trailing slashes. */
public fun JsonObjectReader.url(name: String): String {
    val text = string(name)
    if (text.isNotEmpty() && !text.startsWith("http://")) fault(name, "\"$text\" is not an http URL", "write http://ADDRESS:PORT")
    return text.trimEnd('/')
}

/** Reads the settings file at [path] with [read], or returns all of its faults. */
public fun <T> readSettings(path: Path, read: JsonObjectReader.() -> T): Either<List<JsonFault>, T> {
    val text =
        try {
            Files.readString(path)
        } catch (e: IOException) {
            val problem = "settings file $path cannot be read: ${e.javaClass.simpleName}"
            return listOf(JsonFault("$", problem, "name a readable file with --settings")).left()
        }
    return readJson(text, read).fold({ it.left() }, { it.right() })
}

private fun JsonObjectReader.trustedKeys(): Map<String, PublicKey> {
    val keys =
        objects("trustedKeys") {
            val keyId = string("keyId")
            val publicKey = decodePublicKeyOrNull(string("publicKey"))
            if (publicKey == null) fault("publicKey", "is not a base64 X.509 Ed25519 key", "paste the line printed by `jaybeam keys`")
            TrustedKey(keyId, publicKey)
        }
    if (keys.isEmpty()) fault("trustedKeys", "contains no key", "add the public key of each operator who may sign changes")
    return keys.mapNotNull { key -> key.publicKey?.let { key.keyId to it } }.toMap()
}

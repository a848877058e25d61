/*
 * What several requests can have in common that may be the reason for which they crash targets.
 */
package io.jaybeam.core.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A property of a request that other requests may share. */
@Serializable
public sealed class RequestTrait {
    /** The prompt contains the part with [id], which other prompts may contain too. */
    @Serializable
    @SerialName("p")
    public data class PromptPart(
        val id: String,
    ) : RequestTrait()

    /** Method, path, organisation and body have the hash [fingerprint], so that the request repeats another one. */
    @Serializable
    @SerialName("c")
    public data class Content(
        val fingerprint: String,
    ) : RequestTrait()
}

/*
 * The records of the configuration stream. Operators sign each change; a record's offset in the log
 * is the version of the item that it changes.
 */
package io.jaybeam.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Version of an item that no record has changed yet. */
public const val NO_VERSION: Long = -1L

/** What kind of item a change is about. */
public enum class ConfigItemKind {
    /** The bundle in force; there is one. */
    BUNDLE,

    /** Whether a data centre is in service. */
    DATA_CENTRE,

    /** Whether an instance is in service. */
    INSTANCE,
}

/** Names one independently versioned item of configuration. */
@Serializable
public data class ConfigItem(
    val kind: ConfigItemKind,
    val name: String,
) {
    override fun toString(): String = if (kind == ConfigItemKind.BUNDLE) "bundle" else "${kind.name.lowercase()}/$name"
}

/** The item that bundles are versions of. */
public val BUNDLE_ITEM: ConfigItem = ConfigItem(ConfigItemKind.BUNDLE, "")

/**
 * A change that an operator asks for.
 *
 * @property changeId unique name, by which the operator finds the change again after a lost append answer.
 * @property baseVersion version of the item that the operator saw; the change is rejected if another came first.
 */
@Serializable
public sealed class ConfigChange {
    public abstract val changeId: String
    public abstract val baseVersion: Long
    public abstract val operator: String
    public abstract val item: ConfigItem

    /** Puts the bundle whose JSON text is [bundleText] in force. */
    @Serializable
    @SerialName("bundle")
    public data class PutBundle(
        override val changeId: String,
        override val baseVersion: Long,
        override val operator: String,
        val bundleText: String,
    ) : ConfigChange() {
        override val item: ConfigItem get() = BUNDLE_ITEM
    }

    /** Takes data centre [name] in or out of service. */
    @Serializable
    @SerialName("dataCentre")
    public data class SetDataCentre(
        override val changeId: String,
        override val baseVersion: Long,
        override val operator: String,
        val name: String,
        val inService: Boolean,
    ) : ConfigChange() {
        override val item: ConfigItem get() = ConfigItem(ConfigItemKind.DATA_CENTRE, name)
    }

    /** Takes instance [name] in or out of service. */
    @Serializable
    @SerialName("instance")
    public data class SetInstance(
        override val changeId: String,
        override val baseVersion: Long,
        override val operator: String,
        val name: String,
        val inService: Boolean,
    ) : ConfigChange() {
        override val item: ConfigItem get() = ConfigItem(ConfigItemKind.INSTANCE, name)
    }
}

/** A change as JSON text with the Ed25519 signature over that text, base64. */
@Serializable
public data class SignedChange(
    val payload: String,
    val keyId: String,
    val signature: String,
)

/** A change in force, with the offset at which the log took it. */
@Serializable
public data class AcceptedChange(
    val version: Long,
    val signed: SignedChange,
)

/** A record of the configuration stream. */
@Serializable
public sealed class ConfigRecord {
    /** An operator's change. */
    @Serializable
    @SerialName("change")
    public data class Change(
        val signed: SignedChange,
    ) : ConfigRecord()

    /** All accepted changes as of offset [asOf], so that older records may expire. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        val asOf: Long,
        val changes: List<AcceptedChange>,
    ) : ConfigRecord()
}

/** JSON format of the log's records. */
public val recordJson: Json =
    Json {
        ignoreUnknownKeys = true
        classDiscriminator = "type"
    }

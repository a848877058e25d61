/*
 * Records of the configuration stream. Each change is signed by an operator, and the offset of its record in the log
 * becomes the version of the item that it changes.
 */
package io.jaybeam.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Version of an item that no change has been accepted for. */
public const val NO_VERSION: Long = -1L

/** Kind of a configuration item. */
public enum class ConfigItemKind {
    /** The bundle in force. There is exactly one such item. */
    BUNDLE,

    /** Whether a data centre is in service. */
    DATA_CENTRE,

    /** Whether an instance is in service. */
    INSTANCE,
}

/**
 * Identifies an item of configuration. Items are versioned independently of each other.
 *
 * @property name name of the data centre or instance; empty for the bundle.
 */
@Serializable
public data class ConfigItem(
    val kind: ConfigItemKind,
    val name: String,
) {
    override fun toString(): String = if (kind == ConfigItemKind.BUNDLE) "bundle" else "${kind.name.lowercase()}/$name"
}

/** The item for the bundle. */
public val BUNDLE_ITEM: ConfigItem = ConfigItem(ConfigItemKind.BUNDLE, "")

/**
 * A change requested by an operator.
 *
 * @property changeId unique identifier, used to find the change in the log if the response to the append was lost.
 * @property baseVersion version of the item on which the change is based. The change is rejected if the item has
 *   another version by the time the change is applied.
 * @property operator name of the operator who requested the change.
 * @property item the item that the change replaces.
 */
@Serializable
public sealed class ConfigChange {
    public abstract val changeId: String
    public abstract val baseVersion: Long
    public abstract val operator: String
    public abstract val item: ConfigItem

    /** Replaces the bundle by the one whose JSON text is [bundleText]. */
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

    /** Puts data centre [name] into service or takes it out of service. */
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

    /** Puts instance [name] into service or takes it out of service. */
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

/**
 * A signed change.
 *
 * @property payload the change as JSON text.
 * @property keyId identifier of the key that signed the payload.
 * @property signature Ed25519 signature of the payload, in base64.
 */
@Serializable
public data class SignedChange(
    val payload: String,
    val keyId: String,
    val signature: String,
)

/**
 * A change in force.
 *
 * @property version offset of the change's record in the log.
 */
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

    /** All changes in force as of offset [asOf]. Allows the log to expire older records. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        val asOf: Long,
        val changes: List<AcceptedChange>,
    ) : ConfigRecord()
}

/** JSON format of the records in the configuration stream. */
public val recordJson: Json =
    Json {
        ignoreUnknownKeys = true
        classDiscriminator = "type"
    }

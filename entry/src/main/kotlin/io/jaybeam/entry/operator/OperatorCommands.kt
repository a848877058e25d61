/*
 * The operators' subcommands of the `jaybeam` binary.
 */
package io.jaybeam.entry.operator

import arrow.core.getOrElse
import io.jaybeam.core.config.BUNDLE_ITEM
import io.jaybeam.core.config.ConfigChange
import io.jaybeam.core.config.ConfigItem
import io.jaybeam.core.config.ConfigItemKind
import io.jaybeam.core.config.SignedChange
import io.jaybeam.core.config.parseBundle
import io.jaybeam.core.config.recordJson
import io.jaybeam.runtime.http.HttpTimeouts
import io.jaybeam.runtime.http.singleAttemptClient
import io.jaybeam.runtime.log.LogClient
import io.jaybeam.runtime.settings.readSettings
import kotlinx.serialization.SerializationException
import okhttp3.Request
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.KeyPairGenerator
import java.util.Base64
import java.util.UUID
import java.util.concurrent.Callable

/** Exit codes of the operators' subcommands. */
internal object ExitCodes {
    const val SUCCESS = 0
    const val FAILURE = 1
    const val INVALID_INPUT = 2
    const val CONFLICT = 3
    const val OUTCOME_UNKNOWN = 4
}

/** The option that names the operator's settings file. */
internal class OperatorOption {
    @Option(names = ["--operator"], required = true, description = ["JSON file with operator, keyId, privateKey, publicKey, logUrl"])
    private lateinit var path: Path

    /** Runs [action] with the settings and returns its exit code, or prints the faults of the settings. */
    fun withSettings(action: (OperatorSettings, ConfigPublisher) -> Int): Int =
        readSettings(path) { operatorSettings() }.fold(
            { faults ->
                faults.forEach { printError("operator settings: $it") }
                ExitCodes.INVALID_INPUT
            },
            { settings -> action(settings, ConfigPublisher(LogClient(settings.logUrl), settings.verifier())) },
        )
}

private fun printError(text: String) = System.err.println("jaybeam: $text")

private fun newChangeId() = UUID.randomUUID().toString()

private fun publishAndReport(publisher: ConfigPublisher, signed: SignedChange, change: ConfigChange): Int =
    when (val result = publisher.publish(signed, change)) {
        is PublishResult.Accepted -> {
            println("${change.item} is in force at version ${result.version}")
            ExitCodes.SUCCESS
        }

        is PublishResult.Conflict -> {
            printError(
                "${change.item} was not changed: operator ${result.current?.operator} published version ${result.currentVersion} first; " +
                    "inspect it with `jaybeam config show` and publish again",
            )
            ExitCodes.CONFLICT
        }

        is PublishResult.Invalid -> {
            printError("${change.item} was not changed: ${result.reason}")
            ExitCodes.INVALID_INPUT
        }

        is PublishResult.Unknown -> {
            printError(
                "it is unknown whether ${change.item} was changed: ${result.detail}; check with `jaybeam config show` and try again",
            )
            ExitCodes.OUTCOME_UNKNOWN
        }
    }

/** `jaybeam keys` */
@Command(name = "keys", description = ["Prints a new Ed25519 key pair as JSON."])
internal class KeysCommand : Callable<Int> {
    override fun call(): Int {
        val keyPair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
        val encoder = Base64.getEncoder()
        println(
            """{"publicKey":"${encoder.encodeToString(
                keyPair.public.encoded,
            )}","privateKey":"${encoder.encodeToString(keyPair.private.encoded)}"}""",
        )
        return ExitCodes.SUCCESS
    }
}

/** `jaybeam bundle` */
@Command(
    name = "bundle",
    description = ["Checks, signs and publishes bundles."],
    subcommands = [BundleCheckCommand::class, BundleSignCommand::class, BundlePublishCommand::class],
)
internal class BundleCommand

private fun readBundle(path: Path): String? {
    val text =
        try {
            Files.readString(path)
        } catch (e: IOException) {
            printError("bundle $path cannot be read: ${e.javaClass.simpleName}; name a readable file")
            return null
        }
    return parseBundle(text).fold(
        { faults ->
            faults.forEach { printError("bundle $path: $it") }
            null
        },
        { text },
    )
}

/** `jaybeam bundle check` */
@Command(name = "check", description = ["Validates a bundle and prints its faults."])
internal class BundleCheckCommand : Callable<Int> {
    @Parameters(paramLabel = "BUNDLE")
    private lateinit var path: Path

    override fun call(): Int {
        readBundle(path) ?: return ExitCodes.INVALID_INPUT
        println("bundle $path is valid")
        return ExitCodes.SUCCESS
    }
}

/** `jaybeam bundle sign` */
@Command(name = "sign", description = ["Prints the bundle as a signed change, based on the version in force."])
internal class BundleSignCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOption

    @Parameters(paramLabel = "BUNDLE")
    private lateinit var path: Path

    override fun call(): Int {
        val text = readBundle(path) ?: return ExitCodes.INVALID_INPUT
        return operator.withSettings { settings, publisher ->
            val baseVersion =
                publisher.baseVersion(BUNDLE_ITEM).getOrElse {
                    printError(it)
                    return@withSettings ExitCodes.FAILURE
                }
            val signed = settings.signer().sign(ConfigChange.PutBundle(newChangeId(), baseVersion, settings.operator, text))
            println(recordJson.encodeToString(SignedChange.serializer(), signed))
            ExitCodes.SUCCESS
        }
    }
}

/** `jaybeam bundle publish` */
@Command(name = "publish", description = ["Publishes a signed bundle."])
internal class BundlePublishCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOption

    @Parameters(paramLabel = "SIGNED-BUNDLE")
    private lateinit var path: Path

    override fun call(): Int {
        val signed =
            try {
                recordJson.decodeFromString(SignedChange.serializer(), Files.readString(path))
            } catch (e: SerializationException) {
                printError("$path is not a signed bundle; create one with `jaybeam bundle sign`")
                return ExitCodes.INVALID_INPUT
            } catch (e: IOException) {
                printError("$path cannot be read: ${e.javaClass.simpleName}; name a readable file")
                return ExitCodes.INVALID_INPUT
            }
        return operator.withSettings { settings, publisher ->
            val change = settings.verifier().verifyOrNull(signed)
            if (change == null) {
                printError("$path is not signed by key ${settings.keyId}; sign it again with `jaybeam bundle sign`")
                ExitCodes.INVALID_INPUT
            } else {
                publishAndReport(publisher, signed, change)
            }
        }
    }
}

/** Whether a data centre or instance is taken out of service or into service. */
internal enum class Direction { OUT, IN }

private fun publishInService(
    operator: OperatorOption,
    kind: ConfigItemKind,
    name: String,
    direction: Direction,
): Int =
    operator.withSettings { settings, publisher ->
        val baseVersion =
            publisher.baseVersion(ConfigItem(kind, name)).getOrElse {
                printError(it)
                return@withSettings ExitCodes.FAILURE
            }
        val inService = direction == Direction.IN
        val change =
            if (kind == ConfigItemKind.DATA_CENTRE) {
                ConfigChange.SetDataCentre(newChangeId(), baseVersion, settings.operator, name, inService)
            } else {
                ConfigChange.SetInstance(newChangeId(), baseVersion, settings.operator, name, inService)
            }
        publishAndReport(publisher, settings.signer().sign(change), change)
    }

/** Takes a data centre or instance, depending on [kind], out of service or into service. */
internal abstract class SetInServiceCommand(
    private val kind: ConfigItemKind,
) : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOption

    @Parameters(index = "0", paramLabel = "out|in")
    private lateinit var direction: Direction

    @Parameters(index = "1", paramLabel = "NAME")
    private lateinit var name: String

    override fun call(): Int = publishInService(operator, kind, name, direction)
}

/** `jaybeam datacentre out|in` */
@Command(name = "datacentre", description = ["Takes a data centre out of service or into service."])
internal class DataCentreCommand : SetInServiceCommand(ConfigItemKind.DATA_CENTRE)

/** `jaybeam instance out|in` */
@Command(name = "instance", description = ["Takes an instance out of service or into service."])
internal class InstanceCommand : SetInServiceCommand(ConfigItemKind.INSTANCE)

/** `jaybeam config` */
@Command(name = "config", description = ["Shows configuration."], subcommands = [ConfigShowCommand::class])
internal class ConfigCommand

/** `jaybeam config show` */
@Command(name = "show", description = ["Prints the configuration in force, as read from the log."])
internal class ConfigShowCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOption

    override fun call(): Int =
        operator.withSettings { settings, publisher ->
            publisher.read().fold(
                {
                    printError(it)
                    ExitCodes.FAILURE
                },
                { state ->
                    println("log offset ${state.version}")
                    state.accepted.forEach { (item, accepted) ->
                        val change = settings.verifier().verifyOrNull(accepted.signed)
                        println("$item version ${accepted.version} by ${change?.operator}: ${describe(change)}")
                    }
                    ExitCodes.SUCCESS
                },
            )
        }

    private fun describe(change: ConfigChange?): String =
        when (change) {
            null -> "not verified"
            is ConfigChange.PutBundle -> parseBundle(change.bundleText).fold({ "invalid" }, { it.name })
            is ConfigChange.SetDataCentre -> if (change.inService) "in service" else "out of service"
            is ConfigChange.SetInstance -> if (change.inService) "in service" else "out of service"
        }
}

/** `jaybeam dump` */
@Command(name = "dump", description = ["Prints the state of a running process."])
internal class DumpCommand : Callable<Int> {
    @Parameters(paramLabel = "ADMIN-URL", description = ["http://ADDRESS:ADMIN-PORT of the process"])
    private lateinit var url: String

    override fun call(): Int =
        try {
            singleAttemptClient(HttpTimeouts()).newCall(Request.Builder().url("$url/dump").build()).execute().use {
                println(it.body.string())
            }
            ExitCodes.SUCCESS
        } catch (e: IOException) {
            printError("$url does not answer (${e.message}); check the address and adminPort in the process's settings")
            ExitCodes.FAILURE
        } catch (e: IllegalArgumentException) {
            printError("$url is not a URL; specify it as http://ADDRESS:ADMIN-PORT")
            ExitCodes.INVALID_INPUT
        }
}

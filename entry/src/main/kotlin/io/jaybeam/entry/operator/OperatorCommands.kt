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

/** Exit codes of operators' subcommands. */
internal object ExitCodes {
    const val DONE = 0
    const val FAILED = 1
    const val BAD_INPUT = 2
    const val LOST_RACE = 3
    const val UNKNOWN = 4
}

/** The option that names the operator's settings. */
internal class OperatorOption {
    @Option(names = ["--operator"], required = true, description = ["JSON file with operator, keyId, privateKey, publicKey, logUrl"])
    private lateinit var path: Path

    /** Runs [action] with the settings, or prints their faults. */
    fun use(action: (OperatorSettings, ConfigPublisher) -> Int): Int =
        readSettings(path) { operatorSettings() }.fold(
            { faults ->
                faults.forEach { complain("operator settings: $it") }
                ExitCodes.BAD_INPUT
            },
            { settings -> action(settings, ConfigPublisher(LogClient(settings.logUrl), settings.verifier())) },
        )
}

private fun complain(text: String) = System.err.println("jaybeam: $text")

private fun newChangeId() = UUID.randomUUID().toString()

private fun publishAndReport(publisher: ConfigPublisher, signed: SignedChange, change: ConfigChange): Int =
    when (val result = publisher.publish(signed, change)) {
        is PublishResult.Accepted -> {
            println("${change.item} is in force at version ${result.version}")
            ExitCodes.DONE
        }

        is PublishResult.Lost -> {
            complain(
                "${change.item} was not changed: operator ${result.winner?.operator} came first at version ${result.winnerVersion}; " +
                    "look at it with `jaybeam config show` and publish again",
            )
            ExitCodes.LOST_RACE
        }

        is PublishResult.Invalid -> {
            complain("${change.item} was not changed: ${result.reason}")
            ExitCodes.BAD_INPUT
        }

        is PublishResult.Unknown -> {
            complain(
                "it is unknown whether ${change.item} was changed: ${result.detail}; look with `jaybeam config show` and run this again",
            )
            ExitCodes.UNKNOWN
        }
    }

/** `jaybeam keys` */
@Command(name = "keys", description = ["Prints a new Ed25519 key pair as JSON."])
internal class KeysCommand : Callable<Int> {
    override fun call(): Int {
        val pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
        val encoder = Base64.getEncoder()
        println(
            """{"publicKey":"${encoder.encodeToString(
                pair.public.encoded,
            )}","privateKey":"${encoder.encodeToString(pair.private.encoded)}"}""",
        )
        return ExitCodes.DONE
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
            complain("bundle $path cannot be read: ${e.javaClass.simpleName}; name a readable file")
            return null
        }
    return parseBundle(text).fold(
        { faults ->
            faults.forEach { complain("bundle $path: $it") }
            null
        },
        { text },
    )
}

/** `jaybeam bundle check` */
@Command(name = "check", description = ["Names every fault of a bundle."])
internal class BundleCheckCommand : Callable<Int> {
    @Parameters(paramLabel = "BUNDLE")
    private lateinit var path: Path

    override fun call(): Int {
        readBundle(path) ?: return ExitCodes.BAD_INPUT
        println("bundle $path is valid")
        return ExitCodes.DONE
    }
}

/** `jaybeam bundle sign` */
@Command(name = "sign", description = ["Prints the bundle signed off, based on the version now in force."])
internal class BundleSignCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOption

    @Parameters(paramLabel = "BUNDLE")
    private lateinit var path: Path

    override fun call(): Int {
        val text = readBundle(path) ?: return ExitCodes.BAD_INPUT
        return operator.use { settings, publisher ->
            val base =
                publisher.baseVersion(BUNDLE_ITEM).getOrElse {
                    complain(it)
                    return@use ExitCodes.FAILED
                }
            val signed = settings.signer().sign(ConfigChange.PutBundle(newChangeId(), base, settings.operator, text))
            println(recordJson.encodeToString(SignedChange.serializer(), signed))
            ExitCodes.DONE
        }
    }
}

/** `jaybeam bundle publish` */
@Command(name = "publish", description = ["Puts a signed bundle in force."])
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
                complain("$path is not a signed bundle; make one with `jaybeam bundle sign`")
                return ExitCodes.BAD_INPUT
            } catch (e: IOException) {
                complain("$path cannot be read: ${e.javaClass.simpleName}; name a readable file")
                return ExitCodes.BAD_INPUT
            }
        return operator.use { settings, publisher ->
            val change = settings.verifier().verifyOrNull(signed)
            if (change == null) {
                complain("$path is not signed by key ${settings.keyId}; sign it again with `jaybeam bundle sign`")
                ExitCodes.BAD_INPUT
            } else {
                publishAndReport(publisher, signed, change)
            }
        }
    }
}

/** Whether a data centre or instance is taken out of or into service. */
internal enum class Direction { OUT, IN }

private fun setService(
    operator: OperatorOption,
    kind: ConfigItemKind,
    name: String,
    direction: Direction,
): Int =
    operator.use { settings, publisher ->
        val base =
            publisher.baseVersion(ConfigItem(kind, name)).getOrElse {
                complain(it)
                return@use ExitCodes.FAILED
            }
        val inService = direction == Direction.IN
        val change =
            if (kind == ConfigItemKind.DATA_CENTRE) {
                ConfigChange.SetDataCentre(newChangeId(), base, settings.operator, name, inService)
            } else {
                ConfigChange.SetInstance(newChangeId(), base, settings.operator, name, inService)
            }
        publishAndReport(publisher, settings.signer().sign(change), change)
    }

/** Takes an item of one kind out of or into service. */
internal abstract class SetServiceCommand(
    private val kind: ConfigItemKind,
) : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOption

    @Parameters(index = "0", paramLabel = "out|in")
    private lateinit var direction: Direction

    @Parameters(index = "1", paramLabel = "NAME")
    private lateinit var name: String

    override fun call(): Int = setService(operator, kind, name, direction)
}

/** `jaybeam datacentre out|in` */
@Command(name = "datacentre", description = ["Takes a data centre out of or into service."])
internal class DataCentreCommand : SetServiceCommand(ConfigItemKind.DATA_CENTRE)

/** `jaybeam instance out|in` */
@Command(name = "instance", description = ["Takes an instance out of or into service."])
internal class InstanceCommand : SetServiceCommand(ConfigItemKind.INSTANCE)

/** `jaybeam config` */
@Command(name = "config", description = ["Shows configuration."], subcommands = [ConfigShowCommand::class])
internal class ConfigCommand

/** `jaybeam config show` */
@Command(name = "show", description = ["Prints what is in force according to the log."])
internal class ConfigShowCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOption

    override fun call(): Int =
        operator.use { settings, publisher ->
            publisher.read().fold(
                {
                    complain(it)
                    ExitCodes.FAILED
                },
                { state ->
                    println("log offset ${state.version}")
                    state.accepted.forEach { (item, accepted) ->
                        val change = settings.verifier().verifyOrNull(accepted.signed)
                        println("$item version ${accepted.version} by ${change?.operator}: ${describe(change)}")
                    }
                    ExitCodes.DONE
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
            ExitCodes.DONE
        } catch (e: IOException) {
            complain("$url does not answer (${e.message}); check the address and adminPort in the process's settings")
            ExitCodes.FAILED
        } catch (e: IllegalArgumentException) {
            complain("$url is not a URL; write http://ADDRESS:ADMIN-PORT")
            ExitCodes.BAD_INPUT
        }
}

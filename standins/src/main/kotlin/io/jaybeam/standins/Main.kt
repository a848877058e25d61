/*
 * Command that starts one stand-in for an external system.
 */
package io.jaybeam.standins

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** The external system that a stand-in replaces. */
internal enum class StandInKind { LOG, INSTANCES, WEIGHTS, ENGINE, SERVICE }

@Command(name = "stand-in", mixinStandardHelpOptions = true)
internal class StandInCommand : Callable<Int> {
    @Parameters(index = "0")
    private lateinit var kind: StandInKind

    @Option(names = ["--port"], required = true)
    private var port: Int = 0

    @Option(names = ["--profile"], description = ["JSON profile of an engine; used by ENGINE only"])
    private var profile: String = "{}"

    override fun call(): Int {
        when (kind) {
            StandInKind.LOG -> LogStandIn().start(port)
            StandInKind.INSTANCES -> InstanceListStandIn().start(port)
            StandInKind.WEIGHTS -> WeightStoreStandIn().start(port)
            StandInKind.ENGINE -> EngineStandIn(standInJson.decodeFromString(EngineProfile.serializer(), profile)).start(port)
            StandInKind.SERVICE -> PlainServiceStandIn().start(port)
        }
        CountDownLatch(1).await()
        return 0
    }
}

/** Starts the stand-in that [args] name and runs until the process ends. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(StandInCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}

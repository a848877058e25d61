/*
 * Starts one stand-in of an outside system.
 */
package io.jaybeam.standins

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** Which outside system to stand in for. */
internal enum class StandInKind { LOG, INSTANCES, WEIGHTS, ENGINE, SERVICE }

@Command(name = "stand-in", mixinStandardHelpOptions = true)
internal class StandInCommand : Callable<Int> {
    @Parameters(index = "0")
    private lateinit var kind: StandInKind

    @Option(names = ["--port"], required = true)
    private var port: Int = 0

    @Option(names = ["--profile"], description = ["JSON profile of an engine"])
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

/** Starts a stand-in. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(StandInCommand()).setCaseInsensitiveEnumValuesAllowed(true).execute(*args))
}

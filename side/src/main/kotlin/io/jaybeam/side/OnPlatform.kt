/*
 * Starts the side process of a rank with the platform's settings file. There are no options, so no command line is parsed.
 */
package io.jaybeam.side

import io.jaybeam.platform.readInstanceSettings
import io.jaybeam.runtime.settings.CDS_TRAINING_RUN
import io.jaybeam.runtime.settings.runProcess
import io.jaybeam.side.rank.rankSideProcess
import io.jaybeam.side.rank.runWarmUp
import kotlin.system.exitProcess

/**
 * Runs the side process until a signal ends it. With the argument [CDS_TRAINING_RUN], makes a short CDS training run on loopback
 * instead.
 */
public fun main(args: Array<String>) {
    if (CDS_TRAINING_RUN in args) exitProcess(runWarmUp())
    exitProcess(runProcess(::readInstanceSettings, checkOnly = false, ::rankSideProcess))
}

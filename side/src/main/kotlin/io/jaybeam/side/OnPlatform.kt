/*
 * Starts the side process of a rank with the settings file of the users' platform. It takes no options, so no command
 * line is parsed.
 */
package io.jaybeam.side

import io.jaybeam.platform.readInstanceSettings
import io.jaybeam.runtime.settings.CDS_TRAINING_RUN
import io.jaybeam.runtime.settings.runProcess
import io.jaybeam.side.rank.rankSideProcess
import io.jaybeam.side.rank.runWarmUp
import kotlin.system.exitProcess

/** Serves until a signal comes; with the argument `rehearse`, runs for a moment on loopback. */
public fun main(args: Array<String>) {
    if (CDS_TRAINING_RUN in args) exitProcess(runWarmUp())
    exitProcess(runProcess(::readInstanceSettings, checkOnly = false, ::rankSideProcess))
}

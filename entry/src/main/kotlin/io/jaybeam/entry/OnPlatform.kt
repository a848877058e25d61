/*
 * Starts an entry with the settings file of the users' platform. There are no options and no command line parser, since
 * parsing would add half a second to each restart on the platform's instances.
 */
package io.jaybeam.entry

import io.jaybeam.entry.direct.DirectEntry
import io.jaybeam.entry.direct.warmUpEntry
import io.jaybeam.platform.platformStore
import io.jaybeam.platform.readInstanceSettings
import io.jaybeam.runtime.settings.CDS_TRAINING_RUN
import io.jaybeam.runtime.settings.runProcess
import kotlin.system.exitProcess
import kotlin.time.Clock

/** Serves until a signal ends the process. With the argument [CDS_TRAINING_RUN], makes a short CDS training run on loopback instead. */
public fun main(args: Array<String>) {
    if (CDS_TRAINING_RUN in args) exitProcess(warmUpEntry())
    exitProcess(
        runProcess(::readInstanceSettings, checkOnly = false) { settings ->
            DirectEntry(settings, platformStore(settings.storeAddress), Clock.System) { readInstanceSettings().getOrNull() }
        },
    )
}

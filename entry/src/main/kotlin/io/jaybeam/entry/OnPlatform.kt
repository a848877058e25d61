/*
 * Starts an entry with the settings file of the users' platform. It takes no options, so no command line is parsed: that
 * costs half a second of a restart on the platform's instances.
 */
package io.jaybeam.entry

import io.jaybeam.entry.direct.DirectEntry
import io.jaybeam.entry.direct.rehearseEntry
import io.jaybeam.platform.platformStore
import io.jaybeam.platform.readInstanceSettings
import io.jaybeam.runtime.settings.REHEARSE
import io.jaybeam.runtime.settings.runWith
import kotlin.system.exitProcess
import kotlin.time.Clock

/** Serves until a signal comes; with the argument `rehearse`, runs for a moment on loopback. */
public fun main(args: Array<String>) {
    if (REHEARSE in args) exitProcess(rehearseEntry())
    exitProcess(
        runWith(::readInstanceSettings, checkOnly = false) { settings ->
            DirectEntry(settings, platformStore(settings.storeAddress), Clock.System) { readInstanceSettings().getOrNull() }
        },
    )
}

/*
 * Relays through which a fleet's processes connect to each other and to the log: one for each connection that a scenario may
 * interrupt.
 */
package io.jaybeam.scenarios

/** Data centre of the log. */
internal const val LOG_DATA_CENTRE: String = "pdx"

/** Creates the relays of a fleet and closes them. */
internal class FleetRelays(
    private val entries: List<EntryInstance>,
    private val targets: List<TargetInstance>,
    logPort: Int,
) : AutoCloseable {
    private data class RelayEnds(
        val entryDataCentre: String,
        val instance: String,
    )

    private val entryDataCentres = entries.map { it.dataCentre }.distinct()
    private val toSide =
        entryDataCentres
            .flatMap { name -> targets.map { target -> RelayEnds(name, target.instance) to FaultyRelay(target.linkPort) } }
            .toMap()
    private val toLog = (entries.map { it.instance } + targets.map { it.instance }).associateWith { FaultyRelay(logPort) }

    /** Returns the relay from the entries in [entryDataCentre] to the side of [target]. */
    fun toSide(entryDataCentre: String, target: TargetInstance): FaultyRelay = toSide.getValue(RelayEnds(entryDataCentre, target.instance))

    /** Returns the relays from the entries of all data centres to the side of [target]. */
    fun toSide(target: TargetInstance): List<FaultyRelay> = entryDataCentres.map { toSide(it, target) }

    /** Returns the relay from the process on [instance] to the log. */
    fun toLog(instance: String): FaultyRelay = toLog.getValue(instance)

    /** Returns the relays between data centres [first] and [second], in both directions. */
    fun between(first: String, second: String): List<FaultyRelay> =
        relaysToSides(first, second) + relaysToSides(second, first) + relaysToLog(first, second) + relaysToLog(second, first)

    override fun close() {
        (toSide.values + toLog.values).forEach { it.close() }
    }

    private fun relaysToSides(entryDataCentre: String, sideDataCentre: String) =
        if (entryDataCentre !in entryDataCentres) {
            emptyList()
        } else {
            targets.filter { it.dataCentre == sideDataCentre }.map { toSide(entryDataCentre, it) }
        }

    private fun relaysToLog(logDataCentre: String, readerDataCentre: String): List<FaultyRelay> {
        if (logDataCentre != LOG_DATA_CENTRE) return emptyList()
        val readers = entries.filter { it.dataCentre == readerDataCentre }.map { it.instance }
        return (readers + targets.filter { it.dataCentre == readerDataCentre }.map { it.instance }).map(::toLog)
    }
}
